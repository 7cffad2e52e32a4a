"""HTTP client sessions and body readers with limits on what a server may send.

A faulty server may send bytes without end, in a head, in the framing of a body or in the body.
Every response is therefore limited in size; past a limit its connection is closed, and the call
fails like one whose connection was lost.
"""

import functools

import aiohttp
from aiohttp.client_proto import ResponseHandler
from laburnumpier_core.errors import ServerConnectionLostError, ServerResponseLimitError

from ..intake.memory import CallerMemory, MemoryShare, make_caller_memory

MAX_HEAD_BYTES = 64 * 1024
"""Size of a response head with all interim (1xx) heads before it."""
MAX_FRAMING_BYTES = 64 * 1024
"""Size of chunk extensions and trailers of a response, beside the framing of its body bytes."""
MAX_WIRE_BYTES_PER_BODY_BYTE = 2
"""Bytes on the wire for each byte of a body, beyond `MAX_FRAMING_BYTES`; a chunk of six bytes
takes eleven."""
MAX_SHARED_BODY_BYTES = 32 * 1024 * 1024
"""Memory for all large bodies of a client at the same time; the smallest VMs have 150 MB."""
UNSHARED_BODY_BYTES = 64 * 1024
"""Size up to which a body takes nothing of the shared memory."""
SWITCHING_PROTOCOLS_STATUS = 101
PIECE_BYTES = 16 * 1024
"""Bytes that are parsed before the limits are checked again."""
MAX_CONTROL_BODY_BYTES = 64 * 1024
"""Size of a response to a control call, such as a load report, and of an error response."""


class ResponseLimitError(aiohttp.ClientPayloadError):
    """A response has passed a limit.

    Attributes:
        reason: Short identifier of the limit for logs.
    """

    def __init__(self, reason: str, limit_bytes: int):
        """Creates the error of a limit that was passed."""
        super().__init__(f"{reason}: more than {limit_bytes} bytes")
        self.reason = reason


class BodyMemory:
    """The memory that the large bodies of a client share, within that of all callers."""

    __slots__ = ("callers", "used_bytes")

    def __init__(self, *, callers: CallerMemory | None = None):
        """Creates the memory with nothing in use.

        Args:
            callers: Account of what callers make the process hold; by default one of its own.
        """
        self.callers = callers or make_caller_memory(0)
        self.used_bytes = 0

    def open_share(self) -> MemoryShare:
        """Returns a share of nothing in the account of all callers."""
        return MemoryShare(memory=self.callers)


class BodyReservation:
    """The share of one body in the memory of all; small bodies need none."""

    __slots__ = ("_memory", "_share", "_taken_bytes")

    def __init__(self, *, memory: BodyMemory):
        """Creates a reservation of nothing."""
        self._memory = memory
        self._share = memory.open_share()
        self._taken_bytes = 0

    def grow(self, size_bytes: int) -> None:
        """Takes as much of the memory as a body of a size needs.

        Raises:
            ResponseLimitError: If other bodies have taken too much of it.
        """
        needed_bytes = max(0, size_bytes - UNSHARED_BODY_BYTES) - self._taken_bytes
        if needed_bytes <= 0:
            return
        if self._memory.used_bytes + needed_bytes > MAX_SHARED_BODY_BYTES:
            raise ResponseLimitError("bodies_too_large", MAX_SHARED_BODY_BYTES)
        if not self._share.set_bytes(size_bytes):
            raise ResponseLimitError("bodies_too_large", self._memory.callers.limit_bytes)
        self._memory.used_bytes += needed_bytes
        self._taken_bytes += needed_bytes

    def release(self) -> None:
        """Returns the share."""
        self._share.release()
        self._memory.used_bytes -= self._taken_bytes
        self._taken_bytes = 0


class BoundedResponseHandler(ResponseHandler):
    """Ends a connection whose response has a too large head or framing, or bytes behind its end.

    The parser of aiohttp limits single header lines, but neither the number of interim heads nor
    chunk extensions.
    """

    def __init__(self, loop):
        """Creates the handler of one connection."""
        super().__init__(loop)
        self._received_bytes = 0
        self._response_body: aiohttp.StreamReader | None = None

    def set_response_params(self, **params) -> None:
        """Prepares for the response to the next request."""
        self._received_bytes = 0
        self._response_body = None
        super().set_response_params(**params)

    def feed_data(self, data, size: int = 0) -> None:
        """Queues a response head; whatever follows the first final one belongs to no request."""
        message, body = data
        if self._response_body is not None:
            self._should_close = True
            return
        if message.code == SWITCHING_PROTOCOLS_STATUS:
            self._fail(aiohttp.ClientPayloadError("the server switched protocols unasked"))
            return
        if message.code >= 200:
            self._response_body = body
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes in pieces and checks the limits after each."""
        if not data:
            super().data_received(data)
            self._check_limits()
            return
        for start in range(0, len(data), PIECE_BYTES):
            if self._exception is not None or self.transport is None:
                return
            if self._response_body is not None and self._response_body.is_eof():
                self._should_close = True
                self.transport.close()
                return
            piece = data[start : start + PIECE_BYTES]
            self._received_bytes += len(piece)
            super().data_received(piece)
            self._check_limits()

    def _check_limits(self) -> None:
        # While reading is paused, the parser holds bytes that it has not counted yet.
        if self._reading_paused or self._exception is not None:
            return
        if self._response_body is None:
            if self._received_bytes > MAX_HEAD_BYTES:
                self._fail(ResponseLimitError("head_too_large", MAX_HEAD_BYTES))
            return
        framed_bytes = MAX_WIRE_BYTES_PER_BODY_BYTE * self._response_body.total_bytes
        if self._received_bytes > MAX_HEAD_BYTES + MAX_FRAMING_BYTES + framed_bytes:
            self._fail(ResponseLimitError("framing_too_large", MAX_FRAMING_BYTES))

    def _fail(self, error: aiohttp.ClientPayloadError) -> None:
        """Fails the response and closes the connection without sending what is left to send."""
        self.set_exception(error)
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)
        # The end of the connection would replace the error of the body by one of its own.
        self._payload = None
        if self.transport is not None:
            self.transport.abort()


def make_session(
    *, handler_class: type[BoundedResponseHandler] = BoundedResponseHandler, **options
) -> aiohttp.ClientSession:
    """Returns a session whose responses are limited; bodies are not decompressed.

    Args:
        handler_class: Handler of a connection.
        options: Options of the connector.
    """
    connector = aiohttp.TCPConnector(**options)
    connector._factory = functools.partial(handler_class, loop=connector._loop)
    return aiohttp.ClientSession(
        connector=connector, auto_decompress=False, skip_auto_headers=("Accept-Encoding",)
    )


async def read_body(
    response: aiohttp.ClientResponse, max_bytes: int, reservation: BodyReservation | None = None
) -> bytes:
    """Returns the complete body of a response.

    Args:
        response: The response.
        max_bytes: Size limit of the body.
        reservation: Share of the body in the memory of all, which the caller releases; None if
            the limit is small.

    Raises:
        ResponseLimitError: If it is larger than a limit; its connection is closed.
        aiohttp.ClientError: If it ends early.
    """
    body = bytearray()
    try:
        _check_body_size(response.content_length or 0, max_bytes)
        while block := await response.content.readany():
            size_bytes = len(body) + len(block)
            _check_body_size(size_bytes, max_bytes)
            if reservation is not None:
                reservation.grow(size_bytes)
            body += block
    except ResponseLimitError:
        response.close()
        raise
    return bytes(body)


def _check_body_size(size_bytes: int, max_bytes: int) -> None:
    if size_bytes > max_bytes:
        raise ResponseLimitError("body_too_large", max_bytes)


def make_lost_error(error: Exception) -> ServerConnectionLostError:
    """Returns the error of a call to a server whose response was lost or passed a limit."""
    if isinstance(error, ResponseLimitError):
        return ServerResponseLimitError(error.reason, str(error))
    return ServerConnectionLostError(repr(error))
