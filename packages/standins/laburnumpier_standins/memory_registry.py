"""A registry of backend servers in the simulated key-value service."""

import asyncio
import contextlib

import msgspec
from laburnumpier_router.ports.server_registry import (
    RegisteredServer,
    RegistryChanges,
    RegistrySnapshot,
)
from laburnumpier_router.ports.store_era import StorePosition

from .memory_store import MemoryKeyValueService, StoreControl

SERVER_PREFIX = "servers/"


def register_server(control: StoreControl, entry: RegisteredServer) -> None:
    """Writes the entry of a server, as the server itself would."""
    value = msgspec.json.encode(entry)
    control.state.commit({}, [(SERVER_PREFIX + entry.server_id, value, 0)])


class MemoryServerRegistry:
    """Implements the `ServerRegistry` port on one client of the simulated service.

    Entries are never removed; a server that leaves writes that it does.
    """

    __slots__ = ("_control", "_store")

    def __init__(self, *, store: MemoryKeyValueService, control: StoreControl):
        """Creates the registry as one client of the service sees it."""
        self._store = store
        self._control = control

    async def read_servers(self) -> RegistrySnapshot:
        """Returns all entries."""
        # The list is read later than this position, so a watch from it misses nothing.
        position = self._get_position()
        stored = await self._store.list_prefix(SERVER_PREFIX)
        entries = [msgspec.json.decode(value.value, type=RegisteredServer) for value in stored]
        servers = {entry.server_id: entry for entry in entries}
        return RegistrySnapshot(servers=servers, position=position)

    async def wait_for_changes(
        self, position: StorePosition, timeout_seconds: float
    ) -> RegistryChanges:
        """Waits for entries that are written after a position; returns none on timeout."""
        await self._store.begin_watch(SERVER_PREFIX)
        state = self._control.state
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                while not self._list_written(position):
                    await state.wait_for_write()
        written = self._list_written(position)
        return RegistryChanges(written=written, removed=[], position=self._get_position())

    def _get_position(self) -> StorePosition:
        state = self._control.state
        return StorePosition(era=state.era, revision=state.revision)

    def _list_written(self, position: StorePosition) -> list[RegisteredServer]:
        return [
            msgspec.json.decode(entry.value, type=RegisteredServer)
            for key, entry in self._control.state.entries.items()
            if key.startswith(SERVER_PREFIX) and entry.revision > position.revision
        ]
