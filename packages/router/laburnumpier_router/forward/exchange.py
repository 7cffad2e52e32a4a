"""Interfaces of a forwarded request: the response to the caller and the exchange with a server."""

import dataclasses
import math
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from multidict import CIMultiDict, CIMultiDictProxy

from ..ports.dialect import RequestHead
from ..response_end import EndMarker

CONNECT_TIMEOUT_SECONDS = 0.5
"""Timeout for connecting; servers are a few milliseconds away, and a lost packet costs 200 ms."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ForwardRequest:
    """A request as received from the caller.

    Attributes:
        target: Path and query, unchanged and still percent-encoded.
        received_seconds: Monotonic time at which the request head was read.
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
    """A request as sent to a server.

    Attributes:
        server_id: Id of the server, as registered; empty if unknown.
        remaining_seconds: Time until the request's deadline, when the call was made.
        connect_timeout_seconds: Timeout for connecting.
        report_stranded: Called once if the call turns out to have been sent while this router was
            cut off from the servers, so that no server works on it. None if nobody needs to know.
        count_kept: Returns how many bytes of the response its receiver keeps, such as a part of
            an event; None if it keeps none.
    """

    method: str
    address: str
    target: str
    headers: CIMultiDict[str]
    body: bytes
    server_id: str = ""
    remaining_seconds: float = math.inf
    connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS
    report_stranded: Callable[[], None] | None = None
    count_kept: Callable[[], int] | None = None


class ServerExchange(Protocol):
    """The response of a server while it is being received."""

    @property
    def status(self) -> int:
        """HTTP status."""

    @property
    def headers(self) -> CIMultiDictProxy[str]:
        """Response headers."""

    @property
    def end_marker(self) -> EndMarker:
        """How the response says where its body ends."""

    def iterate_chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives; raises `ServerConnectionLostError` if it ends early."""

    async def read(self) -> bytes:
        """Returns the complete body; raises `ServerConnectionLostError` if it ends early."""


class ServerClient(Protocol):
    """Sends requests to servers."""

    def open(self, call: ServerCall) -> AbstractAsyncContextManager[ServerExchange]:
        """Sends a request; leaving the context before the end of the response cancels it.

        Raises `ServerUnreachableError` if nothing was sent and `ServerConnectionLostError` if the
        outcome is unknown.
        """

    async def is_refusing(self, address: str) -> bool:
        """Returns whether nothing listens at an address; False if that is not known."""

    async def is_accepting(self, address: str) -> bool:
        """Returns whether a connection to an address is accepted at once."""

    async def close(self) -> None:
        """Closes all connections."""


class ResponseSink(Protocol):
    """Sends the response of one request to the caller."""

    @property
    def started(self) -> bool:
        """Whether a part of the response was sent."""

    @property
    def finished(self) -> bool:
        """Whether the whole response was sent."""

    @property
    def aborted(self) -> bool:
        """Whether the response was aborted."""

    @property
    def has_explicit_end(self) -> bool:
        """Whether the caller sees the end of the response that was started by its framing.

        Otherwise the response ends with its connection.
        """

    async def send_complete(
        self, status: int, headers: CIMultiDict[str], body: bytes, *, has_explicit_end: bool
    ) -> None:
        """Sends a complete response, with its length if it has an explicit end."""

    async def start_stream(
        self, status: int, headers: CIMultiDict[str], *, has_explicit_end: bool
    ) -> None:
        """Sends the response head; the body follows in chunks if it has an explicit end."""

    async def send_chunk(self, data: bytes) -> None:
        """Sends a chunk of the body."""

    async def finish_stream(self) -> None:
        """Ends the body: by the last chunk, or by an orderly close of the connection."""

    def abort(self) -> None:
        """Ends the response in a way that the caller detects as incomplete."""
