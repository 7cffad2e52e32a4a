"""The interface to the platform's list of VMs, and its HTTP adapter.

The list may be outdated: a VM that is missing may be alive, and a listed one may be dead. Callers
combine it with their own observations, such as heartbeats.
"""

import dataclasses
from typing import Protocol

import aiohttp
import msgspec
from laburnumpier_core.bounded_http import make_session, read_body
from laburnumpier_core.decoding import decode_json
from laburnumpier_core.errors import StoreUnavailableError, UnreadableDataError

SUCCESS_STATUS = 200
MAX_LIST_BYTES = 1024 * 1024
"""Size of the list; an entry takes some 100 bytes."""


class ListedVm(msgspec.Struct, frozen=True, kw_only=True):
    """An entry of the list; `state` is `live` or `leaving`."""

    vm: str
    state: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VmListing:
    """A snapshot of the list; `serial` increases each time the platform updates the list."""

    serial: int
    vms: dict[str, str]


class VmList(Protocol):
    """Reads the platform's list of VMs."""

    async def read(self) -> VmListing:
        """Returns the latest list; raises `StoreUnavailableError` if it cannot be read."""

    async def close(self) -> None:
        """Closes the connections."""


class _ListDocument(msgspec.Struct, kw_only=True):
    serial: int
    vms: list[ListedVm]


class HttpVmList:
    """Reads the list as a JSON document from a URL."""

    __slots__ = ("_session", "_timeout_seconds", "_url")

    def __init__(self, *, url: str, timeout_seconds: float):
        """Creates the adapter, which connects on the first call."""
        self._url = url
        self._timeout_seconds = timeout_seconds
        self._session: aiohttp.ClientSession | None = None

    async def read(self) -> VmListing:
        """Returns the latest list.

        Raises:
            StoreUnavailableError: If the list cannot be read.
        """
        if self._session is None:
            self._session = make_session()
        timeout = aiohttp.ClientTimeout(total=self._timeout_seconds)
        try:
            async with self._session.get(self._url, timeout=timeout) as response:
                if response.status != SUCCESS_STATUS:
                    raise StoreUnavailableError(f"VM list: status {response.status}")
                body = await read_body(response, MAX_LIST_BYTES)
            document = decode_json(body, _ListDocument)
        except (aiohttp.ClientError, TimeoutError, OSError, UnreadableDataError) as error:
            raise StoreUnavailableError(f"VM list cannot be read: {error!r}") from error
        vms = {listed.vm: listed.state for listed in document.vms}
        return VmListing(serial=document.serial, vms=vms)

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()
