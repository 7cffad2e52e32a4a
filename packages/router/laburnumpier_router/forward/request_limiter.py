"""Keeps the limits of servers across the fleet: each request to a limited server needs a permit.

The permits of a server come from one router, its home, so that the limit is used by whichever
routers have requests for it. The message to the home precedes only requests to limited servers,
which take few. A router without a permit does not ask again before a time that the home tells it.

If the home does not answer, a router uses an equal share of the limit. In a cut there is a home on
each side, so a home gives out only the share of the VMs that it hears of.
"""

import asyncio
import dataclasses
import math
import random
from collections.abc import Iterable

from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import PeerError
from laburnumpier_core.metrics import Metrics

from ..cold.permits import ColdPermits
from ..fleet.service import FleetService
from ..ports.dialect import ResponseHead
from ..ports.server_registry import RegisteredServer
from .permit_messages import AskPermit, PermitAnswered
from .permit_schedule import PermitSchedule
from .server_rate_limits import ServerRateLimits

MIN_RATE_PER_SECOND = 0.25
"""Requests a second that also servers with a lower limit get; only an answer shows that a limit
has ended."""
ASK_TIMEOUT_SECONDS = 0.15
SILENT_HOME_SECONDS = 1.0
"""Time for which a home that did not answer is not asked."""
MAX_RETRY_AFTER_SECONDS = 30.0
MAX_SCHEDULES = 512


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Denial:
    """A permit that was not given.

    Attributes:
        until_seconds: Monotonic time before which there is none for such a request.
        max_wait_seconds: Longest time that the request could have waited.
    """

    until_seconds: float
    max_wait_seconds: float


class RequestLimiter:
    """Asks for permits, and gives out those of the servers whose home this router is."""

    __slots__ = (
        "_clock",
        "_cold",
        "_denials",
        "_fleet",
        "_limits",
        "_metrics",
        "_random",
        "_return_seconds",
        "_schedules",
        "_shares",
        "_silent_until",
    )

    def __init__(
        self,
        *,
        fleet: FleetService,
        limits: ServerRateLimits,
        clock: Clock,
        metrics: Metrics,
        random_source: random.Random,
        cold: ColdPermits | None = None,
    ):
        """Creates a limiter that has given no permits.

        Args:
            fleet: Calls to the other routers.
            limits: Limits that servers named.
            clock: Source of time.
            metrics: Counters.
            random_source: Spreads the first requests of the routers' equal shares.
            cold: Permits of cold servers, which a request needs beside those of a limit; None if
                no server is ever cold.
        """
        self._fleet = fleet
        self._limits = limits
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._cold = cold
        self._schedules: dict[str, PermitSchedule] = {}
        self._shares: dict[str, PermitSchedule] = {}
        self._denials: dict[str, Denial] = {}
        self._silent_until: dict[str, float] = {}
        self._return_seconds: dict[str, float] = {}

    def is_limited(self, server: RegisteredServer) -> bool:
        """Returns whether requests to a server need a permit."""
        return self._limits.find(server) is not None or self._is_cold(server)

    def may_have_permit(self, server: RegisteredServer, max_wait_seconds: float) -> bool:
        """Returns whether a server has no limit, or a permit for it may be had now."""
        if self._cold is not None and not self._cold.may_have_permit(server):
            return False
        denial = self._denials.get(server.server_id)
        if denial is None or not self.is_limited(server):
            return True
        is_over = self._clock.monotonic_seconds() >= denial.until_seconds
        return is_over or max_wait_seconds > denial.max_wait_seconds

    async def acquire(self, server: RegisteredServer, max_wait_seconds: float) -> bool:
        """Waits until a request may be sent to a server.

        Returns:
            False at once if there is no permit within the longest wait.
        """
        if self._is_cold(server) and not await self._cold.acquire(server, max_wait_seconds):
            return False
        if self._limits.find(server) is None:
            return True
        answer = await self._ask_home(server, max_wait_seconds)
        if answer.wait_ms is None:
            self._record_denial(server.server_id, answer.hold_off_ms / 1000, max_wait_seconds)
            return False
        self._metrics.count("forward.permits_used")
        await asyncio.sleep(answer.wait_ms / 1000)
        return True

    def plan_return(self, service: str, servers: Iterable[RegisteredServer]) -> float:
        """Returns the seconds after which a refused request should come again.

        The requests that this router refuses are told moments that follow each other as fast as
        its share of the permits allows.

        Args:
            service: Service of the servers.
            servers: The servers with a limit that could have run the request.
        """
        now = self._clock.monotonic_seconds()
        servers = list(servers)
        rates = {server.server_id: self._find_rate(server) for server in servers}
        denials = [self._denials[name] for name in rates if name in self._denials]
        earliest_seconds = min((denial.until_seconds for denial in denials), default=now)
        share_per_second = sum(rates.values()) / self._fleet.count_vms()
        last_seconds = self._return_seconds.get(service, -math.inf)
        return_seconds = max(now, earliest_seconds, last_seconds)
        if share_per_second:
            return_seconds += 1.0 / share_per_second
        longest_seconds = min(MAX_RETRY_AFTER_SECONDS, self._find_warm_delay(servers))
        return_seconds = min(return_seconds, now + longest_seconds)
        self._return_seconds[service] = return_seconds
        return return_seconds - now

    def record_answer(self, server: RegisteredServer, head: ResponseHead) -> None:
        """Records whether an answer of a server says that it is cold."""
        if self._cold is not None and not head.is_misdirected:
            self._cold.servers.record_answer(server, head.cold_seconds)

    async def handle_ask_permit(self, sender: str, message: AskPermit) -> PermitAnswered:
        """Answers whether another router may send a request to a server."""
        self._limits.adopt([message.limit])
        server_id = message.limit.server_id
        per_second = self._limits.find_latest(server_id)
        return self._grant(sender, server_id, per_second, message.max_wait_ms / 1000)

    async def _ask_home(self, server: RegisteredServer, max_wait_seconds: float) -> PermitAnswered:
        server_id = server.server_id
        home = self._fleet.find_home(f"limit/{server_id}")
        if home == self._fleet.self_name:
            return self._grant(home, server_id, self._limits.find(server), max_wait_seconds)
        now = self._clock.monotonic_seconds()
        limit = self._limits.make_told(server)
        if limit is None or now < self._silent_until.get(home, -math.inf):
            return self._grant_from_share(server, max_wait_seconds)
        message = AskPermit(limit=limit, max_wait_ms=round(max_wait_seconds * 1000))
        self._metrics.count("forward.permits_asked")
        try:
            answer = await self._fleet.call(home, message, ASK_TIMEOUT_SECONDS)
        except PeerError:
            self._metrics.count("forward.permit_homes_silent")
            self._record_silence(home)
            return self._grant_from_share(server, max_wait_seconds)
        return answer

    def _grant(
        self, router: str, server_id: str, per_second: float | None, max_wait_seconds: float
    ) -> PermitAnswered:
        """Gives out a permit of a server whose home this router is."""
        if per_second is None:
            return PermitAnswered(wait_ms=0)
        now = self._clock.monotonic_seconds()
        share = self._fleet.count_live_vms() / self._fleet.count_vms()
        rate = max(per_second, MIN_RATE_PER_SECOND) * share
        schedule = _get_schedule(self._schedules, server_id, now)
        wait_seconds = schedule.reserve(rate, now, max_wait_seconds)
        if wait_seconds is not None:
            schedule.record_granted(router)
            return PermitAnswered(wait_ms=math.ceil(wait_seconds * 1000))
        self._metrics.count("forward.permits_denied")
        hold_off_seconds = schedule.deny(router, rate, now, max_wait_seconds)
        return PermitAnswered(wait_ms=None, hold_off_ms=math.ceil(hold_off_seconds * 1000))

    def _grant_from_share(
        self, server: RegisteredServer, max_wait_seconds: float
    ) -> PermitAnswered:
        """Gives a permit from the equal share of this router."""
        now = self._clock.monotonic_seconds()
        rate = self._find_rate(server) / self._fleet.count_vms()
        # All routers may lose the home at the same moment.
        due_seconds = now + self._random.random() / rate
        schedule = _get_schedule(self._shares, server.server_id, due_seconds)
        wait_seconds = schedule.reserve(rate, now, max_wait_seconds, tolerance_seconds=0.0)
        if wait_seconds is not None:
            return PermitAnswered(wait_ms=math.ceil(wait_seconds * 1000))
        # The home may answer again before the next permit of the share.
        hold_off_seconds = min(schedule.find_wait(now, 0.0), SILENT_HOME_SECONDS)
        return PermitAnswered(wait_ms=None, hold_off_ms=math.ceil(hold_off_seconds * 1000))

    def _find_warm_delay(self, servers: list[RegisteredServer]) -> float:
        """Returns the seconds until the first server is warm again and has no other limit.

        Callers are spread over half of that time more, as all of them wait for the same moment.
        """
        delays = [
            self._cold.servers.find_remaining(server)
            for server in servers
            if self._is_cold(server) and self._limits.find(server) is None
        ]
        return min(delays, default=math.inf) * self._random.uniform(1.0, 1.5)

    def _is_cold(self, server: RegisteredServer) -> bool:
        return self._cold is not None and self._cold.is_needed(server)

    def _find_rate(self, server: RegisteredServer) -> float:
        if self._limits.find(server) is None and self._is_cold(server):
            return self._cold.find_rate(server.service)
        per_second = self._limits.find(server)
        return 0.0 if per_second is None else max(per_second, MIN_RATE_PER_SECOND)

    def _record_denial(
        self, server_id: str, hold_off_seconds: float, max_wait_seconds: float
    ) -> None:
        now = self._clock.monotonic_seconds()
        if len(self._denials) >= MAX_SCHEDULES:
            self._denials = {s: d for s, d in self._denials.items() if d.until_seconds > now}
        self._denials[server_id] = Denial(
            until_seconds=now + hold_off_seconds, max_wait_seconds=max_wait_seconds
        )

    def _record_silence(self, home: str) -> None:
        now = self._clock.monotonic_seconds()
        self._silent_until = {name: end for name, end in self._silent_until.items() if end > now}
        self._silent_until[home] = now + SILENT_HOME_SECONDS


def _get_schedule(
    schedules: dict[str, PermitSchedule], server_id: str, due_seconds: float
) -> PermitSchedule:
    """Returns the schedule of a server; forgets the oldest ones if there are many."""
    schedule = schedules.get(server_id)
    if schedule is None:
        while len(schedules) >= MAX_SCHEDULES:
            del schedules[next(iter(schedules))]
        schedule = schedules[server_id] = PermitSchedule(due_seconds=due_seconds)
    return schedule
