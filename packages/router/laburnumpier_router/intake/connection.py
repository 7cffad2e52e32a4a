"""A connection of a caller that knows what it holds, and can give way.

It extends the HTTP library's connection. What it reads of the library's own state is gathered
here: the requests that were parsed ahead, their bodies, and the flags of paused reading.
"""

import asyncio
import contextlib
import enum
import socket
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING, Any

from aiohttp import web
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from laburnumpier_core.errors import RequestError
from laburnumpier_core.result_codes import ResultCode

from ..callers.responses import RESET_ON_CLOSE
from .connection_table import ConnectionTable
from .refusals import MEMORY_RETRY_SECONDS, format_refusal, make_refusal

if TYPE_CHECKING:
    from .service import Intake

CONNECTION_BYTES = 6 * 1024
"""Memory of a connection that holds nothing: its objects and those of the library."""
REQUEST_BYTES = 30 * 1024
"""Memory of a request that is served, beside its head and body: its task, and its connection to a
server."""
REFUSED_BYTES = 16 * 1024
"""Memory of a request that was refused, until its caller leaves."""
SOCKET_BUFFER_BYTES = 32 * 1024
"""Size that the kernel is asked for as the receive buffer of a connection; it takes twice as
much."""
REFUSED_BUFFER_BYTES = 16 * 1024
"""The same for a connection whose request was refused and whose bytes are dropped."""
PAUSED_BYTES = 2 * SOCKET_BUFFER_BYTES
"""Bytes that the socket of a paused connection may hold."""
HEAD_COPIES = 3
"""Copies of a head: the lines as received, as text, and in the request's headers."""
LINE_BYTES = 300
"""Memory of the objects of one header line."""
PIECE_BYTES = 100
"""Memory of the objects of one piece of a body that is not read yet."""
BODY_COPIES = 2
"""Copies of a large body while it is received: its pieces, and the whole body."""
SINGLE_COPY_BYTES = 64 * 1024
"""Size up to which a body is counted once."""
READ_BYTES = 16 * 1024
"""Bytes that are parsed before the limits are checked again."""
QUICK_LINES = 256
"""Line ends in received data up to which it is parsed at once."""
SLICE_BYTES = 1024
"""Bytes of other data that are parsed in one turn."""
LINGER_SECONDS = 10.0
"""Time in which a caller may read a refusal before its connection is closed."""
REQUEST_LINE_BYTES = 16
"""Bytes of a request line beside the method and the target, and of the empty line at the end."""


class Stage(enum.Enum):
    """What a connection waits for, which decides whether and when it gives way."""

    UNUSED = "unused"
    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    SERVED = "served"
    AHEAD = "ahead"
    UNREAD = "unread"
    REFUSED = "refused"


class BoundedConnection(web.RequestHandler):
    """A connection of a caller whose memory is accounted for.

    Attributes:
        intake: Decides who gives way.
        table: Connections of the same listener.
        began_seconds: Event loop time of the first byte of a head that is not whole, or of the
            beginning of the idle time.
        byte_seconds: Bytes held times the seconds for which they were held, since the connection
            last held nothing.
        held_bytes: Memory that was last recorded for the connection.
    """

    __slots__ = (
        "_answered_requests",
        "_body_bytes",
        "_body_pieces",
        "_body_watch",
        "_gave_way",
        "_has_request",
        "_head_bytes",
        "_head_lines",
        "_is_refused",
        "_is_reset",
        "_known_requests",
        "_limits",
        "_measured_seconds",
        "_payload",
        "_response_bytes",
        "_unparsed",
        "began_seconds",
        "byte_seconds",
        "held_bytes",
        "intake",
        "table",
    )

    def __init__(
        self,
        manager: web.Server,
        *,
        intake: "Intake",
        table: ConnectionTable,
        loop: asyncio.AbstractEventLoop,
        **options: Any,
    ):
        """Creates the connection.

        Args:
            manager: The HTTP server.
            intake: Decides who gives way.
            table: Connections of the same listener.
            loop: The event loop.
            options: Options of the library.
        """
        super().__init__(manager, loop=loop, **options)
        self.intake = intake
        self.table = table
        self.began_seconds = self._measured_seconds = loop.time()
        self.byte_seconds = 0.0
        self.held_bytes = 0
        self._limits = intake.get_limits(table)
        self._unparsed = bytearray()
        self._body_pieces = bytearray()
        self._payload: StreamReader | None = None
        self._head_bytes = self._head_lines = self._body_bytes = 0
        self._body_watch: asyncio.Timeout | None = None
        self._known_requests = self._answered_requests = self._response_bytes = 0
        self._has_request = self._is_refused = self._gave_way = self._is_reset = False

    @property
    def max_body_bytes(self) -> int:
        """Size limit of the body that is being read, which also has to fit into the account."""
        room_bytes = self.intake.memory.large_limit_bytes // BODY_COPIES
        return min(self._limits.max_body_bytes, room_bytes)

    @property
    def gave_way(self) -> bool:
        """Whether the request that is being read has to be refused."""
        return self._gave_way

    @property
    def stage(self) -> Stage:
        """What the connection waits for."""
        if self._is_refused:
            return Stage.REFUSED
        if self._has_unanswered_request():
            if self._body_watch is not None:
                return Stage.BODY
            if self.writing_paused:
                return Stage.UNREAD
            return Stage.AHEAD if self._has_sent_ahead() else Stage.SERVED
        if self._head_bytes or self._unparsed:
            return Stage.HEAD
        return Stage.IDLE if self._has_request else Stage.UNUSED

    @property
    def is_idle(self) -> bool:
        """Whether the connection can be closed without a loss: it has no request."""
        if self._unparsed:
            return False
        if self._is_refused:
            return not self._has_unanswered_request()
        waiter = self._waiter
        return waiter is not None and not waiter.done()

    def is_idle_too_long(self, now_seconds: float) -> bool:
        """Whether the connection has been without a byte for longer than it may."""
        is_idle = self.stage in (Stage.IDLE, Stage.UNUSED)
        waited_seconds = now_seconds - self.began_seconds
        return is_idle and waited_seconds > self._limits.idle_timeout_seconds

    def is_late(self, now_seconds: float) -> bool:
        """Whether the connection takes longer than it may for what it does."""
        waited_seconds = now_seconds - self.began_seconds
        match self.stage:
            case Stage.HEAD:
                timeout_seconds = self._limits.header_timeout_seconds
                return not self._unparsed and waited_seconds > timeout_seconds
            case Stage.REFUSED:
                is_answered = not self._has_unanswered_request()
                return is_answered and waited_seconds > LINGER_SECONDS
        return self.is_idle_too_long(now_seconds)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection, which may have to go at once if there are too many."""
        super().connection_made(transport)
        self.measure()
        self.intake.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Gives everything back that the connection held.

        Requests that were parsed ahead refer to the connection, so that they would stay in memory
        until the next collection of cycles. The task that reads them is cancelled.
        """
        self._unparsed.clear()
        self._messages.clear()
        self._payload = None
        self.intake.remove(self)
        self._record(0)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes, at once or in turn with others, and accounts for them."""
        if self._is_refused:
            return
        if not data:
            # The library goes on with bytes that it kept while its reader was paused.
            super().data_received(data)
            self._note_parsed(b"")
        elif self._unparsed or data.count(b"\n") > QUICK_LINES:
            self._defer(data)
        else:
            self._parse(data)

    def parse_slice(self) -> bool:
        """Parses the next bytes that wait; returns whether more of them can be parsed at once."""
        if self._is_refused or not self._unparsed:
            return False
        piece = bytes(self._unparsed[:SLICE_BYTES])
        del self._unparsed[:SLICE_BYTES]
        super().data_received(piece)
        self._note_parsed(piece)
        if self._unparsed:
            return not self._is_reading_paused()
        if not self._is_reading_paused():
            self._resume_transport_reading()
        return False

    def pause_writing(self) -> None:
        """Accounts for the bytes of a response that the caller does not read."""
        super().pause_writing()
        self.measure()

    def resume_writing(self) -> None:
        """Accounts for the bytes of a response that the caller has read."""
        super().resume_writing()
        self.measure()

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Sends the response, and ends what the request held."""
        if self._is_refused or (self.table.is_crowded and not resp.prepared):
            resp.force_close()
        result = await super().finish_response(request, resp, start_time)
        self._answered_requests += 1
        self._body_bytes = self._response_bytes = 0
        self.began_seconds = self._loop.time()
        self._limits = self.intake.get_limits(self.table)
        self.measure()
        return result

    async def _handle_request(self, request: web.BaseRequest, start_time, request_handler):
        """Handles a request, unless its head is too large."""
        self.byte_seconds = 0.0
        if compute_head_bytes(request._message) <= self._limits.max_header_bytes:
            return await super()._handle_request(request, start_time, request_handler)

        async def refuse(refused: web.BaseRequest) -> web.StreamResponse:
            error = RequestError(ResultCode.HEAD_TOO_LARGE)
            self.intake.note_refusal(error.code)
            self.refuse_rest()
            return make_refusal(error)

        return await super()._handle_request(request, start_time, refuse)

    @contextlib.asynccontextmanager
    async def watch_body(self) -> AsyncIterator[None]:
        """Lets the connection give way while its handler reads a body.

        Raises:
            TimeoutError: If it gave way, which `gave_way` tells.
        """
        async with asyncio.timeout(None) as watch:
            self._body_watch = watch
            try:
                yield
            finally:
                self._body_watch = None
        # A response that waits for a server is no sign of a slow caller.
        self.byte_seconds = 0.0

    def begin_body(self) -> bytearray:
        """Returns the buffer of a body that is being read, which `refuse_rest` clears."""
        self._body_pieces = bytearray()
        return self._body_pieces

    def record_body(self, size_bytes: int, *, is_whole: bool = False) -> None:
        """Accounts for the part of a body that its handler has."""
        is_single = is_whole or size_bytes <= SINGLE_COPY_BYTES
        self._body_bytes = size_bytes if is_single else BODY_COPIES * size_bytes
        self.measure()

    def record_response(self, size_bytes: int) -> None:
        """Accounts for the body of a response that is kept until it is sent."""
        self._response_bytes = size_bytes
        self.byte_seconds = 0.0
        self.measure()

    def reserve(self, size_bytes: int) -> bool:
        """Accounts for what a handler makes of a body; returns False without room for it."""
        self._body_bytes += size_bytes
        self.measure()
        if not self.intake.memory.is_overdrawn:
            return True
        self._body_bytes -= size_bytes
        self.measure()
        return False

    def measure(self) -> None:
        """Accounts for what the connection holds now; connections give way if that is too much."""
        if self.transport is None or self._is_reset:
            return
        before_bytes = self.held_bytes
        self._record(self._compute_held_bytes())
        if self.held_bytes > before_bytes:
            self.intake.memory.relieve()

    def refuse_rest(self) -> None:
        """Drops everything that the caller still sends; the connection ends with its response."""
        if self._is_refused:
            return
        self._is_refused = True
        self.began_seconds = self._loop.time()
        self._unparsed.clear()
        self._body_pieces.clear()
        self._body_bytes = 0
        self.table.note_refused(self)
        self._reading_paused = self._buffer_paused = False
        self._set_socket_option(socket.SO_RCVBUF, REFUSED_BUFFER_BYTES)
        super()._resume_transport_reading()
        self.measure()

    def give_way(self) -> None:
        """Releases what the connection holds: refuses its request, or ends the connection."""
        match self.stage:
            case Stage.BODY:
                self._gave_way = True
                self._body_watch.reschedule(self._loop.time())
                self.refuse_rest()
            case Stage.HEAD:
                code = ResultCode.MEMORY_EXHAUSTED
                error = RequestError(code, retry_after_seconds=MEMORY_RETRY_SECONDS)
                self.refuse_head(error)
            case _:
                self.reset()

    def refuse_head(self, error: RequestError) -> None:
        """Answers a head that is not whole.

        Behind a request that is not answered yet it gets no answer, which would be taken for that
        of the request.
        """
        self.intake.note_refusal(error.code)
        self.refuse_rest()
        if self.transport is not None and not self._has_unanswered_request():
            self.transport.write(format_refusal(error))

    def reset(self) -> None:
        """Resets the connection, so that no response on it looks whole."""
        transport = self.transport
        if transport is None:
            return
        self._set_socket_option(socket.SO_LINGER, RESET_ON_CLOSE)
        self._is_reset = True
        self._body_pieces.clear()
        if self._request_in_progress:
            # Nothing takes a request that was sent ahead before the connection is lost.
            self._messages.clear()
        self._record(0)
        transport.abort()

    def _set_socket_option(self, option: int, value: int | bytes) -> None:
        """Sets an option of the socket, unless it is being closed."""
        if self.transport is None or self.transport.is_closing():
            return
        connection = self.transport.get_extra_info("socket")
        if connection is not None:
            connection.setsockopt(socket.SOL_SOCKET, option, value)

    def _parse(self, data: bytes) -> None:
        """Parses data in pieces, and checks the limits after each."""
        for start in range(0, len(data), READ_BYTES):
            if self._is_refused or self.transport is None:
                return
            if self._is_reading_paused():
                self._defer(data[start:])
                return
            piece = data[start : start + READ_BYTES]
            super().data_received(piece)
            self._note_parsed(piece)

    def _defer(self, data: bytes) -> None:
        """Lets data wait to be parsed; nothing more is read meanwhile."""
        self._unparsed += data
        self._pause_transport_reading()
        if not self._is_reading_paused():
            self.intake.parse_queue.add(self)
        self.measure()

    def _resume_transport_reading(self) -> None:
        """Goes on with bytes that wait to be parsed before more is read."""
        if self._unparsed:
            self.intake.parse_queue.add(self)
        else:
            super()._resume_transport_reading()

    def _has_sent_ahead(self) -> bool:
        """Whether the caller has sent more than the request that is served."""
        is_more_parsed = self._request_count > self._answered_requests + 1
        return is_more_parsed or bool(self._unparsed) or self._is_reading_paused()

    def _is_reading_paused(self) -> bool:
        return self._reading_paused or self._buffer_paused

    def _note_parsed(self, piece: bytes) -> None:
        """Determines what the parser waits for, and accounts for it."""
        was_in_body = self._payload is not None
        has_new_request = bool(self._messages) and self._request_count != self._known_requests
        self._known_requests = self._request_count
        if has_new_request:
            is_first = self._request_count == self._answered_requests + 1
            if not self._head_bytes and is_first:
                self._limits = self.intake.get_limits(self.table)
            self._has_request = True
            self._payload = self._messages[-1][1]
            self.table.note_used(self)
        if self._payload is not None and self._payload.is_eof():
            self._payload = None
        if has_new_request or was_in_body:
            self._head_bytes = self._head_lines = 0
        elif piece:
            self._note_head(piece)
        self.measure()

    def _note_head(self, piece: bytes) -> None:
        if not self._head_bytes:
            self.began_seconds = self._loop.time()
            self._limits = self.intake.get_limits(self.table)
        self._head_bytes += len(piece)
        self._head_lines += piece.count(b"\n")
        if self._head_bytes > self._limits.max_header_bytes:
            self.refuse_head(RequestError(ResultCode.HEAD_TOO_LARGE))

    def _has_unanswered_request(self) -> bool:
        # Between its place in the queue and its handler the library does not show a request.
        return self._request_count > self._answered_requests

    def _compute_held_bytes(self) -> int:
        total = CONNECTION_BYTES + self._body_bytes + self._response_bytes
        if self.transport is not None:
            total += self.transport.get_write_buffer_size()
        if self._is_refused:
            return total + REFUSED_BYTES
        if self._has_unanswered_request():
            total += REQUEST_BYTES
        total += HEAD_COPIES * self._head_bytes + LINE_BYTES * self._head_lines
        total += len(self._unparsed)
        if self._unparsed or self._is_reading_paused():
            total += PAUSED_BYTES
        for message, payload in self._messages:
            total += _compute_message_bytes(message) + _compute_unread_bytes(payload)
        if self._payload is not None and not self._messages:
            total += _compute_unread_bytes(self._payload)
        return total

    def _record(self, size_bytes: int) -> None:
        now = self._loop.time()
        self.byte_seconds += self.held_bytes * (now - self._measured_seconds)
        self._measured_seconds = now
        if size_bytes <= CONNECTION_BYTES:
            self.byte_seconds = 0.0
        self.intake.memory.record(self.held_bytes, size_bytes)
        self.held_bytes = size_bytes


def compute_head_bytes(message: RawRequestMessage) -> int:
    """Returns the size of a request head as it was received, within a few bytes."""
    lines = sum(len(name) + len(value) + 4 for name, value in message.raw_headers)
    return lines + len(message.method) + len(message.path) + REQUEST_LINE_BYTES


def record_response(request: web.BaseRequest, size_bytes: int) -> None:
    """Accounts for the body of a response that is kept until it is sent."""
    if isinstance(request.protocol, BoundedConnection):
        request.protocol.record_response(size_bytes)


def ends_connection(request: web.BaseRequest) -> bool:
    """Whether the connection of a request is to be closed behind its response."""
    connection = request.protocol
    return isinstance(connection, BoundedConnection) and connection.table.is_crowded


def _compute_message_bytes(message: Any) -> int:
    """Returns the memory of a request that was parsed ahead; errors of the parser take little."""
    if not isinstance(message, RawRequestMessage):
        return LINE_BYTES
    lines = LINE_BYTES * len(message.raw_headers)
    return HEAD_COPIES * compute_head_bytes(message) + lines


def _compute_unread_bytes(payload: StreamReader) -> int:
    """Returns the memory of the part of a body that its handler has not read."""
    if payload is EMPTY_PAYLOAD:
        return 0
    return payload._size + PIECE_BYTES * len(payload._buffer)


def set_receive_buffer(listening: socket.socket) -> None:
    """Limits what the connections that a listening socket will accept hold unread."""
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
