"""The backend servers of the configuration, with their observed state and eligibility.

A server gets new work while it is not known to be leaving, whoever said so first: the
configuration, the platform's VM list, the server itself or another router, and while its
newest probe is fresh.
"""

import asyncio
import random

from laburnumpier_core.clock import Clock
from laburnumpier_core.log import get_part_logger

from ..configuration.document import Configuration, Server
from ..ports.vm_list import VmList
from .engine_port import EnginePort
from .server_state import ServerState

GOSSIPED_LEAVING_SECONDS = 30.0

_log = get_part_logger("backend")


class BackendDirectory:
    """All backend servers known to this process."""

    __slots__ = (
        "_clock",
        "_configured",
        "_engines",
        "_freshness_seconds",
        "_gossiped_leaving",
        "_listed_before",
        "_probe_seconds",
        "_probers",
        "_random",
        "_states",
        "_unlisted",
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
    ):
        """Creates an empty directory.

        Args:
            engines: Client that probes servers.
            vm_list: The platform's list, if it offers one.
            clock: Source of time.
            random_source: Jitter of the probes.
            probe_seconds: Time between probes of one server.
            freshness_seconds: A server whose last answer is older gets no new work.
        """
        self._engines = engines
        self._vm_list = vm_list
        self._clock = clock
        self._random = random_source
        self._probe_seconds = probe_seconds
        self._freshness_seconds = freshness_seconds
        self._states: dict[str, ServerState] = {}
        self._configured: dict[str, Server] = {}
        self._probers: dict[str, asyncio.Task[None]] = {}
        self._gossiped_leaving: dict[str, float] = {}
        self._listed_before: set[str] = set()
        self._unlisted: set[str] = set()

    @property
    def states(self) -> dict[str, ServerState]:
        """State of every configured server by name."""
        return self._states

    def apply_configuration(self, configuration: Configuration) -> None:
        """Adds new servers and drops removed ones; runs in progress are left alone."""
        self._configured = configuration.servers
        for name, server in configuration.servers.items():
            state = self._states.get(name)
            if state is None or state.url != server.url:
                self._states[name] = ServerState(name=name, url=server.url.rstrip("/"))
        for name in [key for key in self._states if key not in configuration.servers]:
            del self._states[name]

    def list_eligible(self, names: list[str], model: str | None) -> list[ServerState]:
        """Returns the servers that may get new work.

        Args:
            names: Candidates by name.
            model: Model that must be loaded; None for plain services.
        """
        now = self._clock.monotonic_seconds()
        return [
            self._states[name]
            for name in names
            if name in self._states and self._is_eligible(name, model, now)
        ]

    def is_fresh(self, name: str) -> bool:
        """Returns whether a server answered a probe lately."""
        state = self._states.get(name)
        if state is None or state.report is None:
            return False
        age_seconds = self._clock.monotonic_seconds() - state.reported_at_seconds
        return age_seconds <= self._freshness_seconds

    def is_leaving(self, name: str) -> bool:
        """Returns whether a server is known to be leaving, from any source."""
        server = self._configured.get(name)
        state = self._states.get(name)
        if server is None or state is None or server.leaving:
            return True
        if state.report is not None and state.report.leaving:
            return True
        if server.vm and server.vm in self._unlisted:
            return True
        heard = self._gossiped_leaving.get(name)
        if heard is None:
            return False
        return self._clock.monotonic_seconds() - heard < GOSSIPED_LEAVING_SECONDS

    def list_leaving(self) -> list[str]:
        """Returns servers that this process itself found to be leaving, for gossip."""
        found = []
        for name, state in self._states.items():
            vm = self._configured[name].vm
            said_so = state.report is not None and state.report.leaving
            if said_so or (vm and vm in self._unlisted):
                found.append(name)
        return found

    def record_gossiped_leaving(self, names: list[str]) -> None:
        """Takes in servers that a peer found to be leaving."""
        now = self._clock.monotonic_seconds()
        for name in names:
            self._gossiped_leaving[name] = now

    async def probe_periodically(self) -> None:
        """Keeps one probing task for each server; runs until cancelled."""
        try:
            while True:
                for name in [key for key in self._probers if key not in self._states]:
                    self._probers.pop(name).cancel()
                for name in self._states:
                    task = self._probers.get(name)
                    if task is None or task.done():
                        self._probers[name] = asyncio.create_task(self._probe_server(name))
                await asyncio.sleep(min(0.2, self._probe_seconds))
        finally:
            for task in self._probers.values():
                task.cancel()

    async def probe_once(self, name: str) -> None:
        """Probes one server now."""
        state = self._states.get(name)
        if state is None:
            return
        report = await self._engines.probe(state.url)
        if report is not None:
            state.take_report(report, self._clock.monotonic_seconds())

    async def poll_vm_list_periodically(self) -> None:
        """Reads the platform's VM list again and again; runs until cancelled."""
        while self._vm_list is not None:
            try:
                listing = await self._vm_list.read()
            except Exception as error:
                _log.debug("VM list not read", fields={"error": repr(error)})
            else:
                leaving = {vm for vm, state in listing.vms.items() if state != "live"}
                gone = self._listed_before - set(listing.vms)
                self._listed_before.update(listing.vms)
                self._unlisted = leaving | gone
            await asyncio.sleep(self._probe_seconds * self._random.uniform(0.9, 1.1))

    def _is_eligible(self, name: str, model: str | None, now: float) -> bool:
        state = self._states[name]
        if self.is_leaving(name) or now < state.blocked_until_seconds:
            return False
        if not self.is_fresh(name):
            return False
        return model is None or model in state.report.models

    async def _probe_server(self, name: str) -> None:
        """Probes one server again and again until cancelled."""
        while name in self._states:
            await self.probe_once(name)
            await asyncio.sleep(self._probe_seconds * self._random.uniform(0.9, 1.1))
