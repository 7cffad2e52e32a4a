"""The port to the platform's list of VMs, and its HTTP adapter.

The list lags behind reality both ways: absent is not dead, and listed is not alive. Callers
combine it with what they hear themselves.
"""

import dataclasses
from typing import Protocol

import aiohttp
import msgspec
from laburnumpier_core.errors import StoreUnavailableError


class ListedVm(msgspec.Struct, frozen=True, kw_only=True):
    """One line of the list; `state` is `live` or `leaving`."""

    vm: str
    state: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VmListing:
    """The list as read at one time; `serial` rises each time the platform renews it."""

    serial: int
    vms: dict[str, str]


class VmList(Protocol):
    """Reads the platform's list of VMs."""

    async def read(self) -> VmListing:
        """Returns the newest list; raises `StoreUnavailableError` when it cannot be read."""

    async def close(self) -> None:
        """Frees connections."""


class _ListDocument(msgspec.Struct, kw_only=True):
    serial: int
    vms: list[ListedVm]


class HttpVmList:
    """Reads the list as JSON from a URL."""

    __slots__ = ("_session", "_timeout_seconds", "_url")

    def __init__(self, *, url: str, timeout_seconds: float):
        """Creates the adapter; it connects at the first call."""
        self._url = url
        self._timeout_seconds = timeout_seconds
        self._session: aiohttp.ClientSession | None = None

    async def read(self) -> VmListing:
        """Returns the newest list.

        Raises:
            StoreUnavailableError: If it cannot be read.
        """
        if self._session is None:
            self._session = aiohttp.ClientSession()
        timeout = aiohttp.ClientTimeout(total=self._timeout_seconds)
        try:
            async with self._session.get(self._url, timeout=timeout) as answer:
                body = await answer.read()
            document = msgspec.json.decode(body, type=_ListDocument)
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as error:
            raise StoreUnavailableError(f"VM list: {error!r}") from error
        vms = {listed.vm: listed.state for listed in document.vms}
        return VmListing(serial=document.serial, vms=vms)

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()
