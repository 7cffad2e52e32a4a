"""Which servers are brittle, as far as this router knows.

A brittle server says in each answer how many requests a second it can reject before it falls
over. The latest answer holds. Routers tell each other in heartbeats, so that one that has not
asked a server lately knows its state as well.

The servers of a service become brittle together. A server that has said nothing since its start is
taken for brittle while another one of its service is: one that comes back after it fell over would
otherwise get the requests of all routers at once.
"""

import collections
import dataclasses
import math
from collections.abc import Iterable

from laburnumpier_core.clock import Clock
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..fleet.member import MAX_TOLD_REJECTS, NamedBrittleness
from ..ports.dialect import ResponseHead
from ..ports.server_registry import RegisteredServer

MAX_AGE_SECONDS = 15.0
"""Time without an answer after which a server no longer counts as brittle. A server that fell over
is back after some seconds and has to be found brittle then."""
MAX_KNOWN_SERVERS = 512
MAX_TOLD_SERVERS = 64
"""Servers in one heartbeat."""
END_TOLD_SECONDS = 10.0
"""Time for which the end of a brittle time is told."""
TOLD_TOLERANCE_SECONDS = 0.25
"""Time by which a told answer has to be newer than a known one. Each message adds its delay to the
time of an answer that it tells of, so the same answer comes back as a slightly newer one."""

_log = get_part_logger("places")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Brittleness:
    """What a server last said of being brittle.

    Attributes:
        service: Service of the server.
        started_ms: Start of the server process, from its registry entry.
        max_rejects: Requests that it can reject in a second; None if it is not brittle.
        answered_seconds: Monotonic time of the answer.
        began_seconds: Monotonic time of the first known answer of this brittle time.
    """

    service: str
    started_ms: int
    max_rejects: int | None
    answered_seconds: float
    began_seconds: float

    def is_told(self, now_seconds: float) -> bool:
        """Returns whether other routers are told, and whether it is taken over from them."""
        max_age_seconds = END_TOLD_SECONDS if self.max_rejects is None else MAX_AGE_SECONDS
        return now_seconds - self.answered_seconds <= max_age_seconds

    def is_brittle(self, now_seconds: float) -> bool:
        """Returns whether the server is brittle."""
        age_seconds = now_seconds - self.answered_seconds
        return self.max_rejects is not None and age_seconds <= MAX_AGE_SECONDS

    def is_newer(self, known: "Brittleness") -> bool:
        """Returns whether it replaces what is known."""
        if self.started_ms != known.started_ms:
            return self.started_ms > known.started_ms
        return self.answered_seconds > known.answered_seconds + TOLD_TOLERANCE_SECONDS


class BrittleServers:
    """The servers that said lately that they are brittle, by server id."""

    __slots__ = ("_clock", "_known", "_metrics")

    def __init__(self, *, clock: Clock, metrics: Metrics):
        """Creates it without any server."""
        self._clock = clock
        self._metrics = metrics
        self._known: collections.OrderedDict[str, Brittleness] = collections.OrderedDict()

    @property
    def has_brittle(self) -> bool:
        """Whether any server is brittle."""
        now = self._clock.monotonic_seconds()
        return any(known.is_brittle(now) for known in self._known.values())

    def record_answer(self, server: RegisteredServer, head: ResponseHead) -> None:
        """Records what an answer of a server says.

        An answer with a notice that cannot be read does not end a brittle time: the server may
        still mean to be brittle.

        Args:
            server: Registry entry of the server, as of the moment of sending.
            head: Head of its answer.
        """
        known = self._known.get(server.server_id)
        max_rejects = head.max_rejects_per_second
        if head.is_misdirected or (max_rejects is None and known is None):
            return
        if max_rejects is None and head.invalid_notices:
            self._metrics.count("places.invalid_notices")
            fields = {"server": server.server_id, "headers": ",".join(head.invalid_notices)}
            _log.warning("brittle server sends an invalid notice", fields=fields)
            return
        now = self._clock.monotonic_seconds()
        brittleness = Brittleness(
            service=server.service,
            started_ms=server.started_ms,
            max_rejects=None if max_rejects is None else min(max_rejects, MAX_TOLD_REJECTS),
            answered_seconds=now,
            began_seconds=self._find_beginning(server.service, now),
        )
        self._set(server.server_id, brittleness, source="answer")

    def find(self, server: RegisteredServer) -> Brittleness | None:
        """Returns the brittleness of a server, or of another one of its service; None if none."""
        # Asked for each server of each request, while most deployments have no brittle server.
        if not self._known:
            return None
        now = self._clock.monotonic_seconds()
        known = self._known.get(server.server_id)
        if known is not None and known.started_ms == server.started_ms and known.is_told(now):
            return known if known.is_brittle(now) else None
        brittle = (b for b in self._known.values() if b.service == server.service)
        latest = max(brittle, key=lambda b: b.answered_seconds, default=None)
        return latest if latest is not None and latest.is_brittle(now) else None

    def list_told(self) -> list[NamedBrittleness]:
        """Returns what to tell other routers, the latest answers last."""
        now = self._clock.monotonic_seconds()
        for server_id, known in list(self._known.items()):
            if not known.is_told(now):
                del self._known[server_id]
                if known.max_rejects is not None:
                    _log.info("brittle server is silent", fields={"server": server_id})
        count = sum(known.is_brittle(now) for known in self._known.values())
        self._metrics.set_gauge("places.brittle_servers", count)
        told = list(self._known.items())[-MAX_TOLD_SERVERS:]
        return [
            NamedBrittleness(
                server_id=server_id,
                service=known.service,
                started_ms=known.started_ms,
                max_rejects=known.max_rejects,
                age_ms=max(0, round((now - known.answered_seconds) * 1000)),
                began_ms=max(0, round((now - known.began_seconds) * 1000)),
            )
            for server_id, known in told
        ]

    def adopt(self, told: Iterable[NamedBrittleness]) -> None:
        """Takes over newer answers that another router knows."""
        now = self._clock.monotonic_seconds()
        for named in told:
            brittleness = Brittleness(
                service=named.service,
                started_ms=named.started_ms,
                max_rejects=named.max_rejects,
                answered_seconds=now - named.age_ms / 1000,
                began_seconds=now - named.began_ms / 1000,
            )
            known = self._known.get(named.server_id)
            if known is None or brittleness.is_newer(known):
                if brittleness.is_told(now):
                    self._set(named.server_id, brittleness, source="router")
            elif brittleness.began_seconds < known.began_seconds - TOLD_TOLERANCE_SECONDS:
                self._set_beginning(named.server_id, known, brittleness)

    def _set_beginning(self, server_id: str, known: Brittleness, told: Brittleness) -> None:
        """Takes over an earlier beginning; a router that starts does not know it."""
        if known.max_rejects is not None and told.max_rejects is not None:
            began_seconds = told.began_seconds
            self._known[server_id] = dataclasses.replace(known, began_seconds=began_seconds)

    def _find_beginning(self, service: str, now_seconds: float) -> float:
        began = (
            known.began_seconds
            for known in self._known.values()
            if known.service == service and known.is_brittle(now_seconds)
        )
        return min(began, default=now_seconds)

    def _set(self, server_id: str, brittleness: Brittleness, source: str) -> None:
        known = self._known.get(server_id)
        before = known.max_rejects if known is not None else None
        self._known[server_id] = brittleness
        self._known.move_to_end(server_id)
        while len(self._known) > MAX_KNOWN_SERVERS:
            self._known.popitem(last=False)
        if before == brittleness.max_rejects:
            return
        is_end = brittleness.max_rejects is None
        event = "server no longer brittle" if is_end else "server is brittle"
        age_seconds = self._clock.monotonic_seconds() - brittleness.began_seconds
        fields = {"server": server_id, "rejects": brittleness.max_rejects, "before": before}
        fields["for_ms"] = round(age_seconds * 1000) if math.isfinite(age_seconds) else None
        _log.info(event, fields={**fields, "source": source})
