"""Outbox that records every bill in the store exactly once.

A bill is submitted as soon as its request ends. While the store accepts no writes, the bill stays
in the outbox and a copy is sent to another router, chosen by rendezvous hashing of the request, so
that the loss of either process loses no bill. Both routers retry it; the request's slot in the
store makes the second submission a no-op.
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

FLUSH_INTERVAL_SECONDS = 1.0
COPY_SUBMIT_DELAY_SECONDS = 30.0
"""Age from which a copy is submitted although its owner is alive."""
COPY_TIMEOUT_SECONDS = 1.0
MAX_BILLS_PER_SUBMISSION = 50

_log = get_part_logger("bill")


@dataclasses.dataclass(slots=True, kw_only=True)
class PendingBill:
    """A bill that is not known to be durable.

    Attributes:
        bill: The bill.
        owned: Whether this process served the request; False for a copy of another router's bill.
        owner: Incarnation of the process that served the request.
        added_seconds: Monotonic time at which the bill was added to the outbox.
        recorded: Resolved with the bill recorded in the store for the request.
        submitting: Whether a submission of the bill is in flight.
    """

    bill: Bill
    owned: bool
    owner: str
    added_seconds: float
    recorded: asyncio.Future[Bill]
    submitting: bool = False


class BillOutbox:
    """Holds bills until the store has recorded them."""

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
        """Creates an empty outbox.

        Args:
            submitter: Submits changes to the store.
            fleet: Other routers, which keep copies.
            clock: Source of time.
            metrics: Counters.
            random_source: Jitter of the flush interval.
            on_recorded: Called once for each owned bill, with the bill and the recorded one.
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

    def list_copies_for(self, owner: str) -> list[Bill]:
        """Returns the copies of bills owned by another process."""
        return [entry.bill for entry in self._pending.values() if entry.owner == owner]

    async def record(self, bill: Bill, wait_seconds: float) -> Bill | None:
        """Submits the bill of a request that has ended.

        Args:
            bill: The bill.
            wait_seconds: Maximum time that the end of the response is delayed.

        Returns:
            The bill recorded in the store, or None when the store did not answer in time. In that
            case copies have been sent to another router and the bill is retried later.
        """
        entry = self._add(bill, owned=True, owner=self._fleet.self_name)
        task = asyncio.create_task(self._submit([entry]))
        done, _ = await asyncio.wait([task], timeout=wait_seconds)
        if done and entry.recorded.done():
            return entry.recorded.result()
        await self._send_copies([bill])
        return entry.recorded.result() if entry.recorded.done() else None

    def keep_copies(self, owner: str, bills: list[Bill]) -> None:
        """Adds copies of another router's bills."""
        for bill in bills:
            self._add(bill, owned=False, owner=owner)

    async def flush_periodically(self) -> None:
        """Submits pending bills at a jittered interval; runs until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_SECONDS * self._random.uniform(0.8, 1.2))
            await self.flush()

    async def flush(self) -> None:
        """Submits every bill that is due, once.

        Owned bills are always due. A copy is due when its owner is no longer live or the copy is
        old.
        """
        now = self._clock.monotonic_seconds()
        live = {self._fleet.self_name, *self._fleet.list_peers()}
        due: dict[int, list[PendingBill]] = {}
        for entry in self._pending.values():
            is_old = now - entry.added_seconds > COPY_SUBMIT_DELAY_SECONDS
            if not entry.submitting and (entry.owned or is_old or entry.owner not in live):
                shard = choose_shard(entry.bill.workspace, self._submitter.shard_count)
                due.setdefault(shard, []).append(entry)
        for shard, entries in due.items():
            await self._flush_shard(shard, entries)

    async def _flush_shard(self, shard: int, entries: list[PendingBill]) -> None:
        """Submits bills in batches; after a failure, probes the shard with a single bill first."""
        if shard in self._failing_shards:
            probe, entries = entries[:1], entries[1:]
            if not await self._submit(probe):
                return
        for start in range(0, len(entries), MAX_BILLS_PER_SUBMISSION):
            if not await self._submit(entries[start : start + MAX_BILLS_PER_SUBMISSION]):
                self._failing_shards.add(shard)
                return
        self._failing_shards.discard(shard)

    async def send_copies_of_owned_bills(self) -> None:
        """Sends copies of all owned bills to peers; called before this process stops."""
        await self._send_copies(self.owned_bills)

    def _add(self, bill: Bill, *, owned: bool, owner: str) -> PendingBill:
        key = (bill.workspace, bill.request_id, bill.router)
        if key not in self._pending:
            self._pending[key] = PendingBill(
                bill=bill,
                owned=owned,
                owner=owner,
                added_seconds=self._clock.monotonic_seconds(),
                recorded=asyncio.get_running_loop().create_future(),
            )
        return self._pending[key]

    async def _submit(self, entries: list[PendingBill]) -> bool:
        """Submits bills of one shard; returns whether all are recorded, now or earlier."""
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
                self._mark_recorded(entry, result.bill)
        return all(isinstance(result, BillRecorded) for result in results)

    def _mark_recorded(self, entry: PendingBill, recorded_bill: Bill) -> None:
        bill = entry.bill
        self._pending.pop((bill.workspace, bill.request_id, bill.router), None)
        if entry.recorded.done():
            return
        entry.recorded.set_result(recorded_bill)
        if not entry.owned:
            return
        if recorded_bill != bill:
            self._metrics.count("bill.second_dropped")
            _log.info(
                "bill dropped; the request was already billed",
                fields={"request": bill.request_id},
            )
        self._on_recorded(bill, recorded_bill)

    async def _send_copies(self, bills: list[Bill]) -> None:
        """Sends each bill to the first of its three highest-ranked peers that answers."""
        peers = self._fleet.list_peers()
        by_candidates: dict[tuple[str, ...], list[Bill]] = {}
        for bill in bills:
            ranked = rank_by_rendezvous(f"{bill.workspace}/{bill.request_id}", peers)
            by_candidates.setdefault(tuple(ranked[:3]), []).append(bill)
        for candidates, group in by_candidates.items():
            await self._send_copies_to_first_reachable(list(candidates), group)

    async def _send_copies_to_first_reachable(
        self, candidates: list[str], bills: list[Bill]
    ) -> None:
        message = KeepBills(owner=self._fleet.self_name, bills=bills)
        for peer in candidates:
            try:
                await self._fleet.call(peer, message, COPY_TIMEOUT_SECONDS)
            except PeerError:
                continue
            self._metrics.count("bill.copies_sent", len(bills))
            return
        self._metrics.count("bill.copies_failed", len(bills))
