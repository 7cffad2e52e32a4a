"""Calls to servers by HTTP, each on a connection of its own.

A connection that was used before may have gone silent, or may hold bytes that belong to an
earlier request. A new one costs a round trip and has neither trouble.
"""

import contextlib
import functools
from collections.abc import AsyncIterator

import aiohttp
from aiohttp.client_proto import ResponseHandler
from laburnumpier_core.errors import ServerConnectionLostError, ServerUnreachableError
from multidict import CIMultiDictProxy
from yarl import URL

from .exchange import ServerCall

CONNECT_SECONDS = 0.5
"""Longest time to connect; servers are a few milliseconds away, a lost packet costs 200 ms."""
READ_BYTES = 65536
"""Most bytes of a body taken at once."""


class ExactResponseHandler(ResponseHandler):
    """Tells a connection that was reset from one that was closed.

    The library takes a body without a length as whole also when the connection was reset.
    """

    was_reset = False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Notes how the connection ended."""
        self.was_reset = exc is not None
        super().connection_lost(exc)


class HttpServerExchange:
    """An answer that comes in over HTTP."""

    __slots__ = ("_protocol", "_response")

    def __init__(self, *, response: aiohttp.ClientResponse):
        """Wraps a response whose head has arrived."""
        self._response = response
        connection = response.connection
        self._protocol = connection.protocol if connection is not None else None

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._response.status

    @property
    def headers(self) -> CIMultiDictProxy[str]:
        """Headers of the answer."""
        return self._response.headers

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            ServerBrokeOffError: If it does not end whole.
        """
        try:
            async for part in self._response.content.iter_any():
                yield part
        except (aiohttp.ClientError, OSError) as error:
            raise ServerConnectionLostError(repr(error)) from error
        self._check_end()

    async def read(self) -> bytes:
        """Returns the whole body.

        Raises:
            ServerBrokeOffError: If it does not end whole.
        """
        try:
            body = await self._response.read()
        except (aiohttp.ClientError, OSError) as error:
            raise ServerConnectionLostError(repr(error)) from error
        self._check_end()
        return body

    def _check_end(self) -> None:
        headers = self._response.headers
        framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        if not framed and getattr(self._protocol, "was_reset", False):
            raise ServerConnectionLostError("an answer without a length was reset")


class HttpServerClient:
    """Opens exchanges over HTTP/1.1."""

    __slots__ = ("_session",)

    def __init__(self):
        """Creates the client; it connects at each call."""
        self._session: aiohttp.ClientSession | None = None

    @contextlib.asynccontextmanager
    async def open(self, call: ServerCall) -> AsyncIterator[HttpServerExchange]:
        """Sends a call; leaving the context closes its connection.

        Raises:
            ServerNotReachedError: If nothing was sent.
            ServerBrokeOffError: If the outcome is unknown.
        """
        try:
            response = await self._get_session().request(
                call.method,
                URL(f"http://{call.address}{call.target}", encoded=True),
                headers=call.headers,
                data=call.body or None,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise ServerUnreachableError(repr(error)) from error
        except (aiohttp.ClientError, OSError) as error:
            raise ServerConnectionLostError(repr(error)) from error
        try:
            yield HttpServerExchange(response=response)
        finally:
            response.close()

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0, force_close=True)
            connector._factory = functools.partial(ExactResponseHandler, loop=connector._loop)
            self._session = aiohttp.ClientSession(
                connector=connector,
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
                read_bufsize=READ_BYTES,
            )
        return self._session
