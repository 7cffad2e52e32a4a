"""The interface to a registry in which backend servers register themselves.

On platforms with such a registry, the servers of each service are read from it, and operators
configure services only. Entries are written by the servers themselves and may be stale.
"""

import dataclasses
from typing import Protocol

import msgspec
from laburnumpier_core.errors import StoreError

from .store_era import StorePosition


class RegistryHistoryLostError(StoreError):
    """Changes since the given position are no longer available; read the registry again."""


class RegisteredServer(msgspec.Struct, frozen=True, kw_only=True):
    """An entry of the registry.

    Attributes:
        server_id: Id of the server process; changes when the server restarts.
        service: Service that the server belongs to.
        address: Address on which the server listens, `host:port`.
        data_centre: Data centre of the server.
        slots: Number of requests that the server runs concurrently.
        leaving: Whether the server asks for no new requests.
        started_ms: Start of the server process in Unix milliseconds; 0 if unknown. A server may
            start again under the id that it had.
        software_version: Version of the server's software; empty if it states none. Streams may
            go on only at servers of the version that began them.
        cold_ms: How much longer the server bears few requests after its start, as of the moment
            at which it wrote the entry.
    """

    server_id: str
    service: str
    address: str
    data_centre: str = ""
    slots: int = 1
    leaving: bool = False
    started_ms: int = 0
    software_version: str = ""
    cold_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RegistrySnapshot:
    """All entries, and the position in the history of changes at which they were read."""

    servers: dict[str, RegisteredServer]
    position: StorePosition


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RegistryChanges:
    """Entries written and removed since a position; `position` is the new position."""

    written: list[RegisteredServer]
    removed: list[str]
    position: StorePosition


class ServerRegistry(Protocol):
    """Reads the registry; each call raises `StoreUnavailableError` if there is no response."""

    async def read_servers(self) -> RegistrySnapshot:
        """Returns all entries."""

    async def wait_for_changes(
        self, position: StorePosition, timeout_seconds: float
    ) -> RegistryChanges:
        """Waits for changes after a position; returns empty changes on timeout.

        Raises `RegistryHistoryLostError` if changes since the position are no longer available, as
        after the start of a new era of the store.
        """
