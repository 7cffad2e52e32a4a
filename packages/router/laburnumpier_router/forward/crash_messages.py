"""Messages by which routers tell each other which servers crashed and which parts are blocked.

Times are sent as ages in milliseconds, so that no clocks are compared. A router of an earlier
release refuses these messages as unreadable, like any unknown message.
"""

from typing import Annotated

import msgspec

from ..fleet.member import BlockedPart

MAX_PARTS_PER_MESSAGE = 512
MAX_PART_ID_LENGTH = 128

PartId = Annotated[str, msgspec.Meta(max_length=MAX_PART_ID_LENGTH)]
PartIds = Annotated[list[PartId], msgspec.Meta(max_length=MAX_PARTS_PER_MESSAGE)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0)]


class CrashSeen(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Tells of a crashed server.

    Attributes:
        parts: Shared parts of the sender's requests that had not begun there.
        age_ms: Time since the crash.
    """

    service: str
    server_id: str
    parts: PartIds
    age_ms: Milliseconds


class PartsBegun(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reply to `CrashSeen`.

    Attributes:
        ages_ms: For each part, the time since an answer with it began; None if none is known.
    """

    ages_ms: list[Milliseconds | None]


class BegunPart(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A part with which an answer has begun, and the time since then."""

    service: str
    part: PartId
    age_ms: Milliseconds


class TellParts(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Tells which parts are blocked, and which are blocked no longer."""

    blocked: list[BlockedPart] = []
    begun: list[BegunPart] = []


class PartsKept(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reply to `TellParts`."""


class AskTrial(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks the home of a blocked part whether a request may be let through."""

    service: str
    parts: PartIds


class TrialAnswered(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reply to `AskTrial`."""

    is_granted: bool


MESSAGE_TYPES: tuple[type, ...] = (
    CrashSeen,
    PartsBegun,
    TellParts,
    PartsKept,
    AskTrial,
    TrialAnswered,
)
