"""HTTP clients of model engines and plain services."""

from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import msgspec
from laburnumpier_core.errors import (
    ServerConnectionLostError,
    ServerRefusedError,
    ServerUnreachableError,
)

from .engine_port import (
    EngineCall,
    EngineEvent,
    EngineOrder,
    LoadReport,
    ServiceCall,
    ServiceResponse,
)

CONNECT_SECONDS = 1.0
CONTROL_SECONDS = 1.0
MAX_LINE_BYTES = 1024 * 1024
END_OF_STREAM = b"[DONE]"


class HttpEngineClient:
    """Speaks the chat completions form with server-sent events."""

    __slots__ = ("_session", "_stall_seconds")

    def __init__(self, *, stall_seconds: float):
        """Creates the client.

        Args:
            stall_seconds: A stream that is silent for longer has broken off.
        """
        self._stall_seconds = stall_seconds
        self._session: aiohttp.ClientSession | None = None

    async def stream(
        self, url: str, call: EngineCall, last_event_id: int
    ) -> AsyncIterator[EngineEvent]:
        """Starts a run, or resumes it behind an event that was received before.

        Raises:
            ServerNotReachedError: If nothing was sent.
            ServerRefusedError: If the engine did not take the run.
            ServerBrokeOffError: If the stream failed or went silent.
        """
        headers = {"X-Request-Id": call.run_id, "X-Priority": str(call.priority)}
        if last_event_id:
            headers["Last-Event-ID"] = str(last_event_id)
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_SECONDS, sock_read=self._stall_seconds
        )
        try:
            async with self._open_session().post(
                url + "/v1/chat/completions", json=call.body, headers=headers, timeout=timeout
            ) as answer:
                if answer.status != 200:
                    raise ServerRefusedError(answer.status, (await answer.text())[:200])
                async for event in _read_events(answer.content):
                    yield event
        except aiohttp.ClientConnectorError as error:
            raise ServerUnreachableError(str(error)) from error
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise ServerConnectionLostError(repr(error)) from error

    async def cancel(self, url: str, run_id: str) -> None:
        """Asks the engine to stop a run; failures are ignored."""
        try:
            await self._post(url + "/cancel", {"request_id": run_id})
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return

    async def count_tokens(self, url: str, body: dict[str, Any]) -> int | None:
        """Returns the exact prompt tokens of a chat body, or None when unknown."""
        question = {"model": body.get("model"), "messages": body.get("messages")}
        try:
            answer = await self._post(url + "/tokenize", question)
            return int(answer["count"])
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError, TypeError):
            return None

    async def probe(self, url: str) -> LoadReport | None:
        """Returns the server's load report, or None when it does not answer."""
        timeout = aiohttp.ClientTimeout(total=CONTROL_SECONDS)
        try:
            async with self._open_session().get(url + "/load", timeout=timeout) as answer:
                if answer.status != 200:
                    return None
                return msgspec.json.decode(await answer.read(), type=LoadReport)
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError):
            return None

    async def order(self, url: str, order: EngineOrder, timeout_seconds: float) -> None:
        """Sends an order.

        Raises:
            ServerNotReachedError: If nothing was sent.
            ServerRefusedError: If the engine refused it.
            ServerBrokeOffError: If the outcome is unknown.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_seconds, sock_connect=CONNECT_SECONDS)
        try:
            async with self._open_session().post(
                url + "/orders", data=msgspec.json.encode(order), timeout=timeout
            ) as answer:
                if answer.status >= 400:
                    raise ServerRefusedError(answer.status, (await answer.text())[:200])
        except aiohttp.ClientConnectorError as error:
            raise ServerUnreachableError(str(error)) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise ServerConnectionLostError(repr(error)) from error

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(connector=connector, auto_decompress=False)
        return self._session

    async def _post(self, url: str, body: dict[str, Any]) -> dict[str, Any]:
        timeout = aiohttp.ClientTimeout(total=CONTROL_SECONDS)
        async with self._open_session().post(url, json=body, timeout=timeout) as answer:
            answer.raise_for_status()
            return await answer.json(content_type=None)


async def _read_events(content: aiohttp.StreamReader) -> AsyncIterator[EngineEvent]:
    """Reads server-sent events; only the `id` and `data` fields matter here.

    Raises:
        ServerBrokeOffError: If the stream ends without its end event.
    """
    event_id = 0
    rest = b""
    async for part in content.iter_any():
        *lines, rest = (rest + part).split(b"\n")
        if len(rest) > MAX_LINE_BYTES:
            raise ServerConnectionLostError("an event is larger than the limit")
        for line in lines:
            if line.startswith(b"id:"):
                event_id = int(line[3:])
            elif line.startswith(b"data:"):
                data = line[5:].strip()
                if data == END_OF_STREAM:
                    yield EngineEvent(event_id=event_id, data=None)
                    return
                yield EngineEvent(event_id=event_id, data=msgspec.json.decode(data), raw=data)
    raise ServerConnectionLostError("the stream ended without its end event")


class HttpServiceClient:
    """Calls plain services, each call on a connection of its own.

    A pooled connection may have gone silent without either end knowing; a call that must not run
    twice is therefore sent only on a connection that was accepted a moment ago.
    """

    __slots__ = ("_session",)

    def __init__(self):
        """Creates the client; it connects at each call."""
        self._session: aiohttp.ClientSession | None = None

    async def call(self, url: str, call: ServiceCall, timeout_seconds: float) -> ServiceResponse:
        """Makes one call on a connection opened just for it.

        Raises:
            ServerNotReachedError: If nothing was sent.
            ServerBrokeOffError: If the outcome is unknown.
        """
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0, force_close=True)
            self._session = aiohttp.ClientSession(connector=connector, auto_decompress=False)
        target = f"{url}/{call.path}" + (f"?{call.query}" if call.query else "")
        timeout = aiohttp.ClientTimeout(total=timeout_seconds, sock_connect=CONNECT_SECONDS)
        try:
            async with self._session.request(
                call.method,
                target,
                headers=call.headers,
                data=call.body or None,
                timeout=timeout,
                allow_redirects=False,
            ) as answer:
                body = await answer.read()
                content_type = answer.headers.get("Content-Type", "application/octet-stream")
                return ServiceResponse(status=answer.status, content_type=content_type, body=body)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise ServerUnreachableError(str(error)) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise ServerConnectionLostError(repr(error)) from error

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()
