"""A server's response that is received through another router."""

import asyncio
import collections
import contextlib
from collections.abc import AsyncIterator, Callable

import aiohttp
from laburnumpier_core.bounded_http import ResponseLimitError
from laburnumpier_core.errors import (
    InvalidHeadError,
    ServerConnectionLostError,
    ServerResponseInvalidError,
    ServerResponseLimitError,
)
from laburnumpier_core.response_head import check_fields, check_status
from multidict import CIMultiDictProxy

from ..forward.response_limits import MAX_BODY_BYTES
from ..ports.response_memory import BodyMemory, BodyReservation, make_lost_error
from ..ports.server_memory import AnswerShare, ServerMemory
from ..response_end import EndMarker, get_stated_length
from .messages import ExchangeHead, ExchangeReply, ExchangeState, decode_headers
from .relay_session import RelayLostError, RelaySession

BUFFER_BYTES = 128 * 1024
"""Bytes that wait for the caller, above which no more is asked for."""
KEEP_OPEN_SECONDS = 0.5
"""Interval of messages that only keep the exchange open, while the caller takes no bytes."""
READ_BYTES = 128 * 1024
"""Most bytes in one reply."""


class RelayedExchange:
    """A response whose head was received; a task receives the body until the context is left.

    The task also keeps the exchange open while the caller is slow.
    """

    __slots__ = (
        "_buffer",
        "_buffered_bytes",
        "_changed",
        "_count_kept",
        "_end_marker",
        "_error",
        "_has_room",
        "_headers",
        "_is_ended",
        "_kept_bytes",
        "_position",
        "_reservation",
        "_server_memory",
        "_session",
        "_share",
        "_status",
        "_task",
    )

    def __init__(
        self,
        *,
        session: RelaySession,
        head: ExchangeHead,
        reply: ExchangeReply,
        memory: BodyMemory,
        server_memory: ServerMemory,
        count_kept: Callable[[], int] | None,
    ):
        """Begins to receive the body.

        Args:
            session: Messages to the relaying router.
            head: The response head.
            reply: The reply that brought the head, perhaps with the first bytes.
            memory: Memory that bodies share which are read as a whole.
            server_memory: Account of what servers' answers hold.
            count_kept: See `ServerCall`.

        Raises:
            ServerConnectionLostError: If the head is not valid.
        """
        self._session = session
        self._status = head.status
        self._headers = CIMultiDictProxy(decode_headers(head.headers))
        try:
            # A router of an earlier release passes on what its servers send.
            check_status(head.status)
            check_fields(head.headers)
        except InvalidHeadError as error:
            raise ServerResponseInvalidError(str(error)) from error
        try:
            self._end_marker = EndMarker(head.end_marker)
        except ValueError as error:
            raise ServerConnectionLostError("unknown end marker of a relayed response") from error
        self._reservation = BodyReservation(memory=memory)
        self._server_memory = server_memory
        self._count_kept = count_kept
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._position = 0
        self._kept_bytes = 0
        self._is_ended = False
        self._error: ServerConnectionLostError | None = None
        self._changed = asyncio.Event()
        self._has_room = asyncio.Event()
        self._share = AnswerShare(
            memory=server_memory,
            count_held=self._count_held_bytes,
            count_passed=self._count_passed_bytes,
            give_way=self._give_way,
        )
        self._share.state_length(get_stated_length(self._headers))
        self._take(reply)
        self._task = asyncio.create_task(self._receive())

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._status

    @property
    def headers(self) -> CIMultiDictProxy[str]:
        """Response headers."""
        return self._headers

    @property
    def end_marker(self) -> EndMarker:
        """How the response says where its body ends."""
        return self._end_marker

    async def iterate_chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            ServerConnectionLostError: If it ends early.
        """
        while True:
            while self._buffer:
                chunk = self._buffer.popleft()
                self._buffered_bytes -= len(chunk)
                self._has_room.set()
                yield chunk
            if self._error is not None:
                raise self._error
            if self._is_ended:
                return
            self._changed.clear()
            await self._changed.wait()

    async def read(self) -> bytes:
        """Returns the complete body.

        Raises:
            ServerConnectionLostError: If it ends early or is too large.
        """
        body = bytearray()
        async for chunk in self.iterate_chunks():
            try:
                self._reservation.grow(len(body) + len(chunk))
                self._kept_bytes = len(body) + len(chunk)
                if len(body) + len(chunk) > MAX_BODY_BYTES:
                    raise ResponseLimitError("body_too_large", MAX_BODY_BYTES)
            except aiohttp.ClientError as error:
                raise make_lost_error(error) from error
            body += chunk
            if not self._is_ended:
                await self._share.wait_for_turn()
        # Whoever gets the body accounts for it.
        self._share.release()
        return bytes(body)

    async def close(self) -> None:
        """Stops receiving."""
        self._share.release()
        self._reservation.release()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _receive(self) -> None:
        try:
            while not self._is_ended and self._error is None:
                has_room = await self._wait_for_room()
                reply = await self._session.read(
                    position=self._position,
                    has_head=True,
                    max_bytes=READ_BYTES if has_room else 0,
                )
                self._take(reply)
        except ServerConnectionLostError as error:
            self._error = error
            self._changed.set()

    async def _wait_for_room(self) -> bool:
        """Waits until the buffer has room; returns whether it has any."""
        if self._buffered_bytes < BUFFER_BYTES:
            return True
        self._has_room.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(KEEP_OPEN_SECONDS):
                await self._has_room.wait()
        return self._buffered_bytes < BUFFER_BYTES

    def _take(self, reply: ExchangeReply) -> None:
        """Keeps what a reply brings; the answer may give way to others because of it."""
        if self._error is not None:
            return
        if reply.data:
            self._buffer.append(reply.data)
            self._buffered_bytes += len(reply.data)
            self._position += len(reply.data)
        if reply.state is ExchangeState.ENDED:
            self._is_ended = True
        elif reply.state is not ExchangeState.OPEN:
            self._error = make_relayed_error(reply)
        self._changed.set()
        self._share.update()

    def _count_held_bytes(self) -> int:
        """Returns how much of the body waits for its reader or is kept by it."""
        kept_bytes = self._kept_bytes + (self._count_kept() if self._count_kept else 0)
        return self._buffered_bytes + kept_bytes

    def _count_passed_bytes(self) -> int:
        """Returns how much of the body its reader has passed on or dropped."""
        return self._position - self._count_held_bytes()

    def _give_way(self) -> None:
        limit_bytes = self._server_memory.limit_bytes
        self._error = make_lost_error(ResponseLimitError("answers_too_large", limit_bytes))
        self._buffer.clear()
        self._buffered_bytes = 0
        self._changed.set()


def make_relayed_error(reply: ExchangeReply) -> ServerConnectionLostError:
    """Returns the error of a response that was lost between the server and the relaying router."""
    text = "the relaying router lost the response"
    if reply.reason in ("", ServerConnectionLostError.reason):
        return ServerConnectionLostError(text)
    if reply.reason == ServerResponseInvalidError.reason:
        return ServerResponseInvalidError(text)
    if reply.reason.startswith("relay_"):
        return RelayLostError(text)
    return ServerResponseLimitError(reply.reason, text)
