"""Members of the fleet, their records in the store and their heartbeats.

The record of a VM is permanent: it names the process that runs on the VM and the earlier ones
whose grants are not recovered yet. A second record, bound to a lease, only shows that the process
reached the store recently; its expiry does not prove that the process has ended.
"""

import enum
from typing import Annotated

import msgspec

from ..cold.messages import ColdServer
from ..evacuation.messages import EvacuationsTold


class MemberState(enum.StrEnum):
    """State that a router reports about itself."""

    SERVING = "serving"
    STOPPING = "stopping"


class Member(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One router process.

    Attributes:
        incarnation: Identity of the process, `<vm>@<started_ns>`.
        vm: Name of its VM.
        data_centre: Data centre of the VM.
        peers_address: Address at which it listens for other routers, `host:port`.
    """

    incarnation: str
    vm: str
    data_centre: str
    peers_address: str


class Departure(msgspec.Struct, frozen=True, kw_only=True):
    """A process that is proven to have ended.

    Attributes:
        incarnation: Identity of the process.
        clean: Whether it recorded a graceful stop itself.
        proof: How its end was proven.
    """

    incarnation: str
    clean: bool
    proof: str


class MemberRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The permanent record of one VM.

    Attributes:
        member: The process that runs on the VM; None if there is none.
        departed: Processes that have ended and whose grants may still be open.
    """

    member: Member | None
    departed: tuple[Departure, ...] = ()


class GossipEntry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State of one member, as it is passed on between routers.

    Attributes:
        member: The member that is described.
        counter: Highest known heartbeat counter of the member.
        state: State that the member reported with that counter.
        store_reached: Whether its calls to the store succeed, as reported with that counter.
    """

    member: Member
    counter: int
    state: MemberState
    store_reached: bool = True


class BlockedPart(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A part of prompts that crashes the servers of a service.

    Attributes:
        crash_ages_ms: Time since each known crash, in milliseconds.
        is_certain: Whether no answer with the part is known to have ever begun.
        is_common: Whether many requests have the part.
    """

    service: str
    part: str
    crash_ages_ms: list[int]
    is_certain: bool
    is_common: bool


class NamedLimit(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The limit that a backend server named last, or that it named none any more.

    Attributes:
        started_ms: Start of the server process, from its registry entry.
        per_second: Requests a second from all routers together; None if there is no limit.
        age_ms: Time since the answer that said so, in milliseconds.
    """

    server_id: Annotated[str, msgspec.Meta(max_length=200)]
    started_ms: int
    per_second: Annotated[float, msgspec.Meta(ge=0)] | None
    age_ms: Annotated[int, msgspec.Meta(ge=0)]


class LeavingNotice(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A backend server has said in an answer that it leaves.

    Attributes:
        started_ms: Start of the server process, from its registry entry.
        age_ms: Time since the first such answer, in milliseconds.
    """

    server_id: Annotated[str, msgspec.Meta(max_length=200)]
    started_ms: int
    age_ms: Annotated[int, msgspec.Meta(ge=0)]


class SheddingNotice(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A router reports not ready because of its load.

    Attributes:
        router: Incarnation of the router.
        age_ms: Time since it said so, in milliseconds.
    """

    router: Annotated[str, msgspec.Meta(max_length=200)]
    age_ms: Annotated[int, msgspec.Meta(ge=0)]


MAX_TOLD_CONTACTS = 4
"""Routers that reach servers which one report names; the receiver needs one to relay through."""


class ServerContact(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A router that reaches servers, and the time since it last did, in milliseconds."""

    router: Annotated[str, msgspec.Meta(max_length=200)]
    age_ms: Annotated[int, msgspec.Meta(ge=0)]


class ServerReach(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Whether a router's new connections to servers succeed.

    Attributes:
        own_age_ms: Time since the sender reached a server; None if it has not lately.
        is_failing: Whether its new connections fail.
        others: Routers that reach servers, named by a sender that does not.
    """

    own_age_ms: Annotated[int, msgspec.Meta(ge=0)] | None
    is_failing: bool
    others: Annotated[list[ServerContact], msgspec.Meta(max_length=MAX_TOLD_CONTACTS)] = []


MAX_TOLD_REJECTS = 1_000_000
"""Upper bound of the rejections a second that a brittle server is known to bear."""


class NamedBrittleness(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a backend server last said of being brittle.

    Attributes:
        started_ms: Start of the server process, from its registry entry.
        max_rejects: Requests that it can reject in a second; None if it is not brittle any more.
        age_ms: Time since the answer that said so, in milliseconds.
        began_ms: Time since the brittle time of its service began, in milliseconds.
    """

    server_id: Annotated[str, msgspec.Meta(max_length=200)]
    service: Annotated[str, msgspec.Meta(max_length=200)]
    started_ms: int
    max_rejects: Annotated[int, msgspec.Meta(ge=0, le=MAX_TOLD_REJECTS)] | None
    age_ms: Annotated[int, msgspec.Meta(ge=0)]
    began_ms: Annotated[int, msgspec.Meta(ge=0)]


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Request to a partner in each heartbeat interval, and the partner's reply.

    Attributes:
        entries: Entry of the sender, followed by a bounded number of entries on other members.
        configuration_number: Number of the active configuration of the sender.
        leaving_servers: Backend servers that are leaving, as far as the sender knows.
        store_era: Highest era of the store known to the sender.
        blocked_parts: Parts of prompts that the sender refuses.
        named_limits: Limits of backend servers that the sender knows.
        leaving_notices: Backend servers that have said in an answer that they leave.
        shedding_notices: Routers that report not ready because of their load.
        evacuations: Evacuated data centres, as the sender knows them; None while it does not.
        cold_servers: Servers that said in an answer to the sender or others that they are cold.
        server_reach: Whether the sender reaches servers; None if it does not observe that.
        brittle_servers: What backend servers said of being brittle.
    """

    entries: list[GossipEntry]
    configuration_number: int
    leaving_servers: list[str]
    store_era: int = 0
    blocked_parts: list[BlockedPart] = []
    named_limits: list[NamedLimit] = []
    leaving_notices: list[LeavingNotice] = []
    shedding_notices: list[SheddingNotice] = []
    evacuations: EvacuationsTold | None = None
    cold_servers: list[ColdServer] = []
    server_reach: ServerReach | None = None
    brittle_servers: Annotated[list[NamedBrittleness], msgspec.Meta(max_length=256)] = []
