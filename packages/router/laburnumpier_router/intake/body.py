"""Reads request bodies within the limits of their connection and of the process."""

from aiohttp import web
from laburnumpier_core.errors import RequestError
from laburnumpier_core.result_codes import ResultCode

from .connection import BoundedConnection
from .refusals import MEMORY_RETRY_SECONDS

DECODED_NODE_BYTES = 80
"""Memory of an object of a decoded JSON text, with its place in its container."""
DECODED_COPIES = 2
"""Copies of the text beside the objects: in the request to the server and in its hash."""


async def read_body(request: web.BaseRequest, max_bytes: int | None = None) -> bytes:
    """Returns the whole body of a request.

    Args:
        request: The request.
        max_bytes: Size limit of the body; by default that of callers.

    Raises:
        RequestError: If it is larger than the limit, or if its connection gave way. The rest of
            the body is dropped then, and the connection ends behind the response.
    """
    connection = request.protocol
    if not isinstance(connection, BoundedConnection):
        return await _read_unaccounted(request)
    try:
        async with connection.watch_body():
            body = await _read_accounted(request, connection, max_bytes)
    except TimeoutError as error:
        if not connection.gave_way:
            raise
        raise make_memory_error(connection) from error
    # The whole body may have come in the same turn in which the connection gave way.
    if connection.gave_way:
        raise make_memory_error(connection)
    return body


def reserve_decoded(request: web.BaseRequest, text: bytes) -> None:
    """Accounts for the decoded form of a JSON text before it is decoded.

    Raises:
        RequestError: If there is no room for it, now or ever.
    """
    connection = request.protocol
    if not isinstance(connection, BoundedConnection):
        return
    nodes = text.count(b",") + text.count(b"[") + text.count(b"{") + text.count(b":")
    size_bytes = DECODED_NODE_BYTES * nodes + DECODED_COPIES * len(text)
    if size_bytes > connection.intake.memory.large_limit_bytes:
        connection.intake.note_refusal(ResultCode.BODY_TOO_LARGE)
        raise RequestError(ResultCode.BODY_TOO_LARGE, detail="the decoded body is too large")
    if not connection.reserve(size_bytes):
        raise make_memory_error(connection)


def refuse_rest(request: web.BaseRequest) -> None:
    """Drops the rest of a request; its connection ends behind the response."""
    if isinstance(request.protocol, BoundedConnection):
        request.protocol.refuse_rest()


def make_memory_error(connection: BoundedConnection) -> RequestError:
    """Returns the error of a request that found no room in the account, and counts it."""
    connection.intake.note_refusal(ResultCode.MEMORY_EXHAUSTED)
    return RequestError(ResultCode.MEMORY_EXHAUSTED, retry_after_seconds=MEMORY_RETRY_SECONDS)


async def _read_accounted(
    request: web.BaseRequest, connection: BoundedConnection, max_bytes: int | None
) -> bytes:
    limit_bytes = connection.max_body_bytes if max_bytes is None else max_bytes
    _check_size(connection, request.content_length or 0, limit_bytes)
    # The connection has the pieces, so that it can drop them in the moment in which it gives way.
    pieces = connection.begin_body()
    while await _read_piece(request, connection, pieces, limit_bytes):
        pass
    whole = bytes(pieces)
    pieces.clear()
    connection.record_body(len(whole), is_whole=True)
    return whole


async def _read_piece(
    request: web.BaseRequest, connection: BoundedConnection, pieces: bytearray, limit_bytes: int
) -> bool:
    """Adds the next piece of a body; returns whether there was one.

    A variable of a loop would keep the last piece while the next one is waited for.
    """
    block = await request.content.readany()
    _check_size(connection, len(pieces) + len(block), limit_bytes)
    pieces += block
    connection.record_body(len(pieces))
    return bool(block)


def _check_size(connection: BoundedConnection, size_bytes: int, limit_bytes: int) -> None:
    if size_bytes > limit_bytes:
        connection.intake.note_refusal(ResultCode.BODY_TOO_LARGE)
        connection.refuse_rest()
        raise RequestError(ResultCode.BODY_TOO_LARGE)


async def _read_unaccounted(request: web.BaseRequest) -> bytes:
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise RequestError(ResultCode.BODY_TOO_LARGE) from error
