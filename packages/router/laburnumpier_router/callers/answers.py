"""Builds the HTTP answers that callers get."""

import math
from typing import Any

import msgspec
from aiohttp import web
from laburnumpier_core.errors import RequestError
from laburnumpier_core.result_codes import RESULT_CODE_TABLE

from ..request.messages import AnswerEvent

REQUEST_ID_HEADER = "X-Request-Id"
KEY_HEADER = "Idempotency-Key"
RESULT_CODE_HEADER = "X-Result-Code"


def make_error_body(error: RequestError, request_id: str) -> dict[str, Any]:
    """Returns the JSON object of a refusal.

    The `error` member has the shape that common chat clients read; result code, whether the
    request ran and the request id stand beside it.
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
    """Returns the HTTP answer of a refusal."""
    headers = {RESULT_CODE_HEADER: str(int(error.code)), REQUEST_ID_HEADER: request_id}
    if error.retry_after_seconds is not None:
        headers["Retry-After"] = str(max(1, math.ceil(error.retry_after_seconds)))
    status = RESULT_CODE_TABLE[error.code].http_status
    return web.json_response(make_error_body(error, request_id), status=status, headers=headers)


def is_usage_only(chunk: dict[str, Any]) -> bool:
    """Whether a chunk carries nothing but the usage."""
    return not chunk.get("choices") and chunk.get("usage") is not None


def format_event(event: AnswerEvent, *, with_usage: bool) -> bytes:
    """Returns an event as it goes to a streaming caller.

    Args:
        event: The event.
        with_usage: Whether the caller asked for a usage event.

    Returns:
        The bytes of the event; empty for a usage event that was not asked for. The event keeps
        its id either way, so that ids stay those of the engine.
    """
    chunk = msgspec.json.decode(event.data)
    if is_usage_only(chunk):
        if not with_usage:
            return b""
        return b"id: %d\ndata: %b\n\n" % (event.event_id, event.data)
    if "usage" in chunk:
        del chunk["usage"]
    data = msgspec.json.encode(chunk)
    return b"id: %d\ndata: %b\n\n" % (event.event_id, data)


def join_chunks(events: list[AnswerEvent]) -> dict[str, Any]:
    """Joins the chunks of an answer into one chat completion object.

    Args:
        events: All events of the answer, at least one.

    Returns:
        The object that a caller gets who did not ask for a stream.
    """
    content: list[str] = []
    message: dict[str, Any] = {"role": "assistant", "content": None}
    tool_calls: dict[int, dict[str, Any]] = {}
    finish_reason = None
    usage = None
    first: dict[str, Any] = {}
    for event in events:
        chunk = msgspec.json.decode(event.data)
        first = first or chunk
        usage = chunk.get("usage") or usage
        for choice in chunk.get("choices") or []:
            delta = choice.get("delta") or {}
            if delta.get("content"):
                content.append(delta["content"])
            for call in delta.get("tool_calls") or []:
                _join_tool_call(tool_calls, call)
            finish_reason = choice.get("finish_reason") or finish_reason
    message["content"] = "".join(content) if content or not tool_calls else None
    if tool_calls:
        message["tool_calls"] = [tool_calls[index] for index in sorted(tool_calls)]
    return {
        "id": first.get("id", ""),
        "object": "chat.completion",
        "created": first.get("created", 0),
        "model": first.get("model", ""),
        "choices": [{"index": 0, "message": message, "finish_reason": finish_reason}],
        "usage": usage,
    }


def _join_tool_call(joined: dict[int, dict[str, Any]], part: dict[str, Any]) -> None:
    """Adds one streamed part of a tool call to what came before."""
    index = part.get("index", 0)
    call = joined.setdefault(
        index, {"id": "", "type": "function", "function": {"name": "", "arguments": ""}}
    )
    call["id"] = part.get("id") or call["id"]
    function = part.get("function") or {}
    call["function"]["name"] += function.get("name") or ""
    call["function"]["arguments"] += function.get("arguments") or ""
