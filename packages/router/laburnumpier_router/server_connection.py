"""Connections to engines and services, each for one request.

A connection knows whether it was reset, and accounts for what its answer makes the process hold.
"""

import asyncio
import fcntl
import functools
import socket
import termios
from collections.abc import Callable
from typing import Any

import aiohttp
from laburnumpier_core.bounded_http import BoundedResponseHandler, ResponseLimitError

from .ports.server_memory import AnswerShare, ServerMemory
from .response_end import get_stated_length

RECEIVE_BUFFER_BYTES = 32 * 1024
"""Size that the kernel is asked for as a receive buffer; it takes twice as much."""
PAUSED_BYTES = 2 * RECEIVE_BUFFER_BYTES
"""Bytes that the socket of a paused connection may hold."""
UPLOAD_CHECK_SECONDS = 0.02
"""Interval at which the rest of an upload is looked at whose answer has ended."""
FRAMING_FIELDS = frozenset({"content-length", "transfer-encoding"})
TCP_CLOSED = 7
"""State of a connection that was reset, in the first byte of Linux's `tcp_info`."""
TCP_STATE_BYTES = 1
INT_BYTES = 4


class ServerResponseHandler(BoundedResponseHandler):
    """Records whether a connection was reset, and accounts for what its answer holds.

    aiohttp treats a body without a length as complete even if the connection was reset.

    Attributes:
        was_reset: Whether the connection ended with an error.
        kept_bytes: Bytes of the body that its reader has taken and keeps.
        count_kept: Returns what is kept of the answer beside that; None for nothing.
    """

    def __init__(self, *, loop: asyncio.AbstractEventLoop, memory: ServerMemory):
        """Creates the handler of one connection.

        Args:
            loop: The event loop.
            memory: Account of what servers' answers hold.
        """
        super().__init__(loop)
        self.was_reset = False
        self.kept_bytes = 0
        self._ends_with_connection = False
        self.count_kept: Callable[[], int] | None = None
        self._memory = memory
        self._share = AnswerShare(
            memory=memory,
            count_held=self._count_held_bytes,
            count_passed=self._count_passed_bytes,
            give_way=self._give_way,
        )

    def keep(self, size_bytes: int) -> None:
        """Records how much of the body its reader keeps."""
        self.kept_bytes = size_bytes
        self._share.update()

    async def wait_for_turn(self) -> None:
        """Waits until more of the body may be read, unless all of it has been received."""
        if self._response_body is not None and not self._response_body.is_eof():
            await self._share.wait_for_turn()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and accounts for what is left of them."""
        super().data_received(data)
        self._share.update()

    def feed_data(self, data, size: int = 0) -> None:
        """Queues a response head, and records what it says of the end of the body."""
        if self._response_body is None:
            headers = data[0].headers
            names = {*map(str.lower, headers)}
            self._ends_with_connection = not FRAMING_FIELDS & names
            self._share.state_length(get_stated_length(headers))
        super().feed_data(data, size)

    def eof_received(self) -> bool:
        """Returns whether to keep a connection whose server has sent its last byte.

        An answer that ends with its connection beside its upload is whole only if the server
        takes the rest of the upload. A server that breaks off resets the connection.
        """
        super().eof_received()
        body = self._response_body
        is_at_end = self._ends_with_connection and body is not None and not body.is_eof()
        if not is_at_end or not self._has_unsent_request():
            return False
        self._loop.call_later(UPLOAD_CHECK_SECONDS, self._check_upload)
        return True

    def connection_lost(self, exc: BaseException | None) -> None:
        """Records whether the connection ended with an error; the answer grows no more."""
        self.was_reset = self.was_reset or exc is not None
        self._share.release()
        super().connection_lost(exc)

    def _check_upload(self) -> None:
        """Closes the connection when the server has taken or refused the whole request."""
        if not self.is_connected():
            return
        connection = self.transport.get_extra_info("socket")
        state = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_STATE_BYTES)[0]
        if state == TCP_CLOSED:
            self.was_reset = True
            self.transport.abort()
        elif self._has_unsent_request():
            self._loop.call_later(UPLOAD_CHECK_SECONDS, self._check_upload)
        else:
            self.transport.close()

    def _has_unsent_request(self) -> bool:
        """Whether bytes of the request have not arrived at the server's system."""
        if self.transport is None:
            return False
        if self.transport.get_write_buffer_size():
            return True
        connection = self.transport.get_extra_info("socket")
        unsent = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(INT_BYTES))
        return any(unsent)

    def _count_held_bytes(self) -> int:
        paused_bytes = PAUSED_BYTES if self._reading_paused else 0
        return self._head_checker.unchecked_bytes + paused_bytes + self._count_body_bytes()

    def _count_passed_bytes(self) -> int:
        """Returns how much of the body its reader has passed on or dropped."""
        if self._response_body is None:
            return 0
        return self._response_body.total_bytes - self._count_body_bytes()

    def _count_body_bytes(self) -> int:
        """Returns how much of the body is not read, or kept by its reader."""
        unread_bytes = getattr(self._response_body, "_size", 0)
        return unread_bytes + self.kept_bytes + (self.count_kept() if self.count_kept else 0)

    def _give_way(self) -> None:
        self._fail(ResponseLimitError("answers_too_large", self._memory.limit_bytes))


def _make_connector(memory: ServerMemory) -> aiohttp.TCPConnector:
    """Returns a connector that opens a new connection for each request and notices resets."""
    connector = aiohttp.TCPConnector(limit=0, force_close=True, socket_factory=_make_small_socket)
    connector._factory = functools.partial(
        ServerResponseHandler, loop=connector._loop, memory=memory
    )
    return connector


def _make_small_socket(address_info: aiohttp.AddrInfoType) -> socket.socket:
    """Returns a socket that holds few bytes which have not been read.

    As much may also be read at once, before the limits of a response are checked.
    """
    family, kind, protocol, _, _ = address_info
    connection = socket.socket(family, kind, protocol)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return connection


def make_server_session(memory: ServerMemory, **options: Any) -> aiohttp.ClientSession:
    """Returns a session that sends each request once, on a new connection, and notices resets.

    Args:
        memory: Account of what servers' answers hold.
        options: Further options of the session.
    """
    session = aiohttp.ClientSession(
        connector=_make_connector(memory), auto_decompress=False, **options
    )
    # aiohttp sends requests with an idempotent method again if their connection is lost. If the
    # second connection is refused, the first request would count as never sent.
    session._retry_connection = False
    return session
