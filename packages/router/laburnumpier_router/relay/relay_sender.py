"""Sends requests to servers through other routers, one after the other until one relays."""

import contextlib
import itertools

from laburnumpier_core.background_tasks import BackgroundTasks
from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import PeerError, ServerUnreachableError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..fleet.service import FleetService
from ..forward.exchange import ServerCall
from ..intake.memory import CallerMemory, MemoryShare
from ..ports.response_memory import BodyMemory
from ..ports.server_memory import ServerMemory
from .contact_monitor import ContactMonitor
from .messages import (
    MAX_BODY_BYTES,
    MAX_HEADERS,
    ExchangeReply,
    ExchangeState,
    KeepRequest,
    Refusal,
    RelayReason,
    RequestKept,
    encode_headers,
    encode_text,
)
from .relay_session import RelayLostError, RelaySession
from .relayed_exchange import READ_BYTES, RelayedExchange, make_relayed_error

MAX_ASKED_ROUTERS = 3
"""Routers that one request is handed to at most; each that is silent costs the time below."""
KEEP_TIMEOUT_SECONDS = 0.3
"""Time limit of handing over a small request."""
MESSAGE_COPIES = 2
"""Copies of a body in the message that hands it over: as encoded, and in the transport."""
SLOWEST_BYTES_PER_SECOND = 500_000
"""Speed by which the time limit grows with the body; the slowest links have 5 Mbit/s."""
MAX_REMAINING_SECONDS = 3_600.0
"""Longest deadline that is told to the relaying router."""

_log = get_part_logger("relay")


class RelaySender:
    """Hands requests to other routers and receives their responses."""

    __slots__ = (
        "_body_memory",
        "_clock",
        "_fleet",
        "_memory",
        "_metrics",
        "_monitor",
        "_numbers",
        "_open_count",
        "_server_memory",
        "_tasks",
    )

    def __init__(
        self,
        *,
        fleet: FleetService,
        monitor: ContactMonitor,
        clock: Clock,
        metrics: Metrics,
        memory: CallerMemory,
        server_memory: ServerMemory,
    ):
        """Creates a sender without exchanges.

        Args:
            fleet: Calls to the other routers.
            monitor: Knows which routers reach servers.
            clock: Source of time.
            metrics: Counters.
            memory: Account of what callers make the process hold.
            server_memory: The same of servers' answers.
        """
        self._memory = memory
        self._server_memory = server_memory
        self._fleet = fleet
        self._monitor = monitor
        self._clock = clock
        self._metrics = metrics
        self._body_memory = BodyMemory(callers=memory)
        self._numbers = itertools.count(1)
        self._open_count = 0
        self._tasks = BackgroundTasks(part="relay", metrics=metrics)

    @property
    def open_count(self) -> int:
        """Number of own requests that go through other routers."""
        return self._open_count

    def has_candidate(self) -> bool:
        """Whether a router may be asked to relay now."""
        return bool(self._monitor.list_relaying())

    async def open(
        self, stack: contextlib.AsyncExitStack, call: ServerCall, reason: RelayReason
    ) -> RelayedExchange:
        """Sends a request through another router.

        Args:
            stack: Ends the exchange when it is closed.
            call: The request.
            reason: Why it is not sent directly.

        Raises:
            ServerUnreachableError: If no router has started it.
            ServerConnectionLostError: If the outcome is unknown.
        """
        candidates = self._monitor.list_relaying()
        if len(call.body) > MAX_BODY_BYTES or len(call.headers) > MAX_HEADERS:
            candidates = []
        last_refusal = "no_router"
        for peer in candidates[:MAX_ASKED_ROUTERS]:
            last_refusal = await self._try_peer(stack, call, reason, peer)
            if isinstance(last_refusal, RelayedExchange):
                return last_refusal
            self._metrics.count("relay.not_relayed")
            self._monitor.peers.hold_off(peer, last_refusal, self._now())
        self._metrics.count("relay.unserved")
        raise ServerUnreachableError(f"not relayed: {last_refusal}")

    async def close(self) -> None:
        """Ends all messages in progress."""
        await self._tasks.cancel_all()

    async def _try_peer(
        self, stack: contextlib.AsyncExitStack, call: ServerCall, reason: RelayReason, peer: str
    ) -> RelayedExchange | str:
        """Returns the exchange through one router, or why it did not start the request."""
        session = RelaySession(
            fleet=self._fleet, clock=self._clock, peer=peer, number=next(self._numbers)
        )
        async with contextlib.AsyncExitStack() as own_stack:
            self._open_count += 1
            own_stack.callback(self._end, session)
            refusal = await self._hand_over(session, call, reason)
            if refusal is not None:
                return refusal
            self._metrics.count("relay.sent")
            try:
                reply = await self._wait_for_head(session)
            except RelayLostError:
                self._monitor.peers.hold_off(peer, "silent", self._now())
                raise
            if reply.state is ExchangeState.NOT_RUN:
                # The server is more likely down than the router, so the next try is another one.
                raise ServerUnreachableError(f"not reached by {peer}: {reply.reason}")
            if reply.head is None:
                raise make_relayed_error(reply)
            self._monitor.peers.record_reached(peer, self._now())
            exchange = RelayedExchange(
                session=session,
                head=reply.head,
                reply=reply,
                memory=self._body_memory,
                server_memory=self._server_memory,
                count_kept=call.count_kept,
            )
            own_stack.push_async_callback(exchange.close)
            await stack.enter_async_context(own_stack.pop_all())
            return exchange

    async def _hand_over(
        self, session: RelaySession, call: ServerCall, reason: RelayReason
    ) -> str | None:
        """Lets the router keep the request; returns why it does not, or None if it does."""
        share = MemoryShare(memory=self._memory)
        if not share.set_bytes(MESSAGE_COPIES * len(call.body)):
            return "no_memory"
        try:
            return await self._send_request(session, call, reason)
        finally:
            share.release()

    async def _send_request(
        self, session: RelaySession, call: ServerCall, reason: RelayReason
    ) -> str | None:
        message = KeepRequest(
            number=session.number,
            reason=reason,
            server_id=call.server_id,
            address=call.address,
            method=encode_text(call.method),
            target=encode_text(call.target),
            headers=encode_headers(call.headers),
            body=call.body,
            remaining_ms=round(
                1000 * max(0.0, min(call.remaining_seconds, MAX_REMAINING_SECONDS))
            ),
        )
        timeout_seconds = KEEP_TIMEOUT_SECONDS + len(call.body) / SLOWEST_BYTES_PER_SECOND
        try:
            answer = await self._fleet.call(session.peer, message, timeout_seconds)
        except PeerError as error:
            _log.debug("request not handed over", fields={"router": session.peer, "error": error})
            return "silent"
        if not isinstance(answer, RequestKept):
            return Refusal.INVALID
        return answer.refusal

    async def _wait_for_head(self, session: RelaySession) -> ExchangeReply:
        """Starts the request and returns the reply with the head, or with the end of the exchange.

        Raises:
            RelayLostError: If there is no reply. The request may have run.
        """
        reply = await session.start()
        while reply.state is ExchangeState.WAITING:
            reply = await session.read(position=0, has_head=False, max_bytes=READ_BYTES)
        return reply

    def _end(self, session: RelaySession) -> None:
        self._open_count -= 1
        self._tasks.start(session.cancel())

    def _now(self) -> float:
        return self._clock.monotonic_seconds()
