"""The port to a registry in which backend servers enter themselves.

Where the platform keeps such a registry, it names the servers of each service; operators then
configure services only. An entry is a server's own word and may be stale.
"""

import dataclasses
from typing import Protocol

import msgspec
from laburnumpier_core.errors import StoreError


class RegistryHistoryLostError(StoreError):
    """Changes since the given position are no longer kept; the registry must be read anew."""


class RegisteredServer(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the registry.

    Attributes:
        server_id: Identity of the server's present start.
        service: Service that it belongs to.
        address: Where it listens, `host:port`.
        data_centre: Where it stands.
        slots: Requests that it runs at once.
        leaving: Whether it asks for no new work.
    """

    server_id: str
    service: str
    address: str
    data_centre: str = ""
    slots: int = 1
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RegistrySnapshot:
    """All entries, and the position from which changes follow."""

    servers: dict[str, RegisteredServer]
    position: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RegistryChanges:
    """Entries written and removed since a position; `position` is the new one."""

    written: list[RegisteredServer]
    removed: list[str]
    position: int


class ServerRegistry(Protocol):
    """Reads the registry; each call raises `StoreUnavailableError` when it is not answered."""

    async def read_servers(self) -> RegistrySnapshot:
        """Returns all entries."""

    async def wait_for_changes(self, position: int, timeout_seconds: float) -> RegistryChanges:
        """Waits for changes, which are empty when the time is up.

        Raises `RegistryHistoryLostError` when changes were missed.
        """
