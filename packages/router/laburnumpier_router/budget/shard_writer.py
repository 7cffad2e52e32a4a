"""Writes changes to one account shard, many changes in each compare-and-swap.

At most one write of a shard is in flight in a process. Changes that arrive meanwhile wait and ride
together in the next one. A conflict or a lost answer is settled by reading the records back and
applying the same changes to them; every change is idempotent, so nothing is counted twice.
"""

import asyncio
import collections
import contextlib
import dataclasses
import random

import msgspec
from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import StoreError, WriteOutcomeUnknownError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..ports.key_value_service import KeyValueService, Write
from .account import (
    Change,
    ChangeFailed,
    ChangeResult,
    OpenGrant,
    ReportSpending,
    ReturnTokens,
    Shard,
)
from .slot import Slot
from .store_reachability import StoreReachability
from .transaction import apply_batch, find_slot_key
from .write_pacer import WritePacer

MAX_BATCH_CHANGES = 60
MAX_WAITING_CHANGES = 5000
MAX_ATTEMPTS = 12
MAX_CACHED_SLOTS = 2000
FAILURE_PAUSE_SECONDS = 0.5
CONFLICT_PAUSE_SECONDS = 0.004

_log = get_part_logger("budget")


def name_shard_key(shard: int) -> str:
    """Returns the store key of an account shard."""
    return f"accounts/{shard}"


def is_urgent(change: Change) -> bool:
    """Returns whether a request waits for a change."""
    match change:
        case OpenGrant(needed=needed):
            return needed > 0
        case ReturnTokens() | ReportSpending():
            return False
        case _:
            return True


@dataclasses.dataclass(slots=True, kw_only=True)
class _WaitingChange:
    change: Change
    result: asyncio.Future[ChangeResult]


class ShardWriter:
    """The only writer of one shard in this process."""

    __slots__ = (
        "_clock",
        "_gather_seconds",
        "_key",
        "_metrics",
        "_pacer",
        "_paused_until_seconds",
        "_random",
        "_reach",
        "_revision",
        "_shard",
        "_slots",
        "_store",
        "_task",
        "_urgent",
        "_waiting",
    )

    def __init__(
        self,
        *,
        shard: int,
        store: KeyValueService,
        reach: StoreReachability,
        pacer: WritePacer,
        clock: Clock,
        metrics: Metrics,
        random_source: random.Random,
        gather_seconds: float = 0.0,
    ):
        """Creates the writer; it reads the shard when the first change arrives.

        Args:
            shard: Number of the shard.
            store: The platform's key-value service.
            reach: Told how calls end.
            pacer: Keeps the process within its share of the write rate.
            clock: Source of time.
            metrics: Counters.
            random_source: Jitter.
            gather_seconds: How long changes that nobody waits for may gather before a write.
        """
        self._gather_seconds = gather_seconds
        self._urgent = asyncio.Event()
        self._key = name_shard_key(shard)
        self._store = store
        self._reach = reach
        self._pacer = pacer
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._waiting: collections.deque[_WaitingChange] = collections.deque()
        self._task: asyncio.Task[None] | None = None
        self._shard: Shard | None = None
        self._revision = 0
        self._slots: collections.OrderedDict[str, tuple[Slot, int]] = collections.OrderedDict()
        self._paused_until_seconds = 0.0

    async def submit(self, changes: list[Change]) -> list[ChangeResult]:
        """Applies changes in the next write.

        Args:
            changes: Changes to accounts and slots of this shard.

        Returns:
            A result for each change, in order; `ChangeFailed` where the store took no decision. A
            cancelled caller withdraws those of its changes that are not in flight yet.
        """
        if self._clock.monotonic_seconds() < self._paused_until_seconds:
            return [ChangeFailed(reason="the store failed a moment ago") for _ in changes]
        if len(self._waiting) + len(changes) > MAX_WAITING_CHANGES:
            self._metrics.count("budget.writer.queue_full")
            return [ChangeFailed(reason="too many changes are waiting") for _ in changes]
        loop = asyncio.get_running_loop()
        entries = [
            _WaitingChange(change=change, result=loop.create_future()) for change in changes
        ]
        self._waiting.extend(entries)
        if any(map(is_urgent, changes)):
            self._urgent.set()
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._write_until_idle())
        return list(await asyncio.gather(*(entry.result for entry in entries)))

    async def read(self) -> Shard:
        """Reads the shard afresh from the store.

        Raises:
            StoreError: If the store does not answer.
        """
        await self._refresh([])
        assert self._shard is not None
        self._reach.record_success()
        return self._shard

    async def close(self) -> None:
        """Stops writing; waiting changes fail."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._fail_waiting("the writer is closed")

    async def _write_until_idle(self) -> None:
        while self._waiting:
            await self._gather_changes()
            await self._pacer.wait_for_turn()
            batch = self._take_batch()
            if not batch:
                continue
            try:
                results = await self._commit([entry.change for entry in batch])
            except StoreError as error:
                self._note_failure(error, batch)
                continue
            except asyncio.CancelledError:
                self._waiting.extendleft(batch)
                raise
            self._reach.record_success()
            for entry, result in zip(batch, results, strict=True):
                if not entry.result.done():
                    entry.result.set_result(result)

    async def _gather_changes(self) -> None:
        """Lets changes gather, until one comes that a request waits for."""
        if self._gather_seconds:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._gather_seconds):
                    await self._urgent.wait()
        self._urgent.clear()

    def _take_batch(self) -> list[_WaitingChange]:
        batch: list[_WaitingChange] = []
        while self._waiting and len(batch) < MAX_BATCH_CHANGES:
            entry = self._waiting.popleft()
            if not entry.result.done():
                batch.append(entry)
        return batch

    def _note_failure(self, error: StoreError, batch: list[_WaitingChange]) -> None:
        """Fails the batch and all that waits, and leaves the store alone for a moment."""
        self._reach.record_failure()
        pause = FAILURE_PAUSE_SECONDS * self._random.uniform(0.5, 1.5)
        self._paused_until_seconds = self._clock.monotonic_seconds() + pause
        self._shard = None
        self._metrics.count("budget.writer.store_failures")
        _log.warning("store call failed; changes wait", fields={"key": self._key, "error": error})
        for entry in batch:
            if not entry.result.done():
                entry.result.set_result(ChangeFailed(reason=str(error)))
        self._fail_waiting(str(error))

    def _fail_waiting(self, reason: str) -> None:
        while self._waiting:
            entry = self._waiting.popleft()
            if not entry.result.done():
                entry.result.set_result(ChangeFailed(reason=reason))

    async def _commit(self, changes: list[Change]) -> list[ChangeResult]:
        """Commits one batch, reading the records back after a conflict or a lost answer."""
        slot_keys = [key for key in map(find_slot_key, changes) if key is not None]
        fresh = False
        for attempt in range(MAX_ATTEMPTS):
            if self._shard is None:
                await self._refresh(slot_keys)
                fresh = True
            slots = {key: self._slots[key][0] for key in slot_keys if key in self._slots}
            outcome = apply_batch(self._shard, slots, changes)

            # Without anything to write the answer rests on reading alone, so it must be fresh.
            if outcome.shard == self._shard and not outcome.slots:
                if fresh:
                    return outcome.results
                self._shard = None
                continue

            kinds = collections.Counter(type(change).__name__ for change in changes)
            if await self._write(outcome.shard, outcome.slots, slot_keys, kinds):
                return outcome.results
            fresh = self._shard is not None
            self._metrics.count("budget.writer.conflicts")
            fields = {"key": self._key, "attempt": attempt, "changes": len(changes)}
            _log.info("another process wrote first", fields=fields)
            await asyncio.sleep(CONFLICT_PAUSE_SECONDS * self._random.random() * attempt)
        raise StoreError("too many conflicting writes")

    async def _write(
        self,
        shard: Shard,
        changed: dict[str, Slot],
        slot_keys: list[str],
        kinds: dict[str, int],
    ) -> bool:
        """Tries one conditional write; afterwards the cache holds what is known to be stored."""
        expected = {self._key: self._revision}
        for key in slot_keys:
            expected[key] = self._slots[key][1] if key in self._slots else 0
        writes = [Write(key=self._key, value=msgspec.msgpack.encode(shard))]
        for key, slot in changed.items():
            writes.append(Write(key=key, value=msgspec.msgpack.encode(slot)))
        try:
            outcome = await self._store.commit(expected, writes)
        except WriteOutcomeUnknownError:
            # Reading back tells whether it took effect; the changes are then applied to what
            # is found.
            self._metrics.count("budget.writer.answers_lost")
            self._shard = None
            return False
        if outcome.committed:
            _log.info("account shard written", fields={"key": self._key, **kinds})
            self._shard = shard
            self._revision = outcome.revision
            for key, slot in changed.items():
                self._remember_slot(key, slot, outcome.revision)
            return True
        self._load(outcome.found, slot_keys)
        return False

    async def _refresh(self, slot_keys: list[str]) -> None:
        self._load(await self._store.read([self._key, *slot_keys]), slot_keys)

    def _load(self, found: dict, slot_keys: list[str]) -> None:
        stored = found.get(self._key)
        if stored is None:
            self._shard, self._revision = Shard(), 0
        else:
            self._shard = msgspec.msgpack.decode(stored.value, type=Shard)
            self._revision = stored.revision
        for key in slot_keys:
            stored_slot = found.get(key)
            if stored_slot is None:
                self._slots.pop(key, None)
            else:
                slot = msgspec.msgpack.decode(stored_slot.value, type=Slot)
                self._remember_slot(key, slot, stored_slot.revision)

    def _remember_slot(self, key: str, slot: Slot, revision: int) -> None:
        self._slots[key] = (slot, revision)
        self._slots.move_to_end(key)
        if len(self._slots) > MAX_CACHED_SLOTS + MAX_BATCH_CHANGES:
            self._slots.popitem(last=False)
