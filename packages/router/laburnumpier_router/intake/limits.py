"""Limits of what one caller may send, and how long it may take."""

import dataclasses

import msgspec

MAX_LIMIT_BYTES = 2**40
MAX_LIMIT_SECONDS = 86400.0


class StatedLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits that come with a configuration; None for those that it does not state."""

    max_header_bytes: int | None = None
    max_body_bytes: int | None = None
    header_timeout_seconds: float | None = None
    idle_timeout_seconds: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits in force for one connection.

    Attributes:
        max_header_bytes: Size of a request head.
        max_body_bytes: Size of a request body, without its framing.
        header_timeout_seconds: Time from the first byte of a head to its end.
        idle_timeout_seconds: Time without a byte before a request.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float

    def override(self, stated: StatedLimits | None) -> "CallerLimits":
        """Returns these limits with the ones that a configuration states in their place."""
        if stated is None:
            return self
        fields = msgspec.structs.asdict(stated).items()
        valid = {name: value for name, value in fields if _is_valid(name, value)}
        return dataclasses.replace(self, **valid)


def _is_valid(name: str, value: float | None) -> bool:
    """Whether a stated limit is in range; a router of another release may send any."""
    most = MAX_LIMIT_BYTES if name.endswith("_bytes") else MAX_LIMIT_SECONDS
    return value is not None and 0 < value <= most
