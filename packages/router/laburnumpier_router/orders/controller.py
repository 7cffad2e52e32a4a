"""Gives orders to the engines of one data centre while this process holds its controller lease."""

import asyncio
import random

from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import ServerError, StoreError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..backend.directory import BackendDirectory
from ..backend.dispatcher import Dispatcher
from ..backend.engine_port import EngineOrder, EnginePort
from ..configuration.service import ConfigurationService
from .lease import LONGEST_ORDER_SECONDS, ControllerLease
from .plan import LoadOrder, plan_loads

ROUND_SECONDS = 2.0
LOAD_PATIENCE_SECONDS = 60.0

_log = get_part_logger("orders")


class EngineController:
    """Plans loads and sends them, at most one in each weight-store interval."""

    __slots__ = (
        "_clock",
        "_configuration",
        "_data_centre",
        "_directory",
        "_dispatcher",
        "_engines",
        "_lease",
        "_load_interval_seconds",
        "_metrics",
        "_next_load_seconds",
        "_ordered_until",
        "_random",
    )

    def __init__(
        self,
        *,
        lease: ControllerLease,
        engines: EnginePort,
        directory: BackendDirectory,
        dispatcher: Dispatcher,
        configuration: ConfigurationService,
        clock: Clock,
        metrics: Metrics,
        random_source: random.Random,
        data_centre: str,
        load_interval_seconds: float,
    ):
        """Creates the controller.

        Args:
            lease: The controller role of the data centre.
            engines: Sends orders.
            directory: Servers and their reports.
            dispatcher: Tells which models want more room.
            configuration: Models and servers.
            clock: Source of time.
            metrics: Counters.
            random_source: Jitter.
            data_centre: Whose servers are given orders; servers without one belong to all.
            load_interval_seconds: Shortest time between two loads, for the weight store's rate.
        """
        self._lease = lease
        self._engines = engines
        self._directory = directory
        self._dispatcher = dispatcher
        self._configuration = configuration
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._data_centre = data_centre
        self._load_interval_seconds = load_interval_seconds
        self._next_load_seconds = float("-inf")
        self._ordered_until: dict[LoadOrder, float] = {}

    async def send_orders_periodically(self) -> None:
        """Holds the role and gives orders again and again; runs until cancelled."""
        while True:
            await asyncio.sleep(ROUND_SECONDS * self._random.uniform(0.8, 1.2))
            try:
                if await self._lease.hold():
                    await self.give_orders()
            except StoreError as error:
                _log.debug("controller role not renewed", fields={"error": error})

    async def give_orders(self) -> None:
        """Sends the most urgent load that the rate allows."""
        now = self._clock.monotonic_seconds()
        if now < self._next_load_seconds:
            return
        configuration = self._configuration.configuration
        usable = {
            name
            for name, server in configuration.servers.items()
            if server.data_centre in ("", self._data_centre)
            and not self._directory.is_leaving(name)
            and self._directory.is_fresh(name)
        }
        wanting = self._dispatcher.take_queued_models()
        for order in plan_loads(configuration.models, self._directory.states, usable, wanting):
            if self._ordered_until.get(order, float("-inf")) > now:
                continue
            self._next_load_seconds = now + self._load_interval_seconds
            self._ordered_until[order] = now + LOAD_PATIENCE_SECONDS
            await self._send(order)
            return

    async def release_lease(self) -> None:
        """Gives the role back at a graceful stop."""
        try:
            await self._lease.release()
        except StoreError:
            _log.debug("controller role lapses by itself")

    async def _send(self, order: LoadOrder) -> None:
        server = self._configuration.configuration.servers[order.server]
        # The clock is read last, right before the order leaves.
        if not self._lease.may_order(engine_checks=server.checks_fencing):
            self._ordered_until.pop(order, None)
            return
        message = EngineOrder(
            action="load", model=order.model, fencing_number=self._lease.fencing_number
        )
        url = self._directory.states[order.server].url
        try:
            await self._engines.order(url, message, LONGEST_ORDER_SECONDS)
        except ServerError as error:
            self._metrics.count("orders.failed")
            _log.warning(
                "order failed",
                fields={"server": order.server, "model": order.model, "error": error},
            )
            return
        self._metrics.count("orders.loads")
        _log.info("model ordered", fields={"server": order.server, "model": order.model})
