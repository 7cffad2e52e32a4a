"""Keeps the load of this router and tells the load balancer and the other routers of it."""

import asyncio
from collections.abc import Iterable

from laburnumpier_core.clock import Clock
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..fleet.member import SheddingNotice
from ..fleet.service import FleetService
from .load_meter import OVERHEAD_BYTES, LoadMeter
from .shedding import DataCentreView, LoadShedding

UPDATE_SECONDS = 0.1
"""Interval of the decisions; also the timer by which the delay of the event loop is measured."""
NOTICE_MAX_AGE_SECONDS = 5.0
"""Age from which another router's notice is no longer believed. Heartbeats repeat it each second,
and a router that is ready again ends it by no longer telling it."""
MAX_TOLD_NOTICES = 64

_log = get_part_logger("ingress")


class IngressService:
    """Whether new callers should come to this router, by its own load and that of the others."""

    __slots__ = ("_clock", "_fleet", "_meter", "_metrics", "_notices", "_shedding")

    def __init__(self, *, fleet: FleetService, link_mbps: float, clock: Clock, metrics: Metrics):
        """Creates the service of a router that is ready.

        Args:
            fleet: Other routers.
            link_mbps: Capacity of this VM's link in Mbit/s; 0 turns load shedding off.
            clock: Source of monotonic time.
            metrics: Counters.
        """
        self._fleet = fleet
        self._clock = clock
        self._metrics = metrics
        self._meter = LoadMeter(link_mbps=link_mbps, now_seconds=clock.monotonic_seconds())
        self._shedding = LoadShedding(meter=self._meter)
        self._notices: dict[str, float] = {}

    @property
    def is_shedding(self) -> bool:
        """Whether new connections should go to other routers."""
        return self._shedding.is_active

    def record_request(self, body_bytes: int) -> None:
        """Records a request that was read, with the bytes of its body."""
        now = self._clock.monotonic_seconds()
        self._meter.record_bytes(body_bytes + OVERHEAD_BYTES, now)

    def record_response(self, body_bytes: int) -> None:
        """Records bytes of a response body that are sent to a caller."""
        self._meter.record_bytes(body_bytes, self._clock.monotonic_seconds())

    async def update_periodically(self) -> None:
        """Measures the delay of the event loop and decides again, until cancelled."""
        while True:
            due_seconds = self._clock.monotonic_seconds() + UPDATE_SECONDS
            await asyncio.sleep(UPDATE_SECONDS)
            now = self._clock.monotonic_seconds()
            self._meter.record_delay(now - due_seconds, now)
            self._update(now)

    def list_told(self) -> list[SheddingNotice]:
        """Returns the routers that report not ready because of their load, for other routers."""
        now = self._clock.monotonic_seconds()
        self._forget_old(now)
        told = [
            SheddingNotice(router=name, age_ms=max(0, round((now - seconds) * 1000)))
            for name, seconds in self._notices.items()
        ]
        if self.is_shedding:
            told.append(SheddingNotice(router=self._fleet.self_name, age_ms=0))
        return told[-MAX_TOLD_NOTICES:]

    def adopt(self, told: Iterable[SheddingNotice]) -> None:
        """Takes over what another router knows of the load of routers."""
        now = self._clock.monotonic_seconds()
        for notice in told:
            if notice.router != self._fleet.self_name:
                seconds = now - notice.age_ms / 1000
                self._notices[notice.router] = max(
                    seconds, self._notices.get(notice.router, seconds)
                )
        self._forget_old(now)

    def dump_state(self) -> dict[str, object]:
        """Returns the load of this router, for the state dump."""
        now = self._clock.monotonic_seconds()
        return {
            "shedding": self.is_shedding,
            "link_share": round(self._meter.get_link_share(now), 3),
            "delay_ms": round(self._meter.delay_seconds * 1000, 1),
            "others_shedding": sorted(self._notices),
        }

    def _update(self, now_seconds: float) -> None:
        view = self._view_data_centre(now_seconds)
        link_share = self._meter.get_link_share(now_seconds)
        self._metrics.set_gauge("ingress.link_percent", round(100 * link_share))
        if not self._shedding.update(view, now_seconds):
            return
        event = "turning new connections away" if self.is_shedding else "taking new connections"
        self._metrics.count(
            "ingress.shedding_begun" if self.is_shedding else "ingress.ready_again"
        )
        fields = {
            "link_share": round(link_share, 3),
            "delay_ms": round(self._meter.delay_seconds * 1000, 1),
            "live": view.live,
            "others_shedding": view.shedding,
        }
        _log.info(event, fields=fields)

    def _view_data_centre(self, now_seconds: float) -> DataCentreView:
        self._forget_old(now_seconds)
        view = self._fleet.view
        own = self._fleet.member.data_centre
        live = [name for name in view.live if view.known[name].member.data_centre == own]
        return DataCentreView(
            live=1 + len(live), shedding=sum(name in self._notices for name in live)
        )

    def _forget_old(self, now_seconds: float) -> None:
        oldest_seconds = now_seconds - NOTICE_MAX_AGE_SECONDS
        self._notices = {n: s for n, s in self._notices.items() if s >= oldest_seconds}
