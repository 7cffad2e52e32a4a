"""HTTP client for servers that opens a new connection for each request.

A reused connection may no longer be answered, or may hold bytes that belong to an earlier request.
A new connection costs one round trip and avoids both.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import aiohttp
from laburnumpier_core.bounded_http import read_body
from laburnumpier_core.errors import ServerConnectionLostError, ServerUnreachableError
from laburnumpier_core.log import get_part_logger
from multidict import CIMultiDictProxy
from yarl import URL

from ..intake.memory import CallerMemory, MemoryShare, make_caller_memory
from ..ports.response_memory import BodyMemory, BodyReservation, make_lost_error
from ..ports.server_memory import ServerMemory, make_server_memory
from ..response_end import EndMarker, get_end_marker
from ..server_connection import make_server_session
from .exchange import CONNECT_TIMEOUT_SECONDS, ServerCall
from .response_limits import MAX_BODY_BYTES

ACCEPT_TIMEOUT_SECONDS = 0.2
"""Timeout for finding out whether a server accepts connections; meanwhile an event of the server
that is to be replaced can wait to be passed on."""
READ_BUFFER_BYTES = 16 * 1024
"""Size of the buffer for reading a response body; twice as much may be held."""

_log = get_part_logger("forward")


class HttpServerExchange:
    """A response that is received over HTTP."""

    __slots__ = ("_handler", "_reservation", "_response")

    def __init__(
        self,
        *,
        response: aiohttp.ClientResponse,
        reservation: BodyReservation,
        count_kept: Callable[[], int] | None,
    ):
        """Wraps a response whose head was received; see `ServerCall` for `count_kept`."""
        self._response = response
        self._reservation = reservation
        connection = response.connection
        self._handler = connection.protocol if connection is not None else None
        if self._handler is not None:
            self._handler.count_kept = count_kept

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._response.status

    @property
    def headers(self) -> CIMultiDictProxy[str]:
        """Response headers."""
        return self._response.headers

    @property
    def end_marker(self) -> EndMarker:
        """How the response says where its body ends."""
        return get_end_marker(self._response)

    async def iterate_chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            ServerConnectionLostError: If it ends early.
        """
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, OSError) as error:
            raise make_lost_error(error) from error
        self._check_not_reset()

    async def read(self) -> bytes:
        """Returns the complete body, which the caller accounts for from then on.

        Raises:
            ServerConnectionLostError: If it ends early.
        """
        try:
            wait_for_turn = self._handler.wait_for_turn if self._handler is not None else None
            body = await read_body(self._response, MAX_BODY_BYTES, self._reserve, wait_for_turn)
        except (aiohttp.ClientError, OSError) as error:
            raise make_lost_error(error) from error
        self._check_not_reset()
        self._reservation.release()
        return body

    def _reserve(self, size_bytes: int) -> None:
        """Accounts for a body that grows.

        Raises:
            ResponseLimitError: If there is no memory for it.
        """
        self._reservation.grow(size_bytes)
        if self._handler is not None:
            self._handler.keep(size_bytes)

    def _check_not_reset(self) -> None:
        ends_with_connection = self.end_marker is EndMarker.CLOSE
        if ends_with_connection and getattr(self._handler, "was_reset", False):
            raise ServerConnectionLostError(
                "the connection was reset during a response without a length"
            )


class HttpServerClient:
    """Sends requests to servers over HTTP/1.1."""

    __slots__ = ("_body_memory", "_memory", "_server_memory", "_session")

    def __init__(
        self, *, memory: CallerMemory | None = None, server_memory: ServerMemory | None = None
    ):
        """Creates the client; its session is created at the first request.

        Args:
            memory: Account of what callers make the process hold; by default one of its own.
            server_memory: The same of servers' answers.
        """
        self._memory = memory or make_caller_memory(0)
        self._body_memory = BodyMemory(callers=self._memory)
        self._server_memory = server_memory or make_server_memory(0)
        self._session: aiohttp.ClientSession | None = None

    @contextlib.asynccontextmanager
    async def open(self, call: ServerCall) -> AsyncIterator[HttpServerExchange]:
        """Sends a request; leaving the context closes its connection.

        Raises:
            ServerUnreachableError: If nothing was sent.
            ServerConnectionLostError: If the outcome is unknown.
        """
        # The library joins the body with the head.
        joined = MemoryShare(memory=self._memory)
        joined.add_bytes(len(call.body))
        try:
            response = await self._get_session().request(
                call.method,
                URL(f"http://{call.address}{call.target}", encoded=True),
                headers=call.headers,
                data=call.body or None,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=call.connect_timeout_seconds
                ),
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            # The address names no host, so that nothing was connected.
            aiohttp.InvalidURL,
            UnicodeError,
        ) as error:
            raise ServerUnreachableError(repr(error)) from error
        except (aiohttp.ClientError, OSError) as error:
            raise make_lost_error(error) from error
        finally:
            joined.release()
        reservation = BodyReservation(memory=self._body_memory)
        try:
            yield HttpServerExchange(
                response=response, reservation=reservation, count_kept=call.count_kept
            )
        finally:
            reservation.release()
            response.close()

    async def is_refusing(self, address: str) -> bool:
        """Returns whether a connection to an address is refused; False if that is not known."""
        try:
            await _try_connection(address, CONNECT_TIMEOUT_SECONDS)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError, ValueError) as error:
            _log.debug("server not checked", fields={"address": address, "error": error})
        return False

    async def is_accepting(self, address: str) -> bool:
        """Returns whether a connection to an address is accepted at once."""
        try:
            await _try_connection(address, ACCEPT_TIMEOUT_SECONDS)
        except (OSError, TimeoutError, ValueError) as error:
            _log.debug("server not reached", fields={"address": address, "error": error})
            return False
        return True

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = make_server_session(
                self._server_memory,
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
                read_bufsize=READ_BUFFER_BYTES,
            )
        return self._session


async def _try_connection(address: str, timeout_seconds: float) -> None:
    """Opens a connection to an address and closes it again.

    Raises:
        OSError: If it is refused or fails.
        TimeoutError: If it is not accepted in time.
        ValueError: If the address has no port.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_seconds):
        _, writer = await asyncio.open_connection(host, int(port))
    writer.close()
