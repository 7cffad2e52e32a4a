"""The software version of servers that began a stream."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StreamOrigin:
    """Where a stream began; it may go on only at servers of the same version.

    Attributes:
        service: Service of the server that sent the first event.
        software_version: Version of that server's software, as in its registry entry.
    """

    service: str
    software_version: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeptOrigin:
    """An origin and the time until which it is remembered.

    Attributes:
        expires_seconds: Monotonic time of this process after which it is forgotten.
    """

    origin: StreamOrigin
    expires_seconds: float
