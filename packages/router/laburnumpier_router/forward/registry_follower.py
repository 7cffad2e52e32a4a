"""Keeps the table of servers in step with the registry.

Entries may lapse while the registry's store is away although their servers live. Those of live
servers are back shortly after the store is, so an entry that vanished around an outage is
dropped only when it has stayed away for that long.
"""

import asyncio
import random

from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import StoreError
from laburnumpier_core.log import get_part_logger

from ..ports.server_registry import RegistryHistoryLostError, ServerRegistry
from .servers import ServerTable

OUTAGE_MEMORY_SECONDS = 4.0
"""Removals this soon after a failed call count as lapses; a watch is renewed more often."""
RETRY_SECONDS = 0.3
"""Pause after a failed call."""

_log = get_part_logger("forward")


class RegistryFollower:
    """Reads and watches the registry."""

    __slots__ = (
        "_clock",
        "_failed_seconds",
        "_lapse_seconds",
        "_missing_since",
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
        lapse_seconds: float,
    ):
        """Creates a follower that has read nothing yet.

        Args:
            registry: The registry.
            table: Where servers are entered.
            clock: Source of time.
            random_source: Jitter of retries.
            watch_seconds: How long one watch waits before it is renewed.
            lapse_seconds: Time in which a lapsed entry of a live server is back.
        """
        self._registry = registry
        self._table = table
        self._clock = clock
        self._random = random_source
        self._watch_seconds = watch_seconds
        self._lapse_seconds = lapse_seconds
        self._position: int | None = None
        self._failed_seconds = float("-inf")
        self._missing_since: dict[str, float] = {}

    async def follow_periodically(self) -> None:
        """Reads and watches again and again; runs until cancelled."""
        while True:
            try:
                await self.follow_once()
            except RegistryHistoryLostError:
                _log.info("registry history lost; reading anew")
                self._position = None
            except StoreError as error:
                self._note_failure(error)
                await asyncio.sleep(RETRY_SECONDS * self._random.uniform(0.5, 1.5))
            self.drop_missing()

    async def follow_once(self) -> None:
        """Reads the registry, or waits for its next changes.

        Raises:
            StoreError: If it does not answer, or has lost its history.
        """
        if self._position is None:
            snapshot = await self._registry.read_servers()
            for entry in snapshot.servers.values():
                self._enter(entry)
            for server_id in list(self._table.servers):
                if server_id not in snapshot.servers:
                    self._note_missing(server_id)
            self._position = snapshot.position
            return
        wait_seconds = self._watch_seconds
        if self._missing_since:
            wait_seconds = min(wait_seconds, self._lapse_seconds / 4)
        changes = await self._registry.wait_for_changes(self._position, wait_seconds)
        for entry in changes.written:
            self._enter(entry)
        for server_id in changes.removed:
            self._note_missing(server_id)
        self._position = changes.position

    def drop_missing(self) -> None:
        """Drops servers whose entries have stayed away for too long."""
        now = self._clock.monotonic_seconds()
        for server_id, since in list(self._missing_since.items()):
            if now - since >= self._lapse_seconds:
                del self._missing_since[server_id]
                self._table.remove(server_id)

    def _enter(self, entry) -> None:
        self._missing_since.pop(entry.server_id, None)
        self._table.put(entry)

    def _note_missing(self, server_id: str) -> None:
        """Drops a server at once, or later when its entry may have lapsed in an outage."""
        now = self._clock.monotonic_seconds()
        if now - self._failed_seconds > OUTAGE_MEMORY_SECONDS:
            self._table.remove(server_id)
        elif server_id in self._table.servers:
            self._missing_since.setdefault(server_id, now)

    def _note_failure(self, error: StoreError) -> None:
        now = self._clock.monotonic_seconds()
        if now - self._failed_seconds > OUTAGE_MEMORY_SECONDS:
            _log.warning("registry not reached", fields={"error": error})
        self._failed_seconds = now
        # What was missed meanwhile may be more than the watch tells.
        self._position = None
