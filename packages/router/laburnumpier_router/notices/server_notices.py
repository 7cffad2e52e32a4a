"""What servers say of themselves in their answers, and which of them get no request for it.

A server that leaves says so in all its answers. From the first such answer on it gets no new
request, whatever its registry entry says; the entry follows later, or never. The notice holds for
one start of the server. Routers tell each other in heartbeats, so that those which have not asked
the server lately know it as well.

A server that rejects a request may name a time in which it wants none from this router. Others may
still send to it, so they are not told.

Load: servers that are replaced one after the other while requests arrive at all routers, and
services that are full for some seconds.
"""

import collections
from collections.abc import Iterable

from laburnumpier_core.clock import Clock
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..fleet.member import LeavingNotice
from ..ports.dialect import ResponseHead
from ..ports.server_registry import RegisteredServer

MAX_HOLD_OFF_SECONDS = 60.0
"""Longest time for which one answer keeps requests from a server. Without requests there is no
answer that could correct a wrong value."""
LEAVING_MAX_AGE_SECONDS = 120.0
"""Time for which a notice holds for a server that has not started again. It is longer than any
drain; a server of unknown start time could otherwise stay excluded for good."""
MAX_KNOWN_SERVERS = 512
MAX_TOLD_NOTICES = 64
"""Notices in one heartbeat."""

_log = get_part_logger("notices")


class ServerNotices:
    """The servers that say that they leave, and those that want no requests for a time."""

    __slots__ = ("_clock", "_held_off_until", "_leaving", "_metrics")

    def __init__(self, *, clock: Clock, metrics: Metrics):
        """Creates it without any notice.

        Args:
            clock: Source of monotonic time.
            metrics: Counters.
        """
        self._clock = clock
        self._metrics = metrics
        # Server id and start time, with the monotonic time of the notice.
        self._leaving: collections.OrderedDict[tuple[str, int], float] = collections.OrderedDict()
        self._held_off_until: collections.OrderedDict[tuple[str, int], float] = (
            collections.OrderedDict()
        )

    def record_answer(self, server: RegisteredServer, head: ResponseHead) -> None:
        """Records what an answer of a server says.

        Args:
            server: Registry entry of the server, as of the moment of sending.
            head: Head of an answer to the request that was sent.
        """
        if head.invalid_notices:
            self._metrics.count("notices.invalid")
            fields = {"server": server.server_id, "headers": ",".join(head.invalid_notices)}
            _log.warning("server sends an invalid notice", fields=fields)
        if head.is_misdirected:
            return
        now = self._clock.monotonic_seconds()
        if head.is_leaving:
            self._set_leaving(_make_key(server), now, source="answer")
        if head.hold_off_seconds:
            self._hold_off(server, head.hold_off_seconds, now)

    def is_excluded(self, server: RegisteredServer) -> bool:
        """Whether a server must not get a new request now."""
        return self.is_leaving(server) or self.find_hold_off(server) > 0

    def is_leaving(self, server: RegisteredServer) -> bool:
        """Whether this start of a server has said that it leaves."""
        since_seconds = self._leaving.get(_make_key(server))
        if since_seconds is None:
            return False
        return self._clock.monotonic_seconds() - since_seconds <= LEAVING_MAX_AGE_SECONDS

    def find_hold_off(self, server: RegisteredServer) -> float:
        """Returns the seconds for which a server still wants no requests; 0 if it takes them."""
        until_seconds = self._held_off_until.get(_make_key(server))
        if until_seconds is None:
            return 0.0
        return max(0.0, until_seconds - self._clock.monotonic_seconds())

    def find_return(self, servers: Iterable[RegisteredServer]) -> float | None:
        """Returns the seconds until the first of several servers takes requests again.

        Servers that leave are left out. None means that no server waits for its time to end.
        """
        waits = [self.find_hold_off(server) for server in servers if not self.is_leaving(server)]
        return min((seconds for seconds in waits if seconds > 0), default=None)

    def list_told(self) -> list[LeavingNotice]:
        """Returns what to tell other routers, the newest notices last; forgets what is over."""
        now = self._clock.monotonic_seconds()
        _drop_until(self._leaving, now - LEAVING_MAX_AGE_SECONDS)
        _drop_until(self._held_off_until, now)
        self._metrics.set_gauge("notices.servers_leaving", len(self._leaving))
        self._metrics.set_gauge("notices.servers_held_off", len(self._held_off_until))
        return [
            LeavingNotice(
                server_id=server_id,
                started_ms=started_ms,
                age_ms=max(0, round((now - since_seconds) * 1000)),
            )
            for (server_id, started_ms), since_seconds in list(self._leaving.items())[
                -MAX_TOLD_NOTICES:
            ]
        ]

    def adopt(self, told: Iterable[LeavingNotice]) -> None:
        """Takes over notices that another router knows."""
        now = self._clock.monotonic_seconds()
        for notice in told:
            since_seconds = now - notice.age_ms / 1000
            if now - since_seconds <= LEAVING_MAX_AGE_SECONDS:
                key = (notice.server_id, notice.started_ms)
                self._set_leaving(key, since_seconds, source="router")

    def dump_state(self) -> dict[str, list[str]]:
        """Returns the ids of the servers with a notice, for the state dump."""
        return {
            "leaving": [server_id for server_id, _ in self._leaving],
            "held_off": [server_id for server_id, _ in self._held_off_until],
        }

    def _set_leaving(self, key: tuple[str, int], since_seconds: float, source: str) -> None:
        # The first notice counts: its age decides when it ends, also at the routers told of it.
        if key in self._leaving:
            return
        self._leaving[key] = since_seconds
        _limit_length(self._leaving)
        self._metrics.count("notices.leaving")
        _log.info("server says that it leaves", fields={"server": key[0], "source": source})

    def _hold_off(self, server: RegisteredServer, seconds: float, now_seconds: float) -> None:
        key = _make_key(server)
        bounded_seconds = min(seconds, MAX_HOLD_OFF_SECONDS)
        known = self._held_off_until.get(key, 0.0)
        self._held_off_until[key] = max(known, now_seconds + bounded_seconds)
        self._held_off_until.move_to_end(key)
        _limit_length(self._held_off_until)
        self._metrics.count("notices.held_off")
        if known <= now_seconds:
            fields = {"server": server.server_id, "seconds": bounded_seconds, "named": seconds}
            _log.info("server wants no requests for a time", fields=fields)


def _make_key(server: RegisteredServer) -> tuple[str, int]:
    return server.server_id, server.started_ms


def _limit_length(notices: collections.OrderedDict[tuple[str, int], float]) -> None:
    while len(notices) > MAX_KNOWN_SERVERS:
        notices.popitem(last=False)


def _drop_until(
    notices: collections.OrderedDict[tuple[str, int], float], end_seconds: float
) -> None:
    for key in [key for key, seconds in notices.items() if seconds <= end_seconds]:
        del notices[key]
