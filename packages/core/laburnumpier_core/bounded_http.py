"""HTTP client sessions and body readers that check and limit what a server may send.

A faulty server may send heads that break the protocol, or bytes without end, in a head, in the
framing of a body or in the body. Every response is therefore checked and limited in size; if it
fails, its connection is closed, and the call fails like one whose connection was lost.
"""

import functools
from collections.abc import Awaitable, Callable

import aiohttp
from aiohttp.client_proto import ResponseHandler

from .errors import InvalidHeadError, TooManyHeadsError
from .log import get_part_logger
from .response_head import HeadChecker

MAX_HEAD_BYTES = 64 * 1024
"""Size of a response head with all interim (1xx) heads before it."""
MAX_FRAMING_BYTES = 64 * 1024
"""Size of chunk extensions and trailers of a response, beside the framing of its body bytes."""
MAX_WIRE_BYTES_PER_BODY_BYTE = 2
"""Bytes on the wire for each byte of a body, beyond `MAX_FRAMING_BYTES`; a chunk of six bytes
takes eleven."""
SWITCHING_PROTOCOLS_STATUS = 101
PIECE_BYTES = 16 * 1024
"""Bytes that are parsed before the limits are checked again."""

_log = get_part_logger("http")


class ResponseLimitError(aiohttp.ClientPayloadError):
    """A response has passed a limit.

    Attributes:
        reason: Short identifier of the limit for logs.
    """

    def __init__(self, reason: str, limit_bytes: int):
        """Creates the error of a limit that was passed."""
        super().__init__(f"{reason}: more than {limit_bytes} bytes")
        self.reason = reason


class InvalidResponseError(aiohttp.ClientPayloadError):
    """A response has a head that breaks the protocol."""


class BoundedResponseHandler(ResponseHandler):
    """Ends a connection whose response is invalid, too large, or followed by further bytes.

    Whatever reads a response over this handler gets none with an invalid head.

    The parser of aiohttp limits single header lines, but neither the number of interim heads nor
    chunk extensions.
    """

    def __init__(self, loop):
        """Creates the handler of one connection."""
        super().__init__(loop)
        self._received_bytes = 0
        self._head_checker = HeadChecker()
        self._response_body: aiohttp.StreamReader | None = None

    def set_response_params(self, **params) -> None:
        """Prepares for the response to the next request."""
        self._received_bytes = 0
        self._head_checker = HeadChecker()
        self._response_body = None
        super().set_response_params(**params)

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Fails what reads the response; its body too, which the parser may have let go of."""
        super().set_exception(exc, *cause)
        body = self._response_body
        if body is not None and not body.is_eof() and body.exception() is None:
            is_known = isinstance(exc, aiohttp.ClientError)
            body.set_exception(exc if is_known else aiohttp.ClientPayloadError(repr(exc)))

    def feed_data(self, data, size: int = 0) -> None:
        """Queues a response head; whatever follows the first final one belongs to no request."""
        message, body = data
        if self._exception is not None:
            return
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
            # The parser does not tell all of a head: it joins lines, and leaves some out.
            try:
                self._head_checker.feed(piece)
            except InvalidHeadError as error:
                self._reject_head(error)
                return
            except TooManyHeadsError:
                self._fail(ResponseLimitError("head_too_large", MAX_HEAD_BYTES))
                return
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

    def _reject_head(self, problem: InvalidHeadError) -> None:
        server = self.transport and self.transport.get_extra_info("peername")
        _log.warning("invalid response head", fields={"server": server, "problem": problem})
        self._fail(InvalidResponseError(str(problem)))

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
    response: aiohttp.ClientResponse,
    max_bytes: int,
    reserve: Callable[[int], None] | None = None,
    wait_for_turn: Callable[[], Awaitable[None]] | None = None,
) -> bytes:
    """Returns the complete body of a response.

    Args:
        response: The response.
        max_bytes: Size limit of the body.
        reserve: Called with the size of the body before it grows, in bytes; raises
            `ResponseLimitError` if there is no memory for it. None if the limit is small.
        wait_for_turn: Awaited before more is read; None to read at once.

    Raises:
        ResponseLimitError: If it is larger than a limit; its connection is closed.
        aiohttp.ClientError: If it ends early.
    """
    blocks: list[bytes] = []
    try:
        await _read_blocks(response, max_bytes, reserve, wait_for_turn, blocks)
        return b"".join(blocks)
    except ResponseLimitError:
        response.close()
        raise
    finally:
        # The error of a response refers to this frame, and the response to its error.
        blocks.clear()


async def _read_blocks(
    response: aiohttp.ClientResponse,
    max_bytes: int,
    reserve: Callable[[int], None] | None,
    wait_for_turn: Callable[[], Awaitable[None]] | None,
    blocks: list[bytes],
) -> None:
    """Appends the body of a response to a list; see `read_body`.

    One buffer that grows would be moved by the allocator again and again.
    """
    size_bytes = 0
    _check_body_size(response.content_length or 0, max_bytes)
    while block := await response.content.readany():
        size_bytes += len(block)
        _check_body_size(size_bytes, max_bytes)
        if reserve is not None:
            reserve(size_bytes)
        blocks.append(block)
        if wait_for_turn is not None:
            await wait_for_turn()


def _check_body_size(size_bytes: int, max_bytes: int) -> None:
    if size_bytes > max_bytes:
        raise ResponseLimitError("body_too_large", max_bytes)
