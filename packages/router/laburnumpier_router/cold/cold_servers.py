"""Which servers are cold, as this router knows it.

A registry entry says it of a server that has just started, and an answer may say it at any moment.
A statement holds from the moment at which it is heard, as its age is not known, and only extends
what is known: a server is treated as cold for too long rather than for too short a time.
"""

import dataclasses
import math
from collections.abc import Iterable

from laburnumpier_core.clock import Clock
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..ports.server_registry import RegisteredServer
from .messages import MAX_TOLD_COLD, ColdServer

MAX_COLD_SECONDS = 30.0
"""Longest cold time that is believed; servers are cold for some seconds."""
MAX_KNOWN_SERVERS = 512
MAX_ID_LENGTH = 200
"""Characters in the id of a server that another router tells."""
TOLD_TOLERANCE_SECONDS = 0.25
"""Time by which a told end has to be later than a known one. Each message adds its delay to the
time that remains, and a statement must not be prolonged on its way through the fleet."""

_log = get_part_logger("cold")


@dataclasses.dataclass(slots=True, kw_only=True)
class ColdTime:
    """What is known of one server.

    Attributes:
        entry: Last registry entry that was looked at; None if the server is known from elsewhere.
        started_ms: Start of the server process that the time belongs to.
        until_seconds: Monotonic time at which the server is no longer cold.
        is_told: Whether other routers have to be told, as the registry does not say so.
        is_logged: Whether the begin was logged and the end was not.
    """

    entry: RegisteredServer | None = None
    started_ms: int = 0
    until_seconds: float = -math.inf
    is_told: bool = False
    is_logged: bool = False


class ColdServers:
    """The times until which servers are cold, by server id."""

    __slots__ = ("_clock", "_metrics", "_times")

    def __init__(self, *, clock: Clock, metrics: Metrics):
        """Creates it without cold servers.

        Args:
            clock: Source of time.
            metrics: Counters and a gauge.
        """
        self._clock = clock
        self._metrics = metrics
        self._times: dict[str, ColdTime] = {}

    def is_cold(self, server: RegisteredServer) -> bool:
        """Whether a server is cold now."""
        known = self._times.get(server.server_id)
        if known is None or known.started_ms != server.started_ms:
            return False
        return self._clock.monotonic_seconds() < known.until_seconds

    def find_remaining(self, server: RegisteredServer) -> float:
        """Returns the seconds for which a server is still cold; 0 if it is not."""
        if not self.is_cold(server):
            return 0.0
        return self._times[server.server_id].until_seconds - self._clock.monotonic_seconds()

    def note_entry(self, entry: RegisteredServer) -> None:
        """Takes over what a registry entry says.

        An entry that was looked at before says nothing new: it is passed again when it is
        replaced or removed.
        """
        known = self._times.get(entry.server_id)
        if known is not None and known.entry is entry:
            return
        if entry.cold_ms <= 0 and known is None:
            return
        self._extend(entry.server_id, entry.started_ms, entry.cold_ms / 1000, "registry")
        self._times[entry.server_id].entry = entry

    def record_answer(self, server: RegisteredServer, cold_seconds: float | None) -> None:
        """Takes over what an answer of a server says."""
        if cold_seconds is not None and cold_seconds > 0:
            self._extend(server.server_id, server.started_ms, cold_seconds, "answer")

    def adopt(self, router: str, told: Iterable[ColdServer]) -> None:
        """Takes over what another router was told by servers."""
        now = self._clock.monotonic_seconds()
        for server in list(told)[:MAX_TOLD_COLD]:
            if server.remaining_ms < 0 or len(server.server_id) > MAX_ID_LENGTH:
                self._metrics.count("cold.invalid")
                _log.warning("ignoring an invalid cold time", fields={"router": router})
                continue
            known = self._times.get(server.server_id, ColdTime())
            seconds = server.remaining_ms / 1000
            is_same = known.started_ms == server.started_ms
            if not is_same or now + seconds > known.until_seconds + TOLD_TOLERANCE_SECONDS:
                self._extend(server.server_id, server.started_ms, seconds, router)

    def list_told(self) -> list[ColdServer]:
        """Returns what to tell other routers, and ends the times that are over."""
        now = self._clock.monotonic_seconds()
        self._end_times(now)
        return [
            ColdServer(
                server_id=server_id,
                started_ms=known.started_ms,
                remaining_ms=max(0, round((known.until_seconds - now) * 1000)),
            )
            for server_id, known in self._times.items()
            if known.is_told and known.until_seconds > now
        ][-MAX_TOLD_COLD:]

    def describe(self) -> dict[str, float]:
        """Returns the seconds for which each cold server is cold, for the state dump."""
        now = self._clock.monotonic_seconds()
        return {
            server_id: round(known.until_seconds - now, 1)
            for server_id, known in self._times.items()
            if known.until_seconds > now
        }

    def _extend(self, server_id: str, started_ms: int, seconds: float, source: str) -> None:
        now = self._clock.monotonic_seconds()
        known = self._times.pop(server_id, None)
        if known is None or known.started_ms < started_ms:
            known = ColdTime(started_ms=started_ms)
        self._times[server_id] = known
        while len(self._times) > MAX_KNOWN_SERVERS:
            del self._times[next(iter(self._times))]
        if known.started_ms != started_ms or seconds <= 0:
            return
        if seconds > MAX_COLD_SECONDS:
            self._metrics.count("cold.invalid")
            _log.warning("a cold time is bounded", fields={"server": server_id, "s": seconds})
        until_seconds = now + min(seconds, MAX_COLD_SECONDS)
        known.until_seconds = max(known.until_seconds, until_seconds)
        known.is_told = known.is_told or source != "registry"
        if not known.is_logged:
            known.is_logged = True
            self._metrics.count("cold.begun")
            fields = {"server": server_id, "cold_ms": round(seconds * 1000), "source": source}
            _log.info("server is cold", fields=fields)

    def _end_times(self, now_seconds: float) -> None:
        cold = 0
        for server_id, known in self._times.items():
            if known.until_seconds > now_seconds:
                cold += 1
                continue
            known.is_told = False
            if known.is_logged:
                known.is_logged = False
                _log.info("server is no longer cold", fields={"server": server_id})
        self._metrics.set_gauge("cold.servers", cold)
