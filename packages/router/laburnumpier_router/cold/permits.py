"""Permits for requests to cold servers, given out by two fixed routers for each server.

A router asks one of the two, and the other one if that has no permit or does not answer. Without
a permit a cold server gets nothing: it is warm again in seconds, and other servers run requests
meanwhile. There is no share that a router may use by itself, as one request of each of 85 routers
would be several times what a cold server bears.
"""

import asyncio
import math
import random
from typing import Protocol

from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import PeerError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..configuration.document import Configuration
from ..fleet.service import FleetService
from ..forward.permit_schedule import PermitSchedule
from ..ports.server_registry import RegisteredServer
from .cold_servers import ColdServers
from .messages import AskColdPermit, ColdPermitAnswered
from .quota import (
    ARRIVAL_JITTER_SECONDS,
    BURST_REQUESTS,
    ColdBound,
    compute_grantor_rate,
    find_grantor_vms,
)

ASK_TIMEOUT_SECONDS = 0.15
SILENT_SECONDS = 1.0
"""Time for which a grantor that did not answer is not asked."""
START_PAUSE_SECONDS = 2.0
"""Time after its start in which a router gives no permit. What the process before it gave has
arrived by then: permits count for 1 s and are used at most 0.5 s late."""
UNKNOWN_HOLD_OFF_SECONDS = 0.5
"""Time after which a router asks again where nobody could give a permit."""
MAX_SCHEDULES = 512

_log = get_part_logger("cold")


class ConfigurationSource(Protocol):
    """Provides the active configuration."""

    @property
    def configuration(self) -> Configuration:
        """The active configuration."""


class ColdPermits:
    """Asks for permits to send to cold servers, and gives out those of this router."""

    __slots__ = (
        "_bound",
        "_clock",
        "_configuration",
        "_denied_until",
        "_fleet",
        "_metrics",
        "_random",
        "_schedules",
        "_servers",
        "_silent_until",
        "_started_seconds",
    )

    def __init__(
        self,
        *,
        fleet: FleetService,
        servers: ColdServers,
        configuration: ConfigurationSource,
        bound: ColdBound,
        clock: Clock,
        metrics: Metrics,
        random_source: random.Random,
    ):
        """Creates it at the start of the router.

        Args:
            fleet: Calls to the other routers, and the names of the VMs.
            servers: Which servers are cold.
            configuration: Provides the rates of the services.
            bound: What all routers together may send to a cold server.
            clock: Source of time.
            metrics: Counters.
            random_source: Chooses the grantor that is asked first.
        """
        self._fleet = fleet
        self._servers = servers
        self._configuration = configuration
        self._bound = bound
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._started_seconds = clock.monotonic_seconds()
        self._schedules: dict[str, PermitSchedule] = {}
        self._denied_until: dict[str, float] = {}
        self._silent_until: dict[str, float] = {}

    @property
    def servers(self) -> ColdServers:
        """Which servers are cold."""
        return self._servers

    def is_needed(self, server: RegisteredServer) -> bool:
        """Whether a request to a server needs a permit now."""
        return self._servers.is_cold(server) and self.find_rate(server.service) > 0

    def find_rate(self, service: str) -> float:
        """Returns the requests a second that a cold server of a service bears; 0 for no limit."""
        entry = self._configuration.configuration.services.get(service)
        return 0.0 if entry is None else entry.cold_requests_per_second

    def may_have_permit(self, server: RegisteredServer) -> bool:
        """Whether a server needs no permit, or this router may ask for one again."""
        if not self.is_needed(server):
            return True
        until_seconds = self._denied_until.get(server.server_id, -math.inf)
        return self._clock.monotonic_seconds() >= until_seconds

    async def acquire(self, server: RegisteredServer, max_wait_seconds: float) -> bool:
        """Waits until a request may be sent to a cold server; False if there is no permit."""
        hold_offs = []
        grantors = self._list_grantors(server.server_id)
        self._random.shuffle(grantors)
        for vm in grantors:
            asked_seconds = self._clock.monotonic_seconds()
            answer = await self._ask(vm, server, max_wait_seconds)
            if answer.wait_ms is not None:
                return await self._use(answer.wait_ms / 1000, asked_seconds)
            hold_offs.append(answer.hold_off_ms / 1000)
        self._record_denial(server.server_id, min(hold_offs, default=UNKNOWN_HOLD_OFF_SECONDS))
        return False

    async def handle_ask(self, sender: str, message: AskColdPermit) -> ColdPermitAnswered:
        """Answers another router that wants to send to a cold server."""
        return self._grant(sender, message.server_id, message.service, message.max_wait_ms / 1000)

    def _list_grantors(self, server_id: str) -> list[str]:
        return find_grantor_vms(server_id, list(self._fleet.map_vms()))

    async def _use(self, wait_seconds: float, asked_seconds: float) -> bool:
        """Waits for the moment of a permit; one that this router can no longer use lapses."""
        await asyncio.sleep(wait_seconds)
        late_seconds = self._clock.monotonic_seconds() - asked_seconds - wait_seconds
        if late_seconds > ARRIVAL_JITTER_SECONDS:
            self._metrics.count("cold.permits_lapsed")
            return False
        self._metrics.count("cold.permits_used")
        return True

    async def _ask(
        self, vm: str, server: RegisteredServer, max_wait_seconds: float
    ) -> ColdPermitAnswered:
        if vm == self._fleet.member.vm:
            return self._grant(
                self._fleet.self_name, server.server_id, server.service, max_wait_seconds
            )
        now = self._clock.monotonic_seconds()
        silent_seconds = self._silent_until.get(vm, -math.inf) - now
        if silent_seconds > 0:
            return _deny(silent_seconds)
        message = AskColdPermit(
            server_id=server.server_id,
            service=server.service,
            max_wait_ms=round(max_wait_seconds * 1000),
        )
        self._metrics.count("cold.permits_asked")
        try:
            router = self._fleet.map_vms()[vm]
            answer = await self._fleet.call(router, message, ASK_TIMEOUT_SECONDS)
        except (PeerError, KeyError) as error:
            self._record_silence(vm, error)
            return _deny(SILENT_SECONDS)
        return answer if isinstance(answer, ColdPermitAnswered) else _deny(SILENT_SECONDS)

    def _grant(
        self, router: str, server_id: str, service: str, max_wait_seconds: float
    ) -> ColdPermitAnswered:
        """Gives out a permit of this router, if it is one of the server's grantors."""
        now = self._clock.monotonic_seconds()
        grantors = self._list_grantors(server_id)
        pause_seconds = self._started_seconds + START_PAUSE_SECONDS - now
        rate = compute_grantor_rate(self.find_rate(service), self._bound, len(grantors))
        if pause_seconds > 0:
            return self._deny_and_count(pause_seconds)
        if not self._fleet.is_registered or self._fleet.member.vm not in grantors or not rate:
            return self._deny_and_count(UNKNOWN_HOLD_OFF_SECONDS)
        schedule = self._get_schedule(server_id)
        wait_seconds = schedule.reserve(
            rate, now, max_wait_seconds, tolerance_seconds=BURST_REQUESTS / rate
        )
        if wait_seconds is None:
            return self._deny_and_count(schedule.deny(router, rate, now, max_wait_seconds))
        schedule.record_granted(router)
        return ColdPermitAnswered(wait_ms=math.ceil(wait_seconds * 1000))

    def _deny_and_count(self, hold_off_seconds: float) -> ColdPermitAnswered:
        self._metrics.count("cold.permits_denied")
        return _deny(hold_off_seconds)

    def _get_schedule(self, server_id: str) -> PermitSchedule:
        """Returns the schedule of a server; forgets the one used longest ago if there are many."""
        schedule = self._schedules.pop(server_id, None) or PermitSchedule()
        while len(self._schedules) >= MAX_SCHEDULES:
            del self._schedules[next(iter(self._schedules))]
        self._schedules[server_id] = schedule
        return schedule

    def _record_denial(self, server_id: str, hold_off_seconds: float) -> None:
        now = self._clock.monotonic_seconds()
        self._denied_until = {s: end for s, end in self._denied_until.items() if end > now}
        self._denied_until[server_id] = now + hold_off_seconds

    def _record_silence(self, vm: str, error: Exception) -> None:
        now = self._clock.monotonic_seconds()
        self._metrics.count("cold.grantors_silent")
        _log.info("no answer about a cold server", fields={"vm": vm, "error": error})
        self._silent_until = {name: end for name, end in self._silent_until.items() if end > now}
        self._silent_until[vm] = now + SILENT_SECONDS


def _deny(hold_off_seconds: float) -> ColdPermitAnswered:
    return ColdPermitAnswered(wait_ms=None, hold_off_ms=math.ceil(hold_off_seconds * 1000))
