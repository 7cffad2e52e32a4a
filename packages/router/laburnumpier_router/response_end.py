"""How the response of a server says where its body ends, and whether its connection was reset.

A response without a length or chunks ends with its connection, which a crash of the server ends as
well. Whoever passes such a response on must not claim an end that the server did not claim.
"""

import enum
import functools
import socket
from typing import Any

import aiohttp
from laburnumpier_core.bounded_http import BoundedResponseHandler

RECEIVE_BUFFER_BYTES = 64 * 1024
"""Size that the kernel is asked for as a receive buffer; it takes twice as much."""
EMPTY_STATUSES = (204, 304)
"""Statuses of responses that have no body."""


class EndMarker(enum.Enum):
    """How a response says where its body ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"

    @property
    def is_explicit(self) -> bool:
        """Whether an early end can be told from the end of the whole body."""
        return self is not EndMarker.CLOSE


class ResetAwareResponseHandler(BoundedResponseHandler):
    """Records whether a connection was reset or closed normally.

    aiohttp treats a body without a length as complete even if the connection was reset.
    """

    was_reset = False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Records whether the connection ended with an error."""
        self.was_reset = exc is not None
        super().connection_lost(exc)


def make_reset_aware_connector() -> aiohttp.TCPConnector:
    """Returns a connector that opens a new connection for each request and notices resets."""
    connector = aiohttp.TCPConnector(limit=0, force_close=True, socket_factory=_make_small_socket)
    connector._factory = functools.partial(ResetAwareResponseHandler, loop=connector._loop)
    return connector


def _make_small_socket(address_info: aiohttp.AddrInfoType) -> socket.socket:
    """Returns a socket that holds few bytes which have not been read.

    As much may also be read at once, before the limits of a response are checked.
    """
    family, kind, protocol, _, _ = address_info
    connection = socket.socket(family, kind, protocol)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return connection


def make_server_session(**options: Any) -> aiohttp.ClientSession:
    """Returns a session that sends each request once, on a new connection, and notices resets.

    Args:
        options: Further options of the session.
    """
    session = aiohttp.ClientSession(
        connector=make_reset_aware_connector(), auto_decompress=False, **options
    )
    # aiohttp sends requests with an idempotent method again if their connection is lost. If the
    # second connection is refused, the first request would count as never sent.
    session._retry_connection = False
    return session


def get_end_marker(response: aiohttp.ClientResponse) -> EndMarker:
    """Returns how a response says where its body ends, as RFC 9112, section 6.3 has it."""
    codings = ",".join(response.headers.getall("Transfer-Encoding", ()))
    coding = codings.rpartition(",")[2].strip().lower()
    if coding == "chunked":
        return EndMarker.CHUNKS
    is_empty = response.method == "HEAD" or response.status in EMPTY_STATUSES
    if is_empty or (not coding and "Content-Length" in response.headers):
        return EndMarker.LENGTH
    return EndMarker.CLOSE
