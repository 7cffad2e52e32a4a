"""A request at a server, watched until its answer has begun."""

import asyncio
import dataclasses
import math

from ..ports.server_registry import RegisteredServer

BEGIN_SECONDS = 0.25
"""Time after its first piece for which an answer must go on to count as begun. A server may crash
on the first piece after that has left it."""


class PartBlockedError(Exception):
    """The request was taken back from its server, as a part of its prompt is blocked."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class WatchedRun:
    """A request at a server.

    Attributes:
        parts: Shared parts of its prompt.
        server: Registry entry of the server, as of the moment of sending.
        attempt_id: The caller's attempt, for logs.
        fingerprint: Identifies the request if it comes again.
        timeout: Ends the request when one of its parts is blocked.
        first_piece_seconds: Monotonic time of the first piece of its answer.
        has_begun: Whether its answer has begun.
    """

    service: str
    parts: tuple[str, ...]
    server: RegisteredServer
    attempt_id: str
    fingerprint: str
    timeout: asyncio.Timeout | None = None
    first_piece_seconds: float = math.inf
    has_begun: bool = False

    @property
    def suspects(self) -> tuple[str, ...]:
        """What may be the cause if its server crashes: the parts, and the request itself."""
        return (*self.parts, self.fingerprint)

    def is_begun_by(self, now_seconds: float) -> bool:
        """Returns whether a piece that arrives now shows that the answer has begun."""
        self.first_piece_seconds = min(self.first_piece_seconds, now_seconds)
        return now_seconds - self.first_piece_seconds >= BEGIN_SECONDS

    def is_silent_with(self, service: str, part: str) -> bool:
        """Whether the request has a part or is blocked itself, and no piece has arrived."""
        has_part = self.service == service and part in self.suspects
        return has_part and self.first_piece_seconds == math.inf

    def take_back(self) -> None:
        """Ends the request at its server, at the next turn of the event loop."""
        if self.timeout is not None and not self.has_begun and not self.timeout.expired():
            self.timeout.reschedule(asyncio.get_running_loop().time())
