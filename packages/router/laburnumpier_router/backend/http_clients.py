"""HTTP clients of model engines and plain services."""

from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp
import msgspec
from laburnumpier_core.bounded_http import read_body
from laburnumpier_core.decoding import decode_json
from laburnumpier_core.errors import (
    ServerConnectionLostError,
    ServerRefusedError,
    ServerResponseLimitError,
    ServerUnreachableError,
    UnreadableDataError,
)

from ..intake.memory import CallerMemory
from ..ports.response_memory import (
    MAX_CONTROL_BODY_BYTES,
    BodyMemory,
    BodyReservation,
    make_lost_error,
)
from ..ports.server_memory import ServerMemory, make_server_memory
from ..response_end import get_end_marker
from ..server_connection import make_server_session
from .engine_port import (
    EngineCall,
    EngineEvent,
    EngineOrder,
    LoadReport,
    ServiceCall,
    ServiceResponse,
)

CONNECT_TIMEOUT_SECONDS = 1.0
CONTROL_TIMEOUT_SECONDS = 1.0
MAX_LINE_BYTES = 1024 * 1024
MAX_STREAM_BYTES = 4 * 1024 * 1024
"""Size of a stream of events, beside `MAX_BYTES_PER_EVENT` for each that it may have."""
MAX_BYTES_PER_EVENT = 4096
MAX_SERVICE_BODY_BYTES = 4 * 1024 * 1024
"""Size of the response of a plain service."""
END_OF_STREAM_DATA = b"[DONE]"


class HttpEngineClient:
    """Client of the chat completions API with server-sent events.

    Each call has a connection of its own. Answers do not name their request, so a late second copy
    of one would be taken for the answer to the next call on its connection.
    """

    __slots__ = ("_server_memory", "_session", "_stall_seconds")

    def __init__(self, *, stall_seconds: float, server_memory: ServerMemory | None = None):
        """Creates a client that connects on first use.

        Args:
            stall_seconds: Maximum time between reads before a stream counts as failed.
            server_memory: Account of what servers' answers hold; by default one of its own.
        """
        self._server_memory = server_memory or make_server_memory(0)
        self._stall_seconds = stall_seconds
        self._session: aiohttp.ClientSession | None = None

    async def stream(
        self, url: str, call: EngineCall, last_event_id: int
    ) -> AsyncIterator[EngineEvent]:
        """Starts a run, or resumes it after the last event received.

        Raises:
            ServerUnreachableError: If nothing was sent.
            ServerRefusedError: If the engine rejected the run.
            ServerConnectionLostError: If the stream failed or stalled.
        """
        headers = {"X-Request-Id": call.run_id, "X-Priority": str(call.priority)}
        if last_event_id:
            headers["Last-Event-ID"] = str(last_event_id)
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_SECONDS, sock_read=self._stall_seconds
        )
        try:
            async with self._get_session().post(
                url + "/v1/chat/completions", json=call.body, headers=headers, timeout=timeout
            ) as response:
                if response.status != 200:
                    raise ServerRefusedError(response.status, await _read_error_text(response))
                keep = response.connection.protocol.keep if response.connection else None
                async for event in _read_events(response.content, call.max_events, keep):
                    yield event
        except aiohttp.ClientConnectorError as error:
            raise ServerUnreachableError(str(error)) from error
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            ValueError,
            UnreadableDataError,
        ) as error:
            raise make_lost_error(error) from error

    async def cancel(self, url: str, run_id: str) -> None:
        """Requests cancellation of a run; failures are ignored."""
        try:
            await self._post(url + "/cancel", {"request_id": run_id})
        except (aiohttp.ClientError, TimeoutError, OSError, UnreadableDataError):
            return

    async def count_tokens(self, url: str, body: dict[str, Any]) -> int | None:
        """Returns the exact number of prompt tokens of a chat request, or None if unknown."""
        request = {"model": body.get("model"), "messages": body.get("messages")}
        try:
            response = await self._post(url + "/tokenize", request)
            return int(response["count"])
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            ValueError,
            KeyError,
            TypeError,
            UnreadableDataError,
        ):
            return None

    async def probe(self, url: str) -> LoadReport | None:
        """Returns the load report of a server, or None if it gives no valid response."""
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_SECONDS)
        try:
            async with self._get_session().get(url + "/load", timeout=timeout) as response:
                if response.status != 200:
                    return None
                body = await read_body(response, MAX_CONTROL_BODY_BYTES)
                return decode_json(body, LoadReport)
        except (aiohttp.ClientError, TimeoutError, OSError, UnreadableDataError):
            return None

    async def order(self, url: str, order: EngineOrder, timeout_seconds: float) -> None:
        """Sends an order to an engine.

        Raises:
            ServerUnreachableError: If nothing was sent.
            ServerRefusedError: If the engine rejected it.
            ServerConnectionLostError: If the outcome is unknown.
        """
        timeout = aiohttp.ClientTimeout(
            total=timeout_seconds, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        try:
            async with self._get_session().post(
                url + "/orders", data=msgspec.json.encode(order), timeout=timeout
            ) as response:
                if response.status >= 400:
                    raise ServerRefusedError(response.status, await _read_error_text(response))
        except aiohttp.ClientConnectorError as error:
            raise ServerUnreachableError(str(error)) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise make_lost_error(error) from error

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = make_server_session(self._server_memory)
        return self._session

    async def _post(self, url: str, body: dict[str, Any]) -> dict[str, Any]:
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_SECONDS)
        async with self._get_session().post(url, json=body, timeout=timeout) as response:
            response.raise_for_status()
            return decode_json(await read_body(response, MAX_CONTROL_BODY_BYTES))


async def _read_error_text(response: aiohttp.ClientResponse) -> str:
    """Returns the start of an error message.

    Raises:
        ResponseLimitError: If the message is too large; its status is not relied on then.
    """
    body = await read_body(response, MAX_CONTROL_BODY_BYTES)
    return body.decode(errors="replace")[:200]


async def _read_events(
    content: aiohttp.StreamReader, max_events: int, keep: Callable[[int], None] | None
) -> AsyncIterator[EngineEvent]:
    """Parses server-sent events; fields other than `id` and `data` are ignored.

    Args:
        content: The body of the response.
        max_events: Most events that the stream may have.
        keep: Called with the size of the line that is not whole, in bytes; None if nothing
            follows any more.

    Raises:
        ServerConnectionLostError: If the stream ends without an end event.
        ServerResponseLimitError: If the stream, its number of events or a line is too large.
    """
    event_id, event_count, received_bytes = 0, 0, 0
    max_bytes = MAX_STREAM_BYTES + max_events * MAX_BYTES_PER_EVENT
    incomplete_line = b""
    async for chunk in content.iter_any():
        received_bytes += len(chunk)
        if received_bytes > max_bytes:
            raise ServerResponseLimitError("stream_too_large", f"more than {max_bytes} bytes")
        *lines, incomplete_line = (incomplete_line + chunk).split(b"\n")
        if len(incomplete_line) > MAX_LINE_BYTES:
            raise ServerResponseLimitError("event_too_large", "event line exceeds the size limit")
        if keep is not None:
            keep(len(incomplete_line))
        for line in lines:
            if line.startswith(b"id:"):
                event_id = int(line[3:])
            elif line.startswith(b"data:"):
                data = line[5:].strip()
                if data == END_OF_STREAM_DATA:
                    yield EngineEvent(event_id=event_id, data=None)
                    return
                event_count += 1
                if event_count > max_events:
                    raise ServerResponseLimitError("too_many_events", f"more than {max_events}")
                yield EngineEvent(event_id=event_id, data=decode_json(data), raw=data)
    raise ServerConnectionLostError("stream ended without an end event")


class HttpServiceClient:
    """Client of plain services that opens a new connection for each request.

    A pooled connection can be dead without either end noticing. A request that must not run twice
    is therefore sent only on a connection that was just accepted.
    """

    __slots__ = ("_body_memory", "_server_memory", "_session")

    def __init__(
        self, *, memory: CallerMemory | None = None, server_memory: ServerMemory | None = None
    ):
        """Creates a client without connections.

        Args:
            memory: Account of what callers make the process hold; by default one of its own.
            server_memory: The same of servers' answers.
        """
        self._server_memory = server_memory or make_server_memory(0)
        self._body_memory = BodyMemory(callers=memory)
        self._session: aiohttp.ClientSession | None = None

    async def call(self, url: str, call: ServiceCall, timeout_seconds: float) -> ServiceResponse:
        """Sends a request on a new connection.

        Raises:
            ServerUnreachableError: If nothing was sent.
            ServerConnectionLostError: If the outcome is unknown.
        """
        if self._session is None:
            self._session = make_server_session(self._server_memory)
        target = f"{url}/{call.path}" + (f"?{call.query}" if call.query else "")
        timeout = aiohttp.ClientTimeout(
            total=timeout_seconds, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        reservation = BodyReservation(memory=self._body_memory)
        try:
            async with self._session.request(
                call.method,
                target,
                headers=call.headers,
                data=call.body or None,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                has_explicit_end = get_end_marker(response).is_explicit
                handler = response.connection.protocol if response.connection else None

                def reserve(size_bytes: int) -> None:
                    reservation.grow(size_bytes)
                    if handler is not None:
                        handler.keep(size_bytes)

                wait_for_turn = handler.wait_for_turn if handler is not None else None
                body = await read_body(response, MAX_SERVICE_BODY_BYTES, reserve, wait_for_turn)
                if not has_explicit_end and getattr(handler, "was_reset", False):
                    raise ServerConnectionLostError(
                        "the connection was reset during a response without a length"
                    )
                content_type = response.headers.get("Content-Type", "application/octet-stream")
                return ServiceResponse(
                    status=response.status,
                    content_type=content_type,
                    body=body,
                    has_explicit_end=has_explicit_end,
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise ServerUnreachableError(str(error)) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise make_lost_error(error) from error
        finally:
            reservation.release()

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()
