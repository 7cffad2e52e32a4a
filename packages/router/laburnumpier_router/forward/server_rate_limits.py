"""The limits that servers name in their answers, as far as this router knows them.

Each answer of a server says how many requests a second it takes from all routers together, or
that there is no limit. The latest answer holds.
"""

import collections
import dataclasses

from laburnumpier_core.clock import Clock
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..ports.dialect import ResponseHead
from ..ports.server_registry import RegisteredServer

MAX_AGE_SECONDS = 30.0
"""Time without an answer after which it is unknown whether a server has a limit."""
MAX_KNOWN_SERVERS = 512

_log = get_part_logger("forward")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RateLimit:
    """What a server last said of its limit.

    Attributes:
        started_ms: Start of the server process, from its registry entry.
        per_second: Requests a second from all routers together; None if it named no limit.
        answered_seconds: Monotonic time of the answer.
    """

    started_ms: int
    per_second: float | None
    answered_seconds: float


class ServerRateLimits:
    """The limits of all servers that named one lately, by server id."""

    __slots__ = ("_clock", "_limits", "_metrics")

    def __init__(self, *, clock: Clock, metrics: Metrics):
        """Creates it without any limit."""
        self._clock = clock
        self._metrics = metrics
        self._limits: collections.OrderedDict[str, RateLimit] = collections.OrderedDict()

    def record_answer(self, server: RegisteredServer, head: ResponseHead) -> None:
        """Records what an answer of a server says of its limit.

        A limit that cannot be read changes nothing: the server still means to have one.

        Args:
            server: Registry entry of the server, as of the moment of sending.
            head: Head of its answer.
        """
        known = self._limits.get(server.server_id)
        if head.has_invalid_rate_limit:
            self._metrics.count("forward.invalid_rate_limits")
            _log.warning("server names an invalid limit", fields={"server": server.server_id})
            return
        if head.is_misdirected or (head.rate_limit is None and known is None):
            return
        self._set(
            server.server_id,
            RateLimit(
                started_ms=server.started_ms,
                per_second=head.rate_limit,
                answered_seconds=self._clock.monotonic_seconds(),
            ),
            source="answer",
        )

    def find(self, server: RegisteredServer) -> float | None:
        """Returns the limit of a server in requests a second; None if it has none."""
        known = self._limits.get(server.server_id)
        if known is None or known.started_ms != server.started_ms or self._is_outdated(known):
            return None
        return known.per_second

    def _set(self, server_id: str, limit: RateLimit, source: str) -> None:
        known = self._limits.get(server_id)
        before = known.per_second if known is not None else None
        self._limits[server_id] = limit
        self._limits.move_to_end(server_id)
        while len(self._limits) > MAX_KNOWN_SERVERS:
            self._limits.popitem(last=False)
        if before == limit.per_second:
            return
        event = "server names a limit" if limit.per_second is not None else "server limit ended"
        fields = {"server": server_id, "limit": limit.per_second, "before": before}
        _log.info(event, fields={**fields, "source": source})

    def _is_outdated(self, limit: RateLimit) -> bool:
        age_seconds = self._clock.monotonic_seconds() - limit.answered_seconds
        return age_seconds > MAX_AGE_SECONDS
