"""Responses that are written to a connection before the HTTP library has a request."""

import msgspec
from aiohttp import web
from laburnumpier_core.errors import RequestError
from laburnumpier_core.result_codes import RESULT_CODE_TABLE

from ..callers.responses import RESULT_CODE_HEADER, make_error_body

MEMORY_RETRY_SECONDS = 1.0
"""Retry-After of requests that gave way; stalled callers have mostly lost their memory by then."""


def format_refusal(error: RequestError) -> bytes:
    """Returns a whole response that reports an error and ends its connection, as bytes."""
    response = make_refusal(error)
    lines = [
        f"HTTP/1.1 {response.status} {response.reason}",
        *(f"{name}: {value}" for name, value in response.headers.items()),
        f"Content-Length: {len(response.body)}",
        "Connection: close",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + response.body


def make_refusal(error: RequestError) -> web.Response:
    """Returns the response for an error of a request that has no id yet."""
    headers = {RESULT_CODE_HEADER: str(int(error.code))}
    if error.retry_after_seconds is not None:
        headers["Retry-After"] = f"{error.retry_after_seconds:.3f}"
    return web.Response(
        status=RESULT_CODE_TABLE[error.code].http_status,
        headers=headers,
        content_type="application/json",
        body=msgspec.json.encode(make_error_body(error, "")),
    )
