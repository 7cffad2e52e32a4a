"""Directory of the configured backend servers: observed state and eligibility.

A server is eligible for new requests while its last probe is fresh and no source reports it as
leaving: the configuration, the platform's VM list, the server itself or another router.
"""

import asyncio
import random
from collections.abc import Callable

from laburnumpier_core.clock import Clock
from laburnumpier_core.log import get_part_logger

from ..configuration.document import Configuration, Server
from ..ports.vm_list import VmList
from .engine_port import EnginePort
from .server_state import ServerState

GOSSIPED_LEAVING_EXPIRY_SECONDS = 30.0

_log = get_part_logger("backend")


class BackendDirectory:
    """Tracks the state of all backend servers known to this process."""

    __slots__ = (
        "_clock",
        "_configured_servers",
        "_engines",
        "_freshness_seconds",
        "_gossiped_leaving_at_seconds",
        "_is_evacuated",
        "_known_vms",
        "_leaving_vms",
        "_probe_seconds",
        "_probe_tasks",
        "_random",
        "_states",
        "_vm_list",
    )

    def __init__(
        self,
        *,
        engines: EnginePort,
        vm_list: VmList | None,
        clock: Clock,
        random_source: random.Random,
        probe_seconds: float,
        freshness_seconds: float,
        is_evacuated: Callable[[str], bool] = lambda data_centre: False,
    ):
        """Creates an empty directory.

        Args:
            engines: Client used to probe servers.
            vm_list: The platform's VM list; None if the platform has none.
            clock: Provides the monotonic time.
            random_source: Random number generator for the jitter of the probe interval.
            probe_seconds: Mean interval between probes of a server.
            freshness_seconds: Maximum age of the last probe response of an eligible server.
            is_evacuated: Returns whether the servers of a data centre get no new requests.
        """
        self._engines = engines
        self._vm_list = vm_list
        self._clock = clock
        self._random = random_source
        self._probe_seconds = probe_seconds
        self._freshness_seconds = freshness_seconds
        self._is_evacuated = is_evacuated
        self._states: dict[str, ServerState] = {}
        self._configured_servers: dict[str, Server] = {}
        self._probe_tasks: dict[str, asyncio.Task[None]] = {}
        self._gossiped_leaving_at_seconds: dict[str, float] = {}
        self._known_vms: set[str] = set()
        self._leaving_vms: set[str] = set()

    @property
    def states(self) -> dict[str, ServerState]:
        """State of each configured server, by name."""
        return self._states

    def apply_configuration(self, configuration: Configuration) -> None:
        """Adds new servers and removes deleted ones; runs in progress are not interrupted."""
        self._configured_servers = configuration.servers
        for name, server in configuration.servers.items():
            state = self._states.get(name)
            if state is None or state.url != server.url:
                self._states[name] = ServerState(name=name, url=server.url.rstrip("/"))
        for name in [key for key in self._states if key not in configuration.servers]:
            del self._states[name]

    def list_eligible(self, names: list[str], model: str | None) -> list[ServerState]:
        """Returns the servers that are eligible for new requests.

        Args:
            names: Names of the candidate servers.
            model: Model that must be loaded; None for a plain service.
        """
        now_seconds = self._clock.monotonic_seconds()
        return [
            self._states[name]
            for name in names
            if name in self._states and self._is_eligible(name, model, now_seconds)
        ]

    def is_fresh(self, name: str) -> bool:
        """Returns whether the last probe response of a server is recent."""
        state = self._states.get(name)
        if state is None or state.report is None:
            return False
        age_seconds = self._clock.monotonic_seconds() - state.reported_at_seconds
        return age_seconds <= self._freshness_seconds

    def is_leaving(self, name: str) -> bool:
        """Returns whether any source reports that a server is leaving."""
        server = self._configured_servers.get(name)
        state = self._states.get(name)
        if server is None or state is None or server.leaving:
            return True
        if state.report is not None and state.report.leaving:
            return True
        if server.vm and server.vm in self._leaving_vms:
            return True
        gossiped_at_seconds = self._gossiped_leaving_at_seconds.get(name)
        if gossiped_at_seconds is None:
            return False
        age_seconds = self._clock.monotonic_seconds() - gossiped_at_seconds
        return age_seconds < GOSSIPED_LEAVING_EXPIRY_SECONDS

    def list_leaving(self) -> list[str]:
        """Returns the servers that this process itself found to be leaving, for gossip."""
        leaving = []
        for name, state in self._states.items():
            vm = self._configured_servers[name].vm
            reports_leaving = state.report is not None and state.report.leaving
            if reports_leaving or (vm and vm in self._leaving_vms):
                leaving.append(name)
        return leaving

    def record_gossiped_leaving(self, names: list[str]) -> None:
        """Records the servers that a peer announced as leaving."""
        now_seconds = self._clock.monotonic_seconds()
        for name in names:
            self._gossiped_leaving_at_seconds[name] = now_seconds

    async def probe_periodically(self) -> None:
        """Runs one probe task per server until cancelled."""
        try:
            while True:
                for name in [key for key in self._probe_tasks if key not in self._states]:
                    self._probe_tasks.pop(name).cancel()
                for name in self._states:
                    task = self._probe_tasks.get(name)
                    if task is None or task.done():
                        self._probe_tasks[name] = asyncio.create_task(
                            self._probe_server_periodically(name)
                        )
                await asyncio.sleep(min(0.2, self._probe_seconds))
        finally:
            for task in self._probe_tasks.values():
                task.cancel()

    async def probe_once(self, name: str) -> None:
        """Probes a server and records its load report."""
        state = self._states.get(name)
        if state is None:
            return
        report = await self._engines.probe(state.url)
        if report is not None:
            state.record_report(report, self._clock.monotonic_seconds())

    async def poll_vm_list_periodically(self) -> None:
        """Polls the platform's VM list until cancelled.

        A VM that disappears from the list counts as leaving, like one that is not live.
        """
        while self._vm_list is not None:
            try:
                listing = await self._vm_list.read()
            except Exception as error:
                _log.debug("cannot read VM list", fields={"error": repr(error)})
            else:
                not_live = {vm for vm, state in listing.vms.items() if state != "live"}
                removed = self._known_vms - set(listing.vms)
                self._known_vms.update(listing.vms)
                self._leaving_vms = not_live | removed
            await asyncio.sleep(self._probe_seconds * self._random.uniform(0.9, 1.1))

    def _is_eligible(self, name: str, model: str | None, now_seconds: float) -> bool:
        state = self._states[name]
        if self.is_leaving(name) or now_seconds < state.blocked_until_seconds:
            return False
        if not self.is_fresh(name):
            return False
        if self._is_evacuated(self._configured_servers[name].data_centre):
            return False
        return model is None or model in state.report.models

    async def _probe_server_periodically(self, name: str) -> None:
        """Probes a server periodically until it is removed from the configuration."""
        while name in self._states:
            await self.probe_once(name)
            await asyncio.sleep(self._probe_seconds * self._random.uniform(0.9, 1.1))
