"""Sends load orders to the engines of one data centre while this process is its controller."""

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
from .lease import ORDER_TIMEOUT_SECONDS, ControllerLease
from .plan import LoadOrder, plan_loads

CONTROL_INTERVAL_SECONDS = 2.0
LOAD_RETRY_SECONDS = 60.0

_log = get_part_logger("orders")


class EngineController:
    """Plans model loads and sends load orders, at most one per load interval."""

    __slots__ = (
        "_clock",
        "_configuration",
        "_data_centre",
        "_directory",
        "_dispatcher",
        "_engines",
        "_is_stopping",
        "_lease",
        "_load_interval_seconds",
        "_metrics",
        "_next_load_seconds",
        "_next_retry_seconds",
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
            lease: Controller lease of the data centre.
            engines: Sends orders to engines.
            directory: Backend servers and their load reports.
            dispatcher: Source of the models whose requests are queued.
            configuration: Source of models and servers.
            clock: Source of time.
            metrics: Counters.
            random_source: Source of jitter.
            data_centre: Data centre whose servers receive orders; a server without one counts for
                every data centre.
            load_interval_seconds: Minimum time between loads, to respect the rate limit of the
                store of model weights.
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
        self._is_stopping = False
        self._next_load_seconds = float("-inf")
        self._next_retry_seconds: dict[LoadOrder, float] = {}

    async def send_orders_periodically(self) -> None:
        """Renews or acquires the lease and sends orders periodically, until it is released."""
        while not self._is_stopping:
            await asyncio.sleep(CONTROL_INTERVAL_SECONDS * self._random.uniform(0.8, 1.2))
            try:
                if not await self._lease.renew_or_acquire():
                    continue
                if self._is_stopping:
                    await self.release_lease()
                else:
                    await self.send_next_load()
            except StoreError as error:
                _log.debug(
                    "store call for the controller lease failed; will be retried",
                    fields={"error": error},
                )

    async def send_next_load(self) -> None:
        """Sends the most urgent load order, if the load interval has passed."""
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
        queued_models = self._dispatcher.take_queued_models()
        for order in plan_loads(
            configuration.models, self._directory.states, usable, queued_models
        ):
            if self._next_retry_seconds.get(order, float("-inf")) > now:
                continue
            self._next_load_seconds = now + self._load_interval_seconds
            self._next_retry_seconds[order] = now + LOAD_RETRY_SECONDS
            await self._send_load(order)
            return

    async def release_lease(self) -> None:
        """Releases the controller lease for good, at a graceful stop."""
        self._is_stopping = True
        try:
            await self._lease.release()
        except StoreError:
            _log.debug("controller lease not released; it expires")

    async def _send_load(self, order: LoadOrder) -> None:
        server = self._configuration.configuration.servers[order.server]
        # The lease is checked last, directly before the send, to keep the unchecked time short.
        if not self._lease.may_send_order(engine_checks=server.checks_fencing):
            self._next_retry_seconds.pop(order, None)
            return
        message = EngineOrder(
            action="load", model=order.model, fencing_number=self._lease.fencing_number
        )
        url = self._directory.states[order.server].url
        try:
            await self._engines.order(url, message, ORDER_TIMEOUT_SECONDS)
        except ServerError as error:
            self._metrics.count("orders.failed")
            _log.warning(
                "load order failed",
                fields={"server": order.server, "model": order.model, "error": error},
            )
            return
        self._metrics.count("orders.loads")
        _log.info("load order accepted", fields={"server": order.server, "model": order.model})
