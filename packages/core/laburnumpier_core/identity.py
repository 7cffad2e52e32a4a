"""Identities of router processes.

A process is identified by its VM and its start time, because a later process may reuse the same
address or VM name.
"""

import msgspec


class Incarnation(msgspec.Struct, frozen=True, kw_only=True):
    """One run of a router process.

    Attributes:
        vm: Identifier of the VM in the platform's list.
        started_ns: Wall-clock start time in nanoseconds; distinguishes runs on the same VM.
    """

    vm: str
    started_ns: int

    def __str__(self) -> str:
        """Returns the text form used in records, `<vm>@<started_ns>`."""
        return f"{self.vm}@{self.started_ns}"


def parse_incarnation(text: str) -> Incarnation:
    """Parses the text form produced by `str(incarnation)`.

    Args:
        text: Text form, for example `vm-3@1764790000000000000`.

    Returns:
        The parsed incarnation.

    Raises:
        ValueError: If the text is not in this form.
    """
    vm, _, started_ns = text.rpartition("@")
    return Incarnation(vm=vm, started_ns=int(started_ns))


def is_successor(later: str, earlier: str) -> bool:
    """Returns whether a process started on the same VM after another one.

    Args:
        later: Text form of the presumably later incarnation.
        earlier: Text form of the presumably earlier incarnation.
    """
    try:
        successor, predecessor = parse_incarnation(later), parse_incarnation(earlier)
    except ValueError:
        return False
    return successor.vm == predecessor.vm and successor.started_ns > predecessor.started_ns
