"""The graceful stop of a router.

Callers are served to the end of the grace period. Tokens, bills and leases are released beside
them, so that a slow store or peer takes no time from an open request. Only what the last requests
leave behind is released after them.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from laburnumpier_core.background_tasks import BackgroundTasks
from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import StoreError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from .budget.service import BudgetService
from .fleet.service import FleetService
from .orders.controller import EngineController
from .request.call_service import CallService

EXIT_SHARE = 1 / 12
"""Share of the grace period in which the last requests are settled and the process exits."""
MAX_EXIT_SECONDS = 0.5
"""Upper bound of that time: a settlement and a departure take some ten store calls."""
CLOSE_SHARE = 1 / 4
"""Share of that time in which callers may take the rest of their responses."""
RELEASE_SHARE = 1 / 2
"""Share of that time in which the release may end; then sockets are closed."""

_log = get_part_logger("app")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopTimes:
    """Times of a stop, in seconds of the monotonic clock; None if they are not limited.

    Attributes:
        serve_until: When requests that are still open are ended.
        close_until: When connections are closed whose callers do not take their responses.
        release_until: When the release is given up.
    """

    serve_until: float | None = None
    close_until: float | None = None
    release_until: float | None = None


def plan_stop(requested_seconds: float, grace_seconds: float) -> StopTimes:
    """Returns the times of a stop that ends within a grace period.

    Args:
        requested_seconds: Monotonic time at which the stop was requested.
        grace_seconds: Time after which the process is killed.
    """
    exit_seconds = min(MAX_EXIT_SECONDS, EXIT_SHARE * grace_seconds)
    serve_until = requested_seconds + grace_seconds - exit_seconds
    return StopTimes(
        serve_until=serve_until,
        close_until=serve_until + CLOSE_SHARE * exit_seconds,
        release_until=serve_until + RELEASE_SHARE * exit_seconds,
    )


class GracefulStop:
    """Ends the work of a router: callers first, what it holds beside them."""

    __slots__ = (
        "_background",
        "_budget",
        "_calls",
        "_clock",
        "_close_connections",
        "_controller",
        "_fleet",
        "_times",
        "_wait_for_callers",
    )

    def __init__(
        self,
        *,
        times: StopTimes,
        wait_for_callers: Callable[[], Awaitable[None]],
        close_connections: Callable[[float | None], Awaitable[None]],
        fleet: FleetService,
        budget: BudgetService,
        calls: CallService,
        controller: EngineController,
        clock: Clock,
        metrics: Metrics,
    ):
        """Creates a stop; `run` performs it.

        Args:
            times: Limits of the stop.
            wait_for_callers: Returns when all requests have ended.
            close_connections: Closes the connections of callers, each when it holds no request, or
                all at a monotonic time.
            fleet: Told of the stop and of the departure.
            budget: Returns tokens and delivers bills.
            calls: Releases its claims.
            controller: Releases its lease.
            clock: Source of time.
            metrics: Counters.
        """
        self._background = BackgroundTasks(part="app", metrics=metrics)
        self._times = times
        self._wait_for_callers = wait_for_callers
        self._close_connections = close_connections
        self._fleet = fleet
        self._budget = budget
        self._calls = calls
        self._controller = controller
        self._clock = clock

    async def run(self) -> None:
        """Serves open requests to their end, and releases tokens, bills and leases."""
        started_seconds = self._clock.monotonic_seconds()
        self._fleet.mark_stopping()
        self._budget.begin_stop()
        self._background.start(self._release_beside_callers())
        await self._wait_for_callers()
        await self._close_connections(self._times.close_until)
        served_seconds = self._clock.monotonic_seconds() - started_seconds
        _log.info("callers served", fields={"took_ms": round(served_seconds * 1000)})
        await self._background.cancel_all()
        await self._release_rest()

    async def _release_beside_callers(self) -> None:
        await asyncio.gather(self._fleet.send_heartbeats(), self._controller.release_lease())

    async def _release_rest(self) -> None:
        """Releases what the last requests left, and records the departure."""
        try:
            async with asyncio.timeout_at(self._times.release_until):
                await asyncio.gather(self._calls.submit_pending_releases(), self._budget.drain())
                await self._record_departure()
        except TimeoutError:
            _log.warning(
                "tokens and leases were not released within the grace period",
                fields={"held_tokens": self._budget.held_tokens},
            )

    async def _record_departure(self) -> None:
        if not self._fleet.is_registered:
            return
        if not self._fleet.reaches_store():
            _log.warning("departure not recorded; the store is out of reach")
            return
        member = self._fleet.member
        is_clean = not self._budget.bills.owned_bills
        try:
            await self._fleet.registry.mark_departed(
                member.incarnation, member.vm, clean=is_clean, proof="it stopped gracefully"
            )
            await self._fleet.registry.revoke_lease()
        except StoreError as error:
            _log.warning("cannot record the departure", fields={"error": error})
