"""Messages by which routers tell each other where streams began.

They are compact, because there is at least one for each stream: origins are grouped by service
and version, and times are sent as the remaining milliseconds, so that no clocks are compared.
A router of an earlier release refuses these messages as unreadable, like any unknown message.
"""

from collections.abc import Iterable
from typing import Annotated

import msgspec

from .origin_memory import MAX_KEEP_SECONDS
from .stream_origin import StreamOrigin

MAX_ATTEMPT_ID_LENGTH = 128
"""Characters of the longest attempt id that is remembered."""
MAX_KEEP_MILLISECONDS = int(MAX_KEEP_SECONDS * 1000)

AttemptId = Annotated[str, msgspec.Meta(max_length=MAX_ATTEMPT_ID_LENGTH)]
KeepMilliseconds = Annotated[int, msgspec.Meta(ge=0, le=MAX_KEEP_MILLISECONDS)]


class ToldAttempt(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An attempt and the time for which its origin is to be remembered."""

    attempt_id: AttemptId
    keep_milliseconds: KeepMilliseconds


class OriginGroup(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Attempts whose streams began at the same version of the same service."""

    service: str
    software_version: str
    attempts: list[ToldAttempt]


class TellOrigins(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks another router to remember where streams began."""

    groups: list[OriginGroup]


class ArchiveOrigins(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks a collector to write to the store where streams began."""

    groups: list[OriginGroup]


class OriginsKept(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reply to `TellOrigins` and `ArchiveOrigins`."""


class FindOrigin(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks another router where the stream of an attempt began."""

    attempt_id: AttemptId


class KnownOrigin(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An origin and the rest of the time for which it is remembered."""

    service: str
    software_version: str
    keep_milliseconds: KeepMilliseconds


class OriginAnswered(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reply to `FindOrigin`; `known` is None if the router does not know the attempt."""

    known: KnownOrigin | None


MESSAGE_TYPES: tuple[type, ...] = (
    TellOrigins,
    ArchiveOrigins,
    OriginsKept,
    FindOrigin,
    OriginAnswered,
)


def group_origins(records: Iterable[tuple[str, StreamOrigin, float]]) -> TellOrigins:
    """Returns the message for records of attempt id, origin and remaining seconds."""
    groups: dict[StreamOrigin, list[ToldAttempt]] = {}
    for attempt_id, origin, keep_seconds in records:
        told = ToldAttempt(
            attempt_id=attempt_id, keep_milliseconds=convert_to_milliseconds(keep_seconds)
        )
        groups.setdefault(origin, []).append(told)
    return TellOrigins(
        groups=[
            OriginGroup(
                service=origin.service,
                software_version=origin.software_version,
                attempts=attempts,
            )
            for origin, attempts in groups.items()
        ]
    )


def convert_to_milliseconds(keep_seconds: float) -> int:
    """Returns a remaining time in the unit and the range of the messages."""
    return min(max(int(keep_seconds * 1000), 0), MAX_KEEP_MILLISECONDS)
