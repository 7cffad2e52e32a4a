"""Group commit of changes to one account shard.

At most one write of a shard is in flight in a process. Changes submitted meanwhile are batched
into the next compare-and-swap. After a conflict or a lost response, the records are read back and
the same changes are applied to them; every change is idempotent, so none is counted twice.

The key of a shard names the era of the store. A write of an earlier era that is executed late
therefore never changes the record of the present one. The record of a new era is rebuilt before
its first use.
"""

import asyncio
import collections
import contextlib
import dataclasses
import random
from collections.abc import Mapping

import msgspec
from laburnumpier_core.background_tasks import BackgroundTasks
from laburnumpier_core.clock import Clock
from laburnumpier_core.decoding import decode_msgpack
from laburnumpier_core.errors import StoreError, WriteOutcomeUnknownError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..ports.key_value_service import (
    FoundValues,
    KeyValueService,
    Write,
    decode_record,
)
from ..ports.store_era import UNKNOWN_ERA, StorePosition
from .account import (
    Change,
    ChangeFailed,
    ChangeResult,
    GrantOpened,
    OpenGrant,
    ReportSpending,
    ReturnTokens,
    Shard,
)
from .restatement import ShardCopy
from .shard_recall import ShardRecall
from .slot import Slot
from .store_reachability import StoreReachability
from .transaction import apply_batch, get_slot_key
from .write_pacer import WritePacer

MAX_BATCH_CHANGES = 60
MAX_PENDING_CHANGES = 5000
MAX_COMMIT_ATTEMPTS = 12
"""Attempts to commit one batch, through conflicts and lost responses, before its changes fail."""
MAX_CACHED_SLOTS = 2000
FAILURE_PAUSE_SECONDS = 0.25
"""Mean time without a write after a failed store call. In an outage the home is the writer that
finds its end: with 0.5 s, as when all routers tried, 9.7 of 100 requests after it were refused
instead of 8.5."""
CONFLICT_PAUSE_SECONDS = 0.004

_log = get_part_logger("budget")


def format_shard_key(shard: int, era: int) -> str:
    """Returns the store key of an account shard in an era of the store."""
    return f"accounts/{shard}" if era == UNKNOWN_ERA else f"{_format_key_prefix(shard)}{era}"


def choose_newest_shards(records: Mapping[str, bytes]) -> list[Shard]:
    """Returns the shards of the latest era among all records of the store.

    Args:
        records: Values of the store by key; those of other kinds are ignored.
    """
    newest: dict[str, tuple[int, Shard]] = {}
    for key, value in records.items():
        prefix, _, rest = key.partition("/")
        if prefix != "accounts":
            continue
        number, _, era_text = rest.partition("/era-")
        era = int(era_text or UNKNOWN_ERA)
        if number not in newest or era > newest[number][0]:
            newest[number] = (era, decode_msgpack(value, Shard))
    return [shard for _, shard in newest.values()]


def _format_key_prefix(shard: int) -> str:
    return f"accounts/{shard}/era-"


def blocks_request(change: Change) -> bool:
    """Returns whether a request waits for the change, so that its write must not be delayed."""
    match change:
        case OpenGrant(needed=needed):
            return needed > 0
        case ReturnTokens() | ReportSpending():
            return False
        case _:
            return True


def _finish_draw(result: GrantOpened, era: int, is_known: bool) -> ChangeResult:
    if result.amount and not is_known:
        return ChangeFailed(reason="no other router knows of the draw")
    return msgspec.structs.replace(result, era=era)


@dataclasses.dataclass(slots=True, kw_only=True)
class _PendingChange:
    change: Change
    result: asyncio.Future[ChangeResult]


class ShardWriter:
    """Batches and writes the changes of one shard; a process has one writer per shard."""

    __slots__ = (
        "_background",
        "_clock",
        "_gather_seconds",
        "_metrics",
        "_number",
        "_pacer",
        "_paused_until_seconds",
        "_pending",
        "_position",
        "_random",
        "_recall",
        "_shard",
        "_slots",
        "_store",
        "_store_reachability",
        "_task",
        "_urgent_change_arrived",
    )

    def __init__(
        self,
        *,
        shard: int,
        store: KeyValueService,
        recall: ShardRecall,
        store_reachability: StoreReachability,
        pacer: WritePacer,
        clock: Clock,
        metrics: Metrics,
        random_source: random.Random,
        gather_seconds: float = 0.0,
    ):
        """Creates the writer; it reads the shard when the first change arrives.

        Args:
            shard: Number of the shard.
            store: Key-value store that holds the records.
            recall: Rebuilds the record when a new era of the store begins.
            store_reachability: Receives the result of each store call.
            pacer: Limits the rate of writes.
            clock: Source of monotonic time.
            metrics: Receives the counters.
            random_source: Source of jitter.
            gather_seconds: Maximum delay of a write that no request waits for, to batch changes.
        """
        self._gather_seconds = gather_seconds
        self._urgent_change_arrived = asyncio.Event()
        self._number = shard
        self._store = store
        self._recall = recall
        self._store_reachability = store_reachability
        self._pacer = pacer
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._pending: collections.deque[_PendingChange] = collections.deque()
        self._background = BackgroundTasks(part="budget", metrics=metrics)
        self._task: asyncio.Task[None] | None = None
        self._shard: Shard | None = None
        self._position = StorePosition(era=UNKNOWN_ERA, revision=0)
        self._slots: collections.OrderedDict[str, tuple[Slot, StorePosition]] = (
            collections.OrderedDict()
        )
        self._paused_until_seconds = 0.0

    async def submit(self, changes: list[Change]) -> list[ChangeResult]:
        """Applies changes in the next write.

        Args:
            changes: Changes to accounts and slots of this shard.

        Returns:
            A result for each change, in order; `ChangeFailed` if the change is not known to be
            stored. Cancelling the caller withdraws its changes that are not in flight yet.
        """
        if self._clock.monotonic_seconds() < self._paused_until_seconds:
            return [ChangeFailed(reason="the store failed a moment ago") for _ in changes]
        if len(self._pending) + len(changes) > MAX_PENDING_CHANGES:
            self._metrics.count("budget.writer.queue_full")
            return [ChangeFailed(reason="too many changes are waiting") for _ in changes]
        loop = asyncio.get_running_loop()
        entries = [
            _PendingChange(change=change, result=loop.create_future()) for change in changes
        ]
        self._pending.extend(entries)
        if any(map(blocks_request, changes)):
            self._urgent_change_arrived.set()
        if self._task is None or self._task.done():
            self._task = self._background.start(self._write_until_idle())
        return list(await asyncio.gather(*(entry.result for entry in entries)))

    async def read(self) -> Shard:
        """Reads the current shard from the store.

        Raises:
            StoreError: If the store does not answer.
        """
        await self._refresh([])
        assert self._shard is not None
        self._store_reachability.record_success()
        return self._shard

    async def close(self) -> None:
        """Stops writing; pending changes fail."""
        await self._background.cancel_all()
        self._fail_pending("the writer is closed")

    async def _write_until_idle(self) -> None:
        while self._pending:
            await self._wait_for_batch()
            await self._pacer.acquire_write()
            batch = self._take_batch()
            if not batch:
                continue
            try:
                results = await self._commit([entry.change for entry in batch])
            except StoreError as error:
                self._handle_store_failure(error, batch)
                continue
            except asyncio.CancelledError:
                self._pending.extendleft(batch)
                raise
            self._store_reachability.record_success()
            for entry, result in zip(batch, results, strict=True):
                if not entry.result.done():
                    entry.result.set_result(result)

    async def _wait_for_batch(self) -> None:
        """Waits for more changes, until a request waits for one of them or the delay is over."""
        if self._gather_seconds:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._gather_seconds):
                    await self._urgent_change_arrived.wait()
        self._urgent_change_arrived.clear()

    def _take_batch(self) -> list[_PendingChange]:
        batch: list[_PendingChange] = []
        while self._pending and len(batch) < MAX_BATCH_CHANGES:
            entry = self._pending.popleft()
            if not entry.result.done():
                batch.append(entry)
        return batch

    def _handle_store_failure(self, error: StoreError, batch: list[_PendingChange]) -> None:
        """Fails the batch and all pending changes, and pauses writes for a short time."""
        self._store_reachability.record_failure()
        pause = FAILURE_PAUSE_SECONDS * self._random.uniform(0.5, 1.5)
        self._paused_until_seconds = self._clock.monotonic_seconds() + pause
        self._shard = None
        self._metrics.count("budget.writer.store_failures")
        _log.warning(
            "store call failed; changes wait", fields={"shard": self._number, "error": error}
        )
        for entry in batch:
            if not entry.result.done():
                entry.result.set_result(ChangeFailed(reason=str(error)))
        self._fail_pending(str(error))

    def _fail_pending(self, reason: str) -> None:
        while self._pending:
            entry = self._pending.popleft()
            if not entry.result.done():
                entry.result.set_result(ChangeFailed(reason=reason))

    async def _commit(self, changes: list[Change]) -> list[ChangeResult]:
        """Commits one batch; reads the records back after a conflict or a lost response."""
        slot_keys = [key for key in map(get_slot_key, changes) if key is not None]
        is_current = False
        for attempt in range(MAX_COMMIT_ATTEMPTS):
            if self._shard is None or self._position.era != self._store.era.current:
                await self._refresh(slot_keys)
                is_current = True
            slots = {key: self._slots[key][0] for key in slot_keys if key in self._slots}
            outcome = apply_batch(self._shard, slots, changes)

            # If there is nothing to write, no compare-and-swap validates the cached records, so
            # the results are returned only if the records have just been read.
            if outcome.shard == self._shard and not outcome.slots:
                if is_current:
                    return await self._finish(changes, outcome.results)
                self._shard = None
                continue

            change_counts = collections.Counter(type(change).__name__ for change in changes)
            if await self._write(outcome.shard, outcome.slots, slot_keys, change_counts):
                return await self._finish(changes, outcome.results)
            is_current = self._shard is not None
            self._metrics.count("budget.writer.conflicts")
            fields = {"shard": self._number, "attempt": attempt, "changes": len(changes)}
            _log.info("shard write conflict or lost response; retrying", fields=fields)
            await asyncio.sleep(CONFLICT_PAUSE_SECONDS * self._random.random() * attempt)
        raise StoreError("too many conflicting writes")

    async def _finish(
        self, changes: list[Change], results: list[ChangeResult]
    ) -> list[ChangeResult]:
        """Completes the results of draws with the era in which they are recorded.

        Other routers keep the record before the draws are used. A draw by this process that no
        other one knows of has to be repeated.
        """
        holders = {
            change.holder
            for change, result in zip(changes, results, strict=True)
            if isinstance(result, GrantOpened) and result.amount
        }
        era, is_known = self._position.era, True
        if holders:
            copy = ShardCopy(era=era, shard=self._shard)
            is_known = await self._recall.share_copy(self._number, copy, holders)
        return [
            _finish_draw(result, era, is_known) if isinstance(result, GrantOpened) else result
            for result in results
        ]

    async def _write(
        self,
        shard: Shard,
        changed: dict[str, Slot],
        slot_keys: list[str],
        change_counts: dict[str, int],
    ) -> bool:
        """Attempts one conditional write, updates the cache, and returns whether it committed."""
        key, era = self._format_key(), self._position.era
        shard = msgspec.structs.replace(shard, serial=shard.serial + 1)
        expected = {key: self._position}
        absent = StorePosition(era=era, revision=0)
        for slot_key in slot_keys:
            cached = self._slots.get(slot_key)
            expected[slot_key] = cached[1] if cached else absent
        writes = [Write(key=key, value=msgspec.msgpack.encode(shard))]
        for slot_key, slot in changed.items():
            writes.append(Write(key=slot_key, value=msgspec.msgpack.encode(slot)))
        try:
            outcome = await self._store.commit(expected, writes)
        except WriteOutcomeUnknownError:
            # The write may have been committed. The caller reads the records back and applies
            # the changes again.
            self._metrics.count("budget.writer.answers_lost")
            self._shard = None
            return False
        if outcome.committed:
            _log.info("account shard written", fields={"shard": self._number, **change_counts})
            self._cache_shard(shard, outcome.position)
            for slot_key, slot in changed.items():
                self._cache_slot(slot_key, slot, outcome.position)
            return True
        stored = outcome.found.get(key)
        if stored is None or outcome.found.era != era:
            self._shard = None
            return False
        self._cache_shard(decode_record(stored, Shard), stored.position)
        self._cache_slots(outcome.found, slot_keys)
        return False

    def _format_key(self) -> str:
        return format_shard_key(self._number, self._position.era)

    async def _refresh(self, slot_keys: list[str]) -> None:
        """Reads the records; rebuilds the shard if it has none in the present era."""
        while True:
            key = format_shard_key(self._number, self._store.era.current)
            found = await self._store.read([key, *slot_keys])
            if key == format_shard_key(self._number, found.era):
                break
        if key in found:
            self._cache_shard(decode_record(found[key], Shard), found[key].position)
        elif found.era == UNKNOWN_ERA:
            self._shard, self._position = Shard(), found.get_position(key)
        else:
            # No empty record is cached before the shard is rebuilt, as changes could build on it.
            await self._rebuild(key, found.get_position(key))
        self._cache_slots(found, slot_keys)

    async def _rebuild(self, key: str, absent: StorePosition) -> None:
        """Writes the shard of a new era, unless another process has done so."""
        copies = await self._read_earlier_copies(absent.era)
        shard = await self._recall.rebuild(self._number, absent.era, copies)
        if not shard.accounts:
            self._shard, self._position = shard, absent
            return
        shard = msgspec.structs.replace(shard, serial=shard.serial + 1)
        write = Write(key=key, value=msgspec.msgpack.encode(shard))
        outcome = await self._store.commit({key: absent}, [write])
        if outcome.committed:
            self._cache_shard(shard, outcome.position)
            return
        stored = outcome.found.get(key)
        if stored is None:
            raise StoreError("a new era of the store began while a shard was rebuilt")
        self._cache_shard(decode_record(stored, Shard), stored.position)

    async def _read_earlier_copies(self, era: int) -> list[ShardCopy]:
        """Returns the records of earlier eras that the store still has."""
        prefix, first_key = _format_key_prefix(self._number), format_shard_key(self._number, 0)
        stored = await self._store.list_prefix(prefix)
        first = await self._store.read([first_key])
        copies = [
            ShardCopy(era=int(value.key.removeprefix(prefix)), shard=decode_record(value, Shard))
            for value in stored
        ]
        copies.extend(
            ShardCopy(era=UNKNOWN_ERA, shard=decode_record(value, Shard))
            for value in first.values()
        )
        return [copy for copy in copies if copy.era < era]

    def _cache_shard(self, shard: Shard, position: StorePosition) -> None:
        self._shard, self._position = shard, position
        self._recall.keep_copy(self._number, ShardCopy(era=position.era, shard=shard))

    def _cache_slots(self, found: FoundValues, slot_keys: list[str]) -> None:
        for key in slot_keys:
            stored_slot = found.get(key)
            if stored_slot is None:
                self._slots.pop(key, None)
            else:
                slot = decode_record(stored_slot, Slot)
                self._cache_slot(key, slot, stored_slot.position)

    def _cache_slot(self, key: str, slot: Slot, position: StorePosition) -> None:
        self._slots[key] = (slot, position)
        self._slots.move_to_end(key)
        if len(self._slots) > MAX_CACHED_SLOTS + MAX_BATCH_CHANGES:
            self._slots.popitem(last=False)
