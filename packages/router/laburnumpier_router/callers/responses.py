"""Builds the HTTP responses to callers."""

import asyncio
import math
import socket
import struct
from collections.abc import Mapping
from typing import Any

import msgspec
from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from laburnumpier_core.decoding import decode_json
from laburnumpier_core.errors import RequestError
from laburnumpier_core.result_codes import RESULT_CODE_TABLE

from ..request.messages import AnswerEvent

REQUEST_ID_HEADER = "X-Request-Id"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
RESULT_CODE_HEADER = "X-Result-Code"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a socket is reset when it is closed."""
CLOSE_IN_ORDER = struct.pack("ii", 0, 0)
"""Value of SO_LINGER with which a socket is closed after its data was sent."""
UNSENT_POLL_SECONDS = 0.01
"""Interval at which a response looks whether the kernel has taken all of it."""


class ResponseUntilClose(web.StreamResponse):
    """A response without a length or chunks, which ends with its connection.

    Until it is finished, every end of the connection is a reset, also when the process is killed
    and the kernel closes its sockets. Only an orderly close makes such a response complete.
    """

    # aiohttp adds chunks to responses of HTTP/1.1 that have no length, unless this is unset.
    _length_check = False

    def __init__(self, *, status: int, headers: Mapping[str, str]):
        """Creates a response after which the connection is closed."""
        super().__init__(status=status, headers=headers)
        self.force_close()

    async def prepare(self, request: web.BaseRequest) -> AbstractStreamWriter | None:
        """Sends the head, unless it was sent before."""
        if not self.prepared:
            _set_linger(request, RESET_ON_CLOSE)
        return await super().prepare(request)

    async def write_eof(self, data: bytes = b"") -> None:
        """Ends the response once the kernel has all of it; its connection is closed in order then.

        A process that exits before drops the rest, and the connection has to be reset.
        """
        request = self._req
        await super().write_eof(data)
        if request is None:
            return
        while _holds_unsent_bytes(request.transport):
            await asyncio.sleep(UNSENT_POLL_SECONDS)
        _set_linger(request, CLOSE_IN_ORDER)


def abort_response(request: web.BaseRequest, response: web.StreamResponse | None) -> None:
    """Closes the connection of a response, so that the caller detects it as incomplete.

    A response that ends with its connection is incomplete only if the connection is reset.

    Args:
        request: Request of the caller.
        response: Its response; None if none has started.
    """
    if request.transport is None:
        return
    if response is not None and not response.chunked:
        _set_linger(request, RESET_ON_CLOSE)
    request.transport.abort()


def _holds_unsent_bytes(transport: asyncio.Transport | None) -> bool:
    is_open = transport is not None and not transport.is_closing()
    return is_open and transport.get_write_buffer_size() > 0


def _set_linger(request: web.BaseRequest, value: bytes) -> None:
    """Sets how the kernel closes the connection of a request, unless it is being closed."""
    if request.transport is not None and not request.transport.is_closing():
        connection = request.transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)


def make_error_body(error: RequestError, request_id: str) -> dict[str, Any]:
    """Returns the JSON body of an error response.

    The `error` member has the format that common chat clients expect. The result code, whether the
    request ran and the request id are members next to it.
    """
    return {
        "error": {
            "message": error.detail,
            "type": error.code.name.lower(),
            "code": str(int(error.code)),
        },
        "result_code": int(error.code),
        "ran": error.ran.value,
        "request_id": request_id,
    }


def make_error_response(error: RequestError, request_id: str) -> web.Response:
    """Returns the HTTP response for an error."""
    headers = {RESULT_CODE_HEADER: str(int(error.code)), REQUEST_ID_HEADER: request_id}
    if error.retry_after_seconds is not None:
        headers["Retry-After"] = str(max(1, math.ceil(error.retry_after_seconds)))
    status = RESULT_CODE_TABLE[error.code].http_status
    return web.json_response(make_error_body(error, request_id), status=status, headers=headers)


def is_usage_only(chunk: dict[str, Any]) -> bool:
    """Whether a chunk has usage but no choices."""
    return not chunk.get("choices") and chunk.get("usage") is not None


def format_event(event: AnswerEvent, *, with_usage: bool) -> bytes:
    """Formats an event for a streaming caller.

    Args:
        event: The event.
        with_usage: Whether the caller requested usage.

    Returns:
        The server-sent event; empty for a usage event that was not requested. An omitted event
        keeps its id, so that all ids stay those of the engine.
    """
    chunk = decode_json(event.data)
    if is_usage_only(chunk):
        if not with_usage:
            return b""
        return b"id: %d\ndata: %b\n\n" % (event.event_id, event.data)
    if "usage" in chunk:
        del chunk["usage"]
    data = msgspec.json.encode(chunk)
    return b"id: %d\ndata: %b\n\n" % (event.event_id, data)


def merge_chunks(events: list[AnswerEvent]) -> dict[str, Any]:
    """Merges the chunks of an answer into one chat completion object.

    Args:
        events: All events of the answer, at least one.

    Returns:
        The response body for a caller that did not request a stream.
    """
    content: list[str] = []
    message: dict[str, Any] = {"role": "assistant", "content": None}
    tool_calls: dict[int, dict[str, Any]] = {}
    finish_reason = None
    usage = None
    first_chunk: dict[str, Any] = {}
    for event in events:
        chunk = decode_json(event.data)
        first_chunk = first_chunk or chunk
        usage = chunk.get("usage") or usage
        for choice in chunk.get("choices") or []:
            delta = choice.get("delta") or {}
            if delta.get("content"):
                content.append(delta["content"])
            for call in delta.get("tool_calls") or []:
                _merge_tool_call(tool_calls, call)
            finish_reason = choice.get("finish_reason") or finish_reason
    message["content"] = "".join(content) if content or not tool_calls else None
    if tool_calls:
        message["tool_calls"] = [tool_calls[index] for index in sorted(tool_calls)]
    return {
        "id": first_chunk.get("id", ""),
        "object": "chat.completion",
        "created": first_chunk.get("created", 0),
        "model": first_chunk.get("model", ""),
        "choices": [{"index": 0, "message": message, "finish_reason": finish_reason}],
        "usage": usage,
    }


def _merge_tool_call(tool_calls: dict[int, dict[str, Any]], delta: dict[str, Any]) -> None:
    """Appends a delta of a tool call to the parts merged so far."""
    index = delta.get("index", 0)
    call = tool_calls.setdefault(
        index, {"id": "", "type": "function", "function": {"name": "", "arguments": ""}}
    )
    call["id"] = delta.get("id") or call["id"]
    function = delta.get("function") or {}
    call["function"]["name"] += function.get("name") or ""
    call["function"]["arguments"] += function.get("arguments") or ""
