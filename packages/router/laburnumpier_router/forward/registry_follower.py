"""Keeps the table of servers up to date with the registry.

Leases of entries can expire while the registry's store is unavailable, although their servers are
running. These servers register again soon after the store is back, so an entry that disappeared
around an outage is removed from the table only if it stays missing for `lapsed_entry_seconds`.
The same holds when the store comes back from an older copy, which may lack entries.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import StoreError, StoreUnavailableError
from laburnumpier_core.log import get_part_logger

from ..ports.server_registry import (
    RegisteredServer,
    RegistryChanges,
    RegistryHistoryLostError,
    RegistrySnapshot,
    ServerRegistry,
)
from ..ports.store_era import UNKNOWN_ERA, StorePosition
from .registry_relay import ListRegistry, RegistryListed
from .servers import ServerTable

OUTAGE_WINDOW_SECONDS = 4.0
"""Removals within this time after a failed call are treated as expired leases. It is longer than
the interval at which a watch is renewed."""
RETRY_DELAY_SECONDS = 0.3
"""Mean delay before a failed call is retried."""

_log = get_part_logger("forward")


class RegistryFollower:
    """Reads and watches the registry and updates the table of servers."""

    __slots__ = (
        "_clock",
        "_confirmed_seconds",
        "_era",
        "_lapsed_entry_seconds",
        "_last_failure_seconds",
        "_missing_timers",
        "_position",
        "_random",
        "_registry",
        "_table",
        "_watch_seconds",
    )

    def __init__(
        self,
        *,
        registry: ServerRegistry,
        table: ServerTable,
        clock: Clock,
        random_source: random.Random,
        watch_seconds: float,
        lapsed_entry_seconds: float,
    ):
        """Creates a follower that has not read the registry.

        Args:
            registry: Registry to follow.
            table: Table of servers to update.
            clock: Source of time.
            random_source: Jitter of the retry delay.
            watch_seconds: Longest wait of one watch before it is renewed.
            lapsed_entry_seconds: Time within which a running server registers again after its
                lease expired.
        """
        self._registry = registry
        self._table = table
        self._clock = clock
        self._random = random_source
        self._watch_seconds = watch_seconds
        self._lapsed_entry_seconds = lapsed_entry_seconds
        self._confirmed_seconds = float("-inf")
        self._era = UNKNOWN_ERA
        self._position: StorePosition | None = None
        self._last_failure_seconds = float("-inf")
        self._missing_timers: dict[str, asyncio.TimerHandle] = {}

    @property
    def confirmed_seconds(self) -> float:
        """Monotonic time at which the registry last confirmed the table or changed it."""
        return self._confirmed_seconds

    def make_listing(self) -> RegistryListed:
        """Returns all entries for another router, without those whose lease has expired."""
        servers = [
            server.entry
            for server_id, server in self._table.servers.items()
            if server_id not in self._missing_timers
        ]
        return RegistryListed(servers=servers, position=self._position)

    async def handle_list(self, sender: str, message: ListRegistry) -> RegistryListed:
        """Answers a router that needs all entries."""
        return self.make_listing()

    async def follow_periodically(self) -> None:
        """Follows the registry until cancelled."""
        while True:
            try:
                await self.follow_once()
            except RegistryHistoryLostError:
                _log.info("registry history lost; reading all entries again")
                self._position = None
            except StoreError as error:
                self._record_failure(error)
                await asyncio.sleep(RETRY_DELAY_SECONDS * self._random.uniform(0.5, 1.5))

    async def follow_once(self) -> None:
        """Reads all entries the first time and after a failure, and waits for changes otherwise.

        Raises:
            StoreError: If the registry does not answer or has lost its history.
        """
        if self._position is None:
            self._apply_snapshot(await self._registry.read_servers())
            self._confirmed_seconds = self._clock.monotonic_seconds()
            return
        changes = await self._registry.wait_for_changes(self._position, self._watch_seconds)
        self._apply_changes(changes)

    async def catch_up(
        self, read_changes: Callable[[StorePosition], Awaitable[RegistryChanges]]
    ) -> None:
        """Takes over all changes up to now, beside a watch that may be waiting.

        Args:
            read_changes: Returns the changes of the registry since a position without a wait.

        Raises:
            StoreError: If the registry does not answer, or its entries are being read anew.
        """
        if self._position is None:
            raise StoreUnavailableError("the entries of the registry are being read")
        self._apply_changes(await read_changes(self._position))
        if self._position is None:
            raise StoreUnavailableError("a watch of the registry has failed meanwhile")

    def _apply_changes(self, changes: RegistryChanges) -> None:
        """Takes over changes, unless later ones were taken over while they were on the way."""
        if self._position is None or changes.position < self._position:
            return
        for entry in changes.written:
            self._add(entry)
        for server_id in changes.removed:
            self._handle_removal(server_id)
        self._position = changes.position
        self._confirmed_seconds = self._clock.monotonic_seconds()

    def _apply_snapshot(self, snapshot: RegistrySnapshot) -> None:
        if self._era not in (UNKNOWN_ERA, snapshot.position.era):
            self._last_failure_seconds = self._clock.monotonic_seconds()
            self._table.retain_departures()
        self._era = snapshot.position.era
        for entry in snapshot.servers.values():
            self._add(entry)
        for server_id in list(self._table.servers):
            if server_id not in snapshot.servers:
                self._handle_removal(server_id)
        self._position = snapshot.position

    def _add(self, entry: RegisteredServer) -> None:
        """Takes an entry over; one that cannot be taken does not keep the others from it."""
        self._cancel_timer(entry.server_id)
        try:
            self._table.upsert(entry)
        except Exception:
            _log.exception("server entry not taken", fields={"server": entry.server_id})

    def _cancel_timer(self, server_id: str) -> None:
        timer = self._missing_timers.pop(server_id, None)
        if timer is not None:
            timer.cancel()

    def _handle_removal(self, server_id: str) -> None:
        """Removes a server, after a delay if its lease may have expired during an outage."""
        self._table.forget_departure(server_id)
        now = self._clock.monotonic_seconds()
        if now - self._last_failure_seconds > OUTAGE_WINDOW_SECONDS:
            self._cancel_timer(server_id)
            self._table.remove(server_id)
        elif server_id in self._table.servers and server_id not in self._missing_timers:
            # A timer, because the next watch may not answer for seconds.
            self._missing_timers[server_id] = asyncio.get_running_loop().call_later(
                self._lapsed_entry_seconds, self._remove_missing, server_id
            )

    def _remove_missing(self, server_id: str) -> None:
        """Removes a server whose entry has been missing for too long."""
        self._missing_timers.pop(server_id, None)
        self._table.remove(server_id)

    def _record_failure(self, error: StoreError) -> None:
        now = self._clock.monotonic_seconds()
        if now - self._last_failure_seconds > OUTAGE_WINDOW_SECONDS:
            _log.warning("registry not reached", fields={"error": error})
        self._last_failure_seconds = now
        # The watch may not report all changes that were missed, so all entries are read again.
        self._position = None
