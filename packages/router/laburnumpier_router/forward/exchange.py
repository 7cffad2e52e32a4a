"""The two ends of a forwarded request: the caller's answer and the exchange with a server."""

import dataclasses
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from multidict import CIMultiDict, CIMultiDictProxy

from ..ports.dialect import RequestHead


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ForwardRequest:
    """A request as it came in.

    Attributes:
        target: Path and query exactly as sent.
        received_seconds: Monotonic time at which its head was read.
    """

    method: str
    target: str
    host: str
    headers: CIMultiDictProxy[str]
    body: bytes
    head: RequestHead
    received_seconds: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerCall:
    """A request as it goes to a server."""

    method: str
    address: str
    target: str
    headers: CIMultiDict[str]
    body: bytes


class ServerExchange(Protocol):
    """The answer of a server, while it comes in."""

    @property
    def status(self) -> int:
        """HTTP status."""

    @property
    def headers(self) -> CIMultiDictProxy[str]:
        """Headers of the answer."""

    def iterate(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives; raises `ServerBrokeOffError` unless it ends whole."""

    async def read(self) -> bytes:
        """Returns the whole body; raises `ServerBrokeOffError` unless it ends whole."""


class ServerClient(Protocol):
    """Makes calls to servers."""

    def open(self, call: ServerCall) -> AbstractAsyncContextManager[ServerExchange]:
        """Sends a call; leaving the context before the answer's end cancels it.

        Raises `ServerNotReachedError` if nothing was sent, `ServerBrokeOffError` if the outcome
        is unknown.
        """

    async def close(self) -> None:
        """Frees connections."""


class ResponseSink(Protocol):
    """Where the answer of one request goes."""

    @property
    def started(self) -> bool:
        """Whether a part of the answer was sent."""

    @property
    def aborted(self) -> bool:
        """Whether the answer was broken off."""

    async def send_complete(self, status: int, headers: CIMultiDict[str], body: bytes) -> None:
        """Sends an answer that is complete."""

    async def start_stream(self, status: int, headers: CIMultiDict[str]) -> None:
        """Starts an answer whose body follows in parts."""

    async def send_chunk(self, data: bytes) -> None:
        """Sends a part of the body."""

    async def finish_stream(self) -> None:
        """Ends the body, so that the caller knows it as complete."""

    def abort(self) -> None:
        """Ends the answer so that it cannot look complete."""
