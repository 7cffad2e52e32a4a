"""Members of the fleet and their records in the store.

The record of a VM is permanent: it names the process that runs there and those that ran there
before and whose grants are not recovered yet. A second record, bound to a lease, only tells
how lately the process reached the store; its lapse proves nothing.
"""

import enum

import msgspec


class MemberState(enum.StrEnum):
    """What a router says of itself."""

    SERVING = "serving"
    STOPPING = "stopping"


class Member(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One router process.

    Attributes:
        incarnation: Identity of the process, `<vm>@<started_ns>`.
        vm: Identity of its VM.
        data_centre: Where the VM runs.
        peers_address: Where it listens for other routers, `host:port`.
    """

    incarnation: str
    vm: str
    data_centre: str
    peers_address: str


class Departure(msgspec.Struct, frozen=True, kw_only=True):
    """A process that is proven to have ended.

    Attributes:
        incarnation: The process.
        clean: Whether it stopped gracefully and said so itself.
        proof: How its end was proven.
    """

    incarnation: str
    clean: bool
    proof: str


class MemberRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The permanent record of one VM.

    Attributes:
        member: The process that runs on it; None when there is none.
        departed: Ended processes whose grants may still be open.
    """

    member: Member | None
    departed: tuple[Departure, ...] = ()


class GossipEntry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What one router tells of another.

    Attributes:
        member: Who it is about.
        counter: Highest heartbeat counter known of it.
        state: Its own word on its state, as of that counter.
        store_reached: Its own word on whether its calls reach the store, as of that counter.
    """

    member: Member
    counter: int
    state: MemberState
    store_reached: bool = True


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Sent to a peer at each heartbeat interval, and its reply.

    Attributes:
        entries: The sender first, then a bounded selection of what it knows.
        configuration_number: Number in force at the sender.
        leaving_servers: Backend servers that the sender knows to be leaving.
    """

    entries: list[GossipEntry]
    configuration_number: int
    leaving_servers: list[str]
