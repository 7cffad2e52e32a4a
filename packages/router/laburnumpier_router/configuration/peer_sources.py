"""Fetches newer configurations from the routers that have them.

A router that hears of a higher number fetches the configuration from a router that named it, and
reads the store only if no router provides it. Versions that follow each other quickly are not
fetched one by one: after each fetch the next one waits a moment, and then takes the newest.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import msgspec
from laburnumpier_core.background_tasks import BackgroundTasks
from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import PeerError

from ..budget.peers import BudgetFleet
from .record import ConfigurationRecord

PEER_TIMEOUT_SECONDS = 1.0
SOURCE_PATIENCE_SECONDS = 0.2
"""Time after which the next source of a newer configuration is asked beside a silent one."""
FETCH_INTERVAL_SECONDS = 0.5
"""Shortest time from one fetched configuration to the next fetch."""
STORE_SPREAD_SECONDS = 0.5
"""Time over which routers that no router could help turn to the store."""


class FetchConfiguration(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Request to a peer for its active configuration."""


class ConfigurationFetched(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Response with the active configuration of the peer."""

    record: ConfigurationRecord


class PeerSources:
    """Peers that named a higher number than the active one, until they were asked for it."""

    __slots__ = (
        "_apply",
        "_ask_store",
        "_background",
        "_catching_up",
        "_clock",
        "_fetched_seconds",
        "_fleet",
        "_get_number",
        "_random",
        "_sources",
        "_stored_number",
    )

    def __init__(
        self,
        *,
        fleet: BudgetFleet,
        clock: Clock,
        random_source: random.Random,
        background: BackgroundTasks,
        get_number: Callable[[], int],
        apply: Callable[[ConfigurationRecord], bool],
        ask_store: Callable[[], Awaitable[None]],
    ):
        """Creates it without sources.

        Args:
            fleet: Calls to the peers.
            clock: Source of time.
            random_source: Spreads the calls to the store and chooses among peers.
            background: Runs the fetches.
            get_number: Returns the number of the active configuration.
            apply: Activates a record if it is newer.
            ask_store: Reads the store and activates what it finds.
        """
        self._fleet = fleet
        self._clock = clock
        self._random = random_source
        self._background = background
        self._get_number = get_number
        self._apply = apply
        self._ask_store = ask_store
        self._sources: dict[str, int] = {}
        self._stored_number = 0
        self._fetched_seconds = float("-inf")
        self._catching_up: asyncio.Task[None] | None = None

    def hear(self, peer: str, number: int, *, is_stored: bool) -> None:
        """Remembers that a peer has a configuration, and fetches it if it is newer.

        Args:
            peer: Router that named the number.
            number: Number of its active configuration.
            is_stored: Whether the store is read if no peer provides that number.
        """
        if number <= self._get_number():
            return
        self._sources[peer] = number
        if is_stored:
            self._stored_number = max(self._stored_number, number)
        if self._catching_up is None or self._catching_up.done():
            self._catching_up = self._background.start(self._catch_up())

    async def fetch(self, peer: str) -> None:
        """Fetches and activates a peer's newer configuration; an unreachable peer is ignored."""
        try:
            reply = await self._fleet.call(peer, FetchConfiguration(), PEER_TIMEOUT_SECONDS)
        except PeerError:
            return
        if isinstance(reply, ConfigurationFetched) and self._apply(reply.record):
            self._fetched_seconds = self._clock.monotonic_seconds()

    async def _catch_up(self) -> None:
        """Asks one source after the other until none has a higher number than the active one."""
        while True:
            due_seconds = self._fetched_seconds + FETCH_INTERVAL_SECONDS
            await asyncio.sleep(max(0.0, due_seconds - self._clock.monotonic_seconds()))
            peer = self._take_newest()
            if peer is None:
                break
            await self._ask_patiently(self.fetch(peer))
        if self._stored_number > self._get_number():
            await asyncio.sleep(STORE_SPREAD_SECONDS * self._random.random())
        if self._stored_number > self._get_number():
            await self._ask_store()

    async def _ask_patiently(self, asking: Coroutine[Any, Any, None]) -> None:
        """Waits for a source, which stays asked if it is silent for too long."""
        task = self._background.start(asking)
        await asyncio.wait({task}, timeout=SOURCE_PATIENCE_SECONDS)

    def _take_newest(self) -> str | None:
        number = self._get_number()
        self._sources = {peer: named for peer, named in self._sources.items() if named > number}
        if not self._sources:
            return None
        newest = max(self._sources.values())
        peer = self._random.choice([p for p, named in self._sources.items() if named == newest])
        del self._sources[peer]
        return peer
