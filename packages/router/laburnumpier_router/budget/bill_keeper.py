"""Sees that every bill reaches the store once.

A bill is submitted as soon as its request ends. While the store takes no writes, the bill
stays here, and a copy goes to the home of the request on another router, so that the death of
either process loses nothing. Both keep submitting it; the slot in the store makes the second
one change nothing.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import PeerError
from laburnumpier_core.hashing import choose_shard, rank_by_rendezvous
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from .account import BillRecorded, RecordBill
from .peers import BudgetFleet, KeepBills
from .slot import Bill
from .submitter import ChangeSubmitter

FLUSH_SECONDS = 1.0
COPY_FLUSH_AFTER_SECONDS = 30.0
PEER_TIMEOUT_SECONDS = 1.0
MAX_BILLS_A_FLUSH = 50

_log = get_part_logger("bill")


@dataclasses.dataclass(slots=True, kw_only=True)
class PendingBill:
    """A bill that is not known to be durable.

    Attributes:
        bill: The bill.
        owned: Whether this process served the request; otherwise it keeps a copy.
        owner: Incarnation of the process that served the request.
        since_seconds: Monotonic time at which the bill arrived here.
        recorded: Resolved with the bill that stands in the store.
        submitting: Whether a submission of it is in flight.
    """

    bill: Bill
    owned: bool
    owner: str
    since_seconds: float
    recorded: asyncio.Future[Bill]
    submitting: bool = False


class BillKeeper:
    """Holds bills until the store has taken them."""

    __slots__ = (
        "_clock",
        "_failing_shards",
        "_fleet",
        "_metrics",
        "_on_recorded",
        "_pending",
        "_random",
        "_submitter",
    )

    def __init__(
        self,
        *,
        submitter: ChangeSubmitter,
        fleet: BudgetFleet,
        clock: Clock,
        metrics: Metrics,
        random_source: random.Random,
        on_recorded: Callable[[Bill, Bill], None],
    ):
        """Creates an empty keeper.

        Args:
            submitter: Brings changes to the store.
            fleet: Other routers, which keep copies.
            clock: Source of time.
            metrics: Counters.
            random_source: Jitter of the flushes.
            on_recorded: Called once for each owned bill with the bill and the one that stands.
        """
        self._submitter = submitter
        self._fleet = fleet
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._on_recorded = on_recorded
        self._pending: dict[tuple[str, str, str], PendingBill] = {}
        self._failing_shards: set[int] = set()

    @property
    def pending_count(self) -> int:
        """Number of bills and copies that are not known to be durable."""
        return len(self._pending)

    @property
    def owned_bills(self) -> list[Bill]:
        """Bills of requests served here that are not known to be durable."""
        return [entry.bill for entry in self._pending.values() if entry.owned]

    def list_bills_of(self, owner: str) -> list[Bill]:
        """Returns the copies kept for another process."""
        return [entry.bill for entry in self._pending.values() if entry.owner == owner]

    async def record(self, bill: Bill, wait_seconds: float) -> Bill | None:
        """Submits the bill of a request that has ended.

        Args:
            bill: The bill.
            wait_seconds: How long the end of the answer may be held up.

        Returns:
            The bill that stands in the store, or None when the store did not answer in time.
            In that case a copy has been sent to another router and the bill is submitted again
            later.
        """
        entry = self._add(bill, owned=True, owner=self._fleet.self_name)
        task = asyncio.create_task(self._submit([entry]))
        done, _ = await asyncio.wait([task], timeout=wait_seconds)
        if done and entry.recorded.done():
            return entry.recorded.result()
        await self._send_copies([bill])
        return entry.recorded.result() if entry.recorded.done() else None

    def keep_copies(self, owner: str, bills: list[Bill]) -> None:
        """Keeps copies of another router's bills."""
        for bill in bills:
            self._add(bill, owned=False, owner=owner)

    async def flush_periodically(self) -> None:
        """Submits pending bills again and again; runs until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_SECONDS * self._random.uniform(0.8, 1.2))
            await self.flush()

    async def flush(self) -> None:
        """Submits once all bills that are due."""
        now = self._clock.monotonic_seconds()
        live = {self._fleet.self_name, *self._fleet.list_peers()}
        due: dict[int, list[PendingBill]] = {}
        for entry in self._pending.values():
            old = now - entry.since_seconds > COPY_FLUSH_AFTER_SECONDS
            if not entry.submitting and (entry.owned or old or entry.owner not in live):
                shard = choose_shard(entry.bill.workspace, self._submitter.shard_count)
                due.setdefault(shard, []).append(entry)
        for shard, entries in due.items():
            await self._flush_shard(shard, entries)

    async def _flush_shard(self, shard: int, entries: list[PendingBill]) -> None:
        """Submits bills in batches; after a failure a single bill tries the store first."""
        if shard in self._failing_shards:
            probe, entries = entries[:1], entries[1:]
            if not await self._submit(probe):
                return
        for start in range(0, len(entries), MAX_BILLS_A_FLUSH):
            if not await self._submit(entries[start : start + MAX_BILLS_A_FLUSH]):
                self._failing_shards.add(shard)
                return
        self._failing_shards.discard(shard)

    async def hand_over(self) -> None:
        """Sends copies of all owned bills to peers, before this process stops."""
        await self._send_copies(self.owned_bills)

    def _add(self, bill: Bill, *, owned: bool, owner: str) -> PendingBill:
        key = (bill.workspace, bill.request_id, bill.router)
        if key not in self._pending:
            self._pending[key] = PendingBill(
                bill=bill,
                owned=owned,
                owner=owner,
                since_seconds=self._clock.monotonic_seconds(),
                recorded=asyncio.get_running_loop().create_future(),
            )
        return self._pending[key]

    async def _submit(self, entries: list[PendingBill]) -> bool:
        """Submits bills of one shard; returns whether each is recorded, here or earlier."""
        for entry in entries:
            entry.submitting = True
        changes = [RecordBill(bill=entry.bill) for entry in entries]
        try:
            results = await self._submitter.submit(entries[0].bill.workspace, changes)
        finally:
            for entry in entries:
                entry.submitting = False
        for entry, result in zip(entries, results, strict=True):
            if isinstance(result, BillRecorded):
                self._finish(entry, result.bill)
        return all(isinstance(result, BillRecorded) for result in results)

    def _finish(self, entry: PendingBill, standing: Bill) -> None:
        bill = entry.bill
        self._pending.pop((bill.workspace, bill.request_id, bill.router), None)
        if entry.recorded.done():
            return
        entry.recorded.set_result(standing)
        if not entry.owned:
            return
        if standing != bill:
            self._metrics.count("bill.second_dropped")
            _log.info("bill dropped; an earlier one stands", fields={"request": bill.request_id})
        self._on_recorded(bill, standing)

    async def _send_copies(self, bills: list[Bill]) -> None:
        """Sends each bill to the best-ranked peer that answers."""
        peers = self._fleet.list_peers()
        by_peer: dict[tuple[str, ...], list[Bill]] = {}
        for bill in bills:
            ranked = rank_by_rendezvous(f"{bill.workspace}/{bill.request_id}", peers)
            by_peer.setdefault(tuple(ranked[:3]), []).append(bill)
        for ranked, group in by_peer.items():
            await self._send_group(list(ranked), group)

    async def _send_group(self, ranked: list[str], bills: list[Bill]) -> None:
        message = KeepBills(owner=self._fleet.self_name, bills=bills)
        for peer in ranked:
            try:
                await self._fleet.call(peer, message, PEER_TIMEOUT_SECONDS)
            except PeerError:
                continue
            self._metrics.count("bill.copies_sent", len(bills))
            return
        self._metrics.count("bill.copies_failed", len(bills))
