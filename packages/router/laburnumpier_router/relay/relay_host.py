"""Carries out requests for other routers that do not reach the servers themselves.

Nothing is passed on further: the requests go to servers of this router's own table only.
"""

import asyncio
import collections

from laburnumpier_core.clock import Clock
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..forward.exchange import ServerCall, ServerClient
from ..forward.servers import ServerTable
from ..intake.memory import CallerMemory, MemoryShare
from .contact import Contact
from .contact_monitor import ContactMonitor
from .held_exchange import BUFFER_BYTES, READ_BYTES, HeldExchange
from .messages import (
    CancelExchange,
    ExchangeCancelled,
    ExchangeReply,
    ExchangeState,
    KeepRequest,
    ReadExchange,
    Refusal,
    RequestKept,
    StartExchange,
    decode_headers,
    decode_text,
)

MAX_HELD_BYTES = 32 * 1024 * 1024
"""Memory for all exchanges, each counted with its request and full buffers. The smallest VMs have
150 MB."""
EXCHANGE_BYTES = BUFFER_BYTES + READ_BYTES
"""Memory of one exchange beside its request body."""
MAX_WAITING_REPLIES = 32
"""Replies that may wait at the same time. The transport handles 64 messages at once, and
heartbeats need some of these."""
SILENCE_SECONDS = 2.0
"""Time without a message of the asking router after which an exchange is ended. A router that is
there sends several in this time."""
IDLE_POLL_SECONDS = 0.05
"""Interval at which a stopping router looks whether exchanges are in progress."""
MIN_WATCH_SECONDS = 0.05
"""Least time until an exchange is looked at again; rounding may leave a wait of almost nothing."""
MAX_ENDED_EXCHANGES = 4096
"""Ended exchanges that are remembered, so that a message that arrives late starts nothing."""

_log = get_part_logger("relay")

ExchangeKey = tuple[str, int]


class RelayHost:
    """The exchanges that this router carries out for others, by sender and number."""

    __slots__ = (
        "_client",
        "_clock",
        "_ended",
        "_exchanges",
        "_memory",
        "_metrics",
        "_monitor",
        "_shares",
        "_stop_seconds",
        "_table",
    )

    def __init__(
        self,
        *,
        client: ServerClient,
        table: ServerTable,
        monitor: ContactMonitor,
        clock: Clock,
        metrics: Metrics,
        memory: CallerMemory,
    ):
        """Creates a host without exchanges.

        Args:
            client: Sends requests to servers directly.
            table: Registered servers.
            monitor: Knows whether this router reaches servers.
            clock: Source of time.
            metrics: Counters and the gauge of open exchanges.
            memory: Account of what callers make the process hold.
        """
        self._memory = memory
        self._client = client
        self._table = table
        self._monitor = monitor
        self._clock = clock
        self._metrics = metrics
        self._stop_seconds: float | None = None
        self._exchanges: dict[ExchangeKey, HeldExchange] = {}
        self._shares: dict[ExchangeKey, MemoryShare] = {}
        self._ended: collections.OrderedDict[ExchangeKey, None] = collections.OrderedDict()

    @property
    def exchange_count(self) -> int:
        """Number of exchanges that are kept or in progress."""
        return len(self._exchanges)

    @property
    def held_bytes(self) -> int:
        """Memory that is set aside for exchanges."""
        return sum(share.held_bytes for share in self._shares.values())

    async def handle_keep(self, sender: str, message: KeepRequest) -> RequestKept:
        """Keeps a request without starting it, or says why not."""
        key = (sender, message.number)
        if key in self._exchanges:
            return RequestKept()
        share = MemoryShare(memory=self._memory)
        refusal = Refusal.ENDED if key in self._ended else self._find_refusal(message)
        if refusal is None and not share.set_bytes(len(message.body) + EXCHANGE_BYTES):
            refusal = Refusal.BUSY
        if refusal is not None:
            self._metrics.count(f"relay.refused_{refusal.value}")
            if refusal is Refusal.INVALID:
                _log.warning("invalid request to relay", fields={"router": sender})
            return RequestKept(refusal=refusal)
        self._exchanges[key] = HeldExchange(
            call=_make_call(message), client=self._client, now_seconds=self._now()
        )
        self._shares[key] = share
        self._metrics.count("relay.kept")
        self._metrics.set_gauge("relay.held_exchanges", len(self._exchanges))
        self._watch(key, SILENCE_SECONDS)
        return RequestKept()

    async def handle_start(self, sender: str, message: StartExchange) -> ExchangeReply:
        """Starts a kept request unless it was started, and waits for its response head."""
        key = (sender, message.number)
        exchange = self._exchanges.get(key)
        if exchange is None:
            return ExchangeReply(state=ExchangeState.UNKNOWN)
        if not exchange.is_started:
            self._metrics.count("relay.started")
            exchange.start()
        return await self._reply(key, exchange, False, READ_BYTES, message.wait_ms)

    async def handle_read(self, sender: str, message: ReadExchange) -> ExchangeReply:
        """Returns what follows of a response, and waits for it if there is nothing yet."""
        key = (sender, message.number)
        exchange = self._exchanges.get(key)
        if exchange is None or not exchange.is_started:
            return ExchangeReply(state=ExchangeState.UNKNOWN)
        if not exchange.acknowledge(message.position):
            self._metrics.count("relay.invalid_messages")
            _log.warning("impossible position in a relayed body", fields={"router": sender})
            return ExchangeReply(state=ExchangeState.UNKNOWN)
        max_bytes = min(message.max_bytes, READ_BYTES)
        return await self._reply(key, exchange, message.has_head, max_bytes, message.wait_ms)

    async def handle_cancel(self, sender: str, message: CancelExchange) -> ExchangeCancelled:
        """Ends an exchange."""
        self._drop((sender, message.number))
        return ExchangeCancelled()

    def begin_stop(self, end_seconds: float) -> None:
        """Keeps no new requests from now on.

        Args:
            end_seconds: Monotonic time up to which exchanges in progress are served.
        """
        self._stop_seconds = end_seconds

    async def wait_until_idle(self) -> None:
        """Waits until no exchange is in progress, or a stop ends them."""
        while self._exchanges and (self._stop_seconds is None or self._now() < self._stop_seconds):
            await asyncio.sleep(IDLE_POLL_SECONDS)

    def close(self) -> None:
        """Ends all exchanges."""
        for key in list(self._exchanges):
            self._drop(key)

    def _find_refusal(self, message: KeepRequest) -> Refusal | None:
        if not message.target.startswith(b"/") or not message.method.isalpha():
            return Refusal.INVALID
        if self._stop_seconds is not None:
            return Refusal.STOPPING
        if self._monitor.contact is not Contact.REACHED:
            return Refusal.UNREACHED
        server = self._table.servers.get(message.server_id)
        if server is None or server.entry.address != message.address:
            return Refusal.SERVER_UNKNOWN
        if not self._table.is_usable(server.entry):
            return Refusal.SERVER_EXCLUDED
        needed_bytes = len(message.body) + EXCHANGE_BYTES
        if self.held_bytes + needed_bytes > MAX_HELD_BYTES:
            return Refusal.BUSY
        return None

    async def _reply(
        self,
        key: ExchangeKey,
        exchange: HeldExchange,
        has_head: bool,
        max_bytes: int,
        wait_ms: int,
    ) -> ExchangeReply:
        exchange.heard_seconds = self._now()
        waiting_count = sum(held.waiting_count for held in self._exchanges.values())
        is_busy = waiting_count >= MAX_WAITING_REPLIES
        if not is_busy:
            await exchange.wait_for_news(
                has_head=has_head, wants_data=max_bytes > 0, seconds=wait_ms / 1000
            )
        exchange.heard_seconds = self._now()
        if key in self._shares:
            self._shares[key].set_bytes(exchange.body_bytes + EXCHANGE_BYTES)
        return exchange.make_reply(has_head=has_head, max_bytes=max_bytes, is_busy=is_busy)

    def _watch(self, key: ExchangeKey, delay_seconds: float) -> None:
        asyncio.get_running_loop().call_later(delay_seconds, self._end_if_silent, key)

    def _end_if_silent(self, key: ExchangeKey) -> None:
        """Ends an exchange whose asking router has gone, or asked for nothing more."""
        exchange = self._exchanges.get(key)
        if exchange is None:
            return
        silent_seconds = self._now() - exchange.heard_seconds
        if exchange.waiting_count:
            self._watch(key, SILENCE_SECONDS)
        elif silent_seconds >= SILENCE_SECONDS:
            self._metrics.count("relay.ended_silent")
            self._drop(key)
        else:
            self._watch(key, max(MIN_WATCH_SECONDS, SILENCE_SECONDS - silent_seconds))

    def _drop(self, key: ExchangeKey) -> None:
        self._ended[key] = None
        while len(self._ended) > MAX_ENDED_EXCHANGES:
            self._ended.popitem(last=False)
        exchange = self._exchanges.pop(key, None)
        share = self._shares.pop(key, None)
        if share is not None:
            share.release()
        if exchange is not None:
            exchange.stop()
            self._metrics.set_gauge("relay.held_exchanges", len(self._exchanges))

    def _now(self) -> float:
        return self._clock.monotonic_seconds()


def _make_call(message: KeepRequest) -> ServerCall:
    return ServerCall(
        method=decode_text(message.method),
        address=message.address,
        target=decode_text(message.target),
        headers=decode_headers(message.headers),
        body=message.body,
        server_id=message.server_id,
        remaining_seconds=message.remaining_ms / 1000,
    )
