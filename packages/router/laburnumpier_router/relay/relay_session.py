"""The asking router's side of one relayed exchange: its messages, repeated while they get lost."""

import asyncio

from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import PeerError, ServerConnectionLostError

from ..fleet.service import FleetService
from .messages import (
    CancelExchange,
    ExchangeReply,
    ExchangeState,
    ReadExchange,
    StartExchange,
)

WAIT_MS = 500
"""Time for which the relaying router waits for something to report. It must hear of this router
several times within the silence after which it ends an exchange."""
REPLY_MARGIN_SECONDS = 0.5
"""Time for the way of a message and its reply, beyond the wait."""
RETRY_SECONDS = 0.05
"""Pause before a message is sent again that failed, or was answered without a wait."""
PEER_SILENCE_SECONDS = 2.0
"""Time without a reply after which the relaying router counts as lost. The outcome is unknown."""
CANCEL_TIMEOUT_SECONDS = 0.5


class RelayLostError(ServerConnectionLostError):
    """The relaying router does not reply, or does not know the exchange any more."""

    reason = "relay_lost"


class RelaySession:
    """Messages of one exchange to the relaying router."""

    __slots__ = ("_clock", "_fleet", "_number", "_peer")

    def __init__(self, *, fleet: FleetService, clock: Clock, peer: str, number: int):
        """Creates a session for a request that a router keeps.

        Args:
            fleet: Calls to the other routers.
            clock: Source of time.
            peer: The relaying router.
            number: Number of the exchange.
        """
        self._fleet = fleet
        self._clock = clock
        self._peer = peer
        self._number = number

    @property
    def peer(self) -> str:
        """The relaying router."""
        return self._peer

    @property
    def number(self) -> int:
        """Number of the exchange."""
        return self._number

    async def start(self) -> ExchangeReply:
        """Starts the request, and returns the first reply after it.

        Raises:
            RelayLostError: If there is no reply. The request may have run.
        """
        return await self._send(StartExchange(number=self._number, wait_ms=WAIT_MS))

    async def read(self, *, position: int, has_head: bool, max_bytes: int) -> ExchangeReply:
        """Returns what follows of the response; an empty reply if there is nothing yet.

        Raises:
            RelayLostError: If there is no reply.
        """
        message = ReadExchange(
            number=self._number,
            position=position,
            has_head=has_head,
            max_bytes=max_bytes,
            wait_ms=WAIT_MS if max_bytes else 0,
        )
        return await self._send(message)

    async def cancel(self) -> None:
        """Tells the relaying router to end the exchange; it ends it by itself if that is lost."""
        try:
            message = CancelExchange(number=self._number)
            await self._fleet.call(self._peer, message, CANCEL_TIMEOUT_SECONDS)
        except PeerError:
            return

    async def _send(self, message: StartExchange | ReadExchange) -> ExchangeReply:
        heard_seconds = self._clock.monotonic_seconds()
        timeout_seconds = message.wait_ms / 1000 + REPLY_MARGIN_SECONDS
        while True:
            try:
                reply = await self._fleet.call(self._peer, message, timeout_seconds)
            except PeerError as error:
                if self._clock.monotonic_seconds() - heard_seconds >= PEER_SILENCE_SECONDS:
                    raise RelayLostError(f"no reply of {self._peer}") from error
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if not isinstance(reply, ExchangeReply) or reply.state is ExchangeState.UNKNOWN:
                raise RelayLostError(f"{self._peer} does not know the exchange")
            if reply.is_busy and reply.head is None and not reply.data:
                await asyncio.sleep(RETRY_SECONDS)
            return reply
