"""The limits that servers name in their answers, as far as this router knows them.

Each answer of a server says how many requests a second it takes from all routers together, or
that there is no limit. The latest answer holds. Routers tell each other in their heartbeats, so
that one that has not asked a server lately knows its limit as well.
"""

import collections
import dataclasses
from collections.abc import Iterable

from laburnumpier_core.clock import Clock
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..fleet.member import NamedLimit
from ..ports.dialect import ResponseHead
from ..ports.server_registry import RegisteredServer

MAX_AGE_SECONDS = 30.0
"""Time without an answer after which it is unknown whether a server has a limit."""
MAX_KNOWN_SERVERS = 512
MAX_TOLD_LIMITS = 64
"""Limits in one heartbeat."""
END_TOLD_SECONDS = 10.0
"""Time for which the end of a limit is told."""
TOLD_TOLERANCE_SECONDS = 0.25
"""Time by which a told answer has to be newer than a known one. Each message adds its delay to the
time of an answer that it tells of, so the same answer comes back as a slightly newer one."""

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
        if known is None or known.started_ms != server.started_ms:
            return None
        return self.find_latest(server.server_id)

    def find_latest(self, server_id: str) -> float | None:
        """Returns the last limit of any process under a server's id; None if there is none."""
        known = self._limits.get(server_id)
        if known is None or self._is_outdated(known):
            return None
        return known.per_second

    def list_told(self) -> list[NamedLimit]:
        """Returns what to tell other routers, the latest answers last."""
        now = self._clock.monotonic_seconds()
        for server_id in [s for s, limit in self._limits.items() if not _is_told(limit, now)]:
            del self._limits[server_id]
        self._metrics.set_gauge("forward.limited_servers", len(self._limits))
        told = list(self._limits.items())[-MAX_TOLD_LIMITS:]
        return [_make_named_limit(server_id, limit, now) for server_id, limit in told]

    def make_told(self, server: RegisteredServer) -> NamedLimit | None:
        """Returns what to tell another router of one server; None if nothing is known."""
        known = self._limits.get(server.server_id)
        if known is None:
            return None
        now = self._clock.monotonic_seconds()
        return _make_named_limit(server.server_id, known, now)

    def adopt(self, told: Iterable[NamedLimit]) -> None:
        """Takes over newer answers that another router knows."""
        now = self._clock.monotonic_seconds()
        for named in told:
            limit = RateLimit(
                started_ms=named.started_ms,
                per_second=named.per_second,
                answered_seconds=now - named.age_ms / 1000,
            )
            known = self._limits.get(named.server_id)
            if _is_told(limit, now) and (known is None or _is_newer(limit, known)):
                self._set(named.server_id, limit, source="router")

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


def _is_told(limit: RateLimit, now_seconds: float) -> bool:
    max_age_seconds = END_TOLD_SECONDS if limit.per_second is None else MAX_AGE_SECONDS
    return now_seconds - limit.answered_seconds <= max_age_seconds


def _is_newer(limit: RateLimit, known: RateLimit) -> bool:
    if limit.started_ms != known.started_ms:
        return limit.started_ms > known.started_ms
    return limit.answered_seconds > known.answered_seconds + TOLD_TOLERANCE_SECONDS


def _make_named_limit(server_id: str, limit: RateLimit, now_seconds: float) -> NamedLimit:
    return NamedLimit(
        server_id=server_id,
        started_ms=limit.started_ms,
        per_second=limit.per_second,
        age_ms=max(0, round((now_seconds - limit.answered_seconds) * 1000)),
    )
