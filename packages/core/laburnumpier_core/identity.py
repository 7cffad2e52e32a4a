"""Identities of router processes.

A process is named by its VM and an incarnation that is new at each start, because an address
or a VM name alone may be used again by another process.
"""

import msgspec


class Incarnation(msgspec.Struct, frozen=True, kw_only=True):
    """One run of a router process.

    Attributes:
        vm: Identity of the VM as the platform lists it.
        started_ns: Wall-clock start in nanoseconds, which tells runs on one VM apart.
    """

    vm: str
    started_ns: int

    def __str__(self) -> str:
        """Returns the form used in records, `<vm>@<started_ns>`."""
        return f"{self.vm}@{self.started_ns}"


def parse_incarnation(text: str) -> Incarnation:
    """Reads the form written by `str(incarnation)`.

    Args:
        text: For example `vm-3@1764790000000000000`.

    Returns:
        The incarnation.

    Raises:
        ValueError: If the text has another form.
    """
    vm, _, started = text.rpartition("@")
    return Incarnation(vm=vm, started_ns=int(started))


def is_successor(later: str, earlier: str) -> bool:
    """Returns whether one process started on the same VM after another.

    Args:
        later: Written form of the process that may be the later one.
        earlier: Written form of the process that may be the earlier one.
    """
    try:
        second, first = parse_incarnation(later), parse_incarnation(earlier)
    except ValueError:
        return False
    return second.vm == first.vm and second.started_ns > first.started_ns
