"""One request that is carried out for another router, from its hand-over to its end."""

import asyncio

from laburnumpier_core.errors import (
    ServerConnectionLostError,
    ServerResponseLimitError,
    ServerUnreachableError,
)
from laburnumpier_core.log import get_part_logger

from ..forward.exchange import ServerCall, ServerClient, ServerExchange
from .messages import (
    MAX_HEADERS,
    ExchangeHead,
    ExchangeReply,
    ExchangeState,
    Refusal,
    encode_headers,
)

BUFFER_BYTES = 128 * 1024
"""Bytes of a response that wait for the asking router, above which no more is read from the
server."""
READ_BYTES = 128 * 1024
"""Bytes that one read may add to the buffer, twice the HTTP client's buffer size."""
EXTRA_SECONDS = 0.5
"""Time beyond the request's deadline after which an exchange is ended; the asking router ends it
before."""

_log = get_part_logger("relay")


class HeldExchange:
    """A request that is kept, or the response to it as far as the asking router lacks it.

    Attributes:
        heard_seconds: Monotonic time of the latest message about the exchange.
        waiting_count: Replies that wait for something to report.
    """

    __slots__ = (
        "_buffer",
        "_call",
        "_changed",
        "_client",
        "_has_room",
        "_head",
        "_position",
        "_reason",
        "_state",
        "_task",
        "heard_seconds",
        "waiting_count",
    )

    def __init__(self, *, call: ServerCall, client: ServerClient, now_seconds: float):
        """Keeps a request without starting it.

        Args:
            call: The request.
            client: Sends requests to servers directly.
            now_seconds: Monotonic time.
        """
        self._call: ServerCall | None = call
        self._client = client
        self._buffer = bytearray()
        self._position = 0
        self._head: ExchangeHead | None = None
        self._state = ExchangeState.WAITING
        self._reason = ""
        self._task: asyncio.Task[None] | None = None
        self._changed = asyncio.Event()
        self._has_room = asyncio.Event()
        self.heard_seconds = now_seconds
        self.waiting_count = 0

    @property
    def is_started(self) -> bool:
        """Whether the request was started."""
        return self._task is not None

    @property
    def body_bytes(self) -> int:
        """Bytes of the request body that are still held."""
        return len(self._call.body) if self._call is not None else 0

    def start(self) -> None:
        """Sends the request to the server; later calls have no effect."""
        if self._task is None and self._call is not None:
            self._task = asyncio.create_task(self._run(self._call))

    def stop(self) -> None:
        """Ends the exchange; a request that was not started does not run any more."""
        if self._task is not None:
            self._task.cancel()
        self._call = None
        self._buffer.clear()
        if self._state in (ExchangeState.WAITING, ExchangeState.OPEN):
            self._finish(ExchangeState.LOST, "relay_stopped")

    def acknowledge(self, position: int) -> bool:
        """Drops the bytes before a position of the body; returns whether it is a possible one."""
        if not self._position <= position <= self._position + len(self._buffer):
            return False
        del self._buffer[: position - self._position]
        self._position = position
        if len(self._buffer) < BUFFER_BYTES:
            self._has_room.set()
        return True

    async def wait_for_news(self, *, has_head: bool, wants_data: bool, seconds: float) -> None:
        """Waits until there is something to report that the asking router lacks."""
        self.waiting_count += 1
        try:
            async with asyncio.timeout(seconds):
                while not self._has_news(has_head=has_head, wants_data=wants_data):
                    await self._changed.wait()
        except TimeoutError:
            return
        finally:
            self.waiting_count -= 1

    def make_reply(self, *, has_head: bool, max_bytes: int, is_busy: bool) -> ExchangeReply:
        """Returns what there is to report; the end follows only behind the last byte."""
        data = bytes(self._buffer[:max_bytes])
        state = self._state
        if len(data) < len(self._buffer):
            state = ExchangeState.OPEN
        return ExchangeReply(
            state=state,
            reason=self._reason if state is self._state else "",
            head=None if has_head else self._head,
            data=data,
            is_busy=is_busy,
        )

    def _has_news(self, *, has_head: bool, wants_data: bool) -> bool:
        if self._state in (ExchangeState.WAITING, ExchangeState.OPEN):
            is_head_new = self._head is not None and not has_head
            return is_head_new or (wants_data and bool(self._buffer))
        return wants_data or not self._buffer

    async def _run(self, call: ServerCall) -> None:
        try:
            async with asyncio.timeout(call.remaining_seconds + EXTRA_SECONDS):
                async with self._client.open(call) as exchange:
                    self._call = None
                    await self._receive(exchange)
            self._finish(ExchangeState.ENDED, "")
        except ServerUnreachableError:
            self._finish(ExchangeState.NOT_RUN, Refusal.SERVER_UNREACHED)
        except ServerConnectionLostError as error:
            self._finish(ExchangeState.LOST, error.reason)
        except TimeoutError:
            self._finish(ExchangeState.LOST, "relay_time_over")
        except Exception:
            _log.exception("relayed exchange failed", fields={"server": call.server_id})
            self._finish(ExchangeState.LOST, "relay_failed")

    async def _receive(self, exchange: ServerExchange) -> None:
        """Receives the response.

        Raises:
            ServerConnectionLostError: If it ends early or has too many header lines.
        """
        if len(exchange.headers) > MAX_HEADERS:
            raise ServerResponseLimitError("head_too_large", f"more than {MAX_HEADERS} lines")
        self._head = ExchangeHead(
            status=exchange.status,
            headers=encode_headers(exchange.headers),
            end_marker=exchange.end_marker.value,
        )
        self._state = ExchangeState.OPEN
        self._notify()
        async for chunk in exchange.iterate_chunks():
            self._buffer += chunk
            self._notify()
            while len(self._buffer) >= BUFFER_BYTES:
                self._has_room.clear()
                await self._has_room.wait()

    def _finish(self, state: ExchangeState, reason: str) -> None:
        self._state, self._reason = state, reason
        self._call = None
        self._notify()

    def _notify(self) -> None:
        """Wakes all that wait for news."""
        self._changed.set()
        self._changed = asyncio.Event()
