"""Brings changes to the home of their shard, or to another process that reaches the store."""

import asyncio
import random

from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import PeerError, StoreError
from laburnumpier_core.hashing import choose_shard
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..ports.key_value_service import KeyValueService
from .account import Change, ChangeFailed, ChangeResult
from .peers import BudgetFleet, ChangesSubmitted, SubmitChanges
from .shard_writer import ShardWriter
from .store_reach import StoreReachability
from .write_pacer import WritePacer

HOME_TIMEOUT_SECONDS = 0.8
"""Time limit of a call to another writer, which may read and write a shard at a store that takes
0.3 s for each."""
HOME_SILENCE_SECONDS = 3.0
"""Time for which a writer that failed is passed over: three heartbeats of 1 s, which tell whether
it reaches the store."""
FAILURE_MEMORY_SECONDS = 5.0
"""Time for which the store counts as failing after no writer reached it."""

_log = get_part_logger("budget")


class ChangeSubmitter:
    """Routes changes to the one process that batches the writes of their shard."""

    __slots__ = (
        "_clock",
        "_fleet",
        "_gather_seconds",
        "_last_failure_seconds",
        "_metrics",
        "_pacer",
        "_probe",
        "_random",
        "_reach",
        "_shard_count",
        "_silent_until",
        "_store",
        "_writers",
    )

    def __init__(
        self,
        *,
        store: KeyValueService,
        fleet: BudgetFleet,
        pacer: WritePacer,
        clock: Clock,
        metrics: Metrics,
        random_source: random.Random,
        shard_count: int,
        gather_seconds: float = 0.0,
    ):
        """Creates the submitter with no writer open yet."""
        self._store = store
        self._fleet = fleet
        self._pacer = pacer
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._shard_count = shard_count
        self._gather_seconds = gather_seconds
        self._last_failure_seconds = float("-inf")
        self._silent_until: dict[str, float] = {}
        self._reach = StoreReachability(clock=clock)
        self._probe: asyncio.Task[bool] | None = None
        self._writers: dict[int, ShardWriter] = {}

    @property
    def shard_count(self) -> int:
        """Number of account shards of the deployment."""
        return self._shard_count

    @property
    def store_reachability(self) -> StoreReachability:
        """Whether this process reaches the store."""
        return self._reach

    async def submit(self, workspace: str, changes: list[Change]) -> list[ChangeResult]:
        """Has changes of one workspace's shard written.

        Args:
            workspace: Any workspace of the shard.
            changes: The changes; all must belong to the same shard.

        Returns:
            A result for each change; `ChangeFailed` where neither the home nor this process could
            reach the store.
        """
        shard = choose_shard(workspace, self._shard_count)
        self._probe_if_due()
        results: list[ChangeResult] = [ChangeFailed(reason="not tried") for _ in changes]
        for writer in self._list_writers(shard):
            results = await self._submit_failed(writer, shard, changes, results)
            if not any(isinstance(result, ChangeFailed) for result in results):
                self._last_failure_seconds = float("-inf")
                return results
        self._last_failure_seconds = self._clock.monotonic_seconds()
        return results

    def _list_writers(self, shard: int) -> list[str]:
        """Returns who may write a shard now: its home first, this process last."""
        own = self._fleet.self_name
        now = self._clock.monotonic_seconds()
        writers = [
            writer
            for writer in self._fleet.list_writers(f"shard/{shard}")
            if now >= self._silent_until.get(writer, float("-inf"))
        ]
        others = [writer for writer in writers if writer != own]
        if writers[:1] == [own] and self._reach.is_reachable:
            return [own, *others]
        # A process that believes itself cut off tries itself only where nobody else is left.
        return [*others, own] if self._reach.is_reachable or not others else others

    async def _submit_failed(
        self, writer: str, shard: int, changes: list[Change], results: list[ChangeResult]
    ) -> list[ChangeResult]:
        """Submits the changes that have failed so far, and returns all results."""
        failed = [i for i, result in enumerate(results) if isinstance(result, ChangeFailed)]
        retried = await self._submit_at(writer, shard, [changes[i] for i in failed])
        merged = list(results)
        for i, result in zip(failed, retried, strict=True):
            merged[i] = result
        return merged

    async def _submit_at(
        self, writer: str, shard: int, changes: list[Change]
    ) -> list[ChangeResult]:
        """Has one process write changes; one that cannot is left alone for a while."""
        if writer == self._fleet.self_name:
            return await self.submit_here(shard, changes)
        message = SubmitChanges(shard=shard, changes=changes)
        try:
            reply = await self._fleet.call(writer, message, HOME_TIMEOUT_SECONDS)
        except PeerError as error:
            return self._note_silent(writer, changes, str(error))
        if not isinstance(reply, ChangesSubmitted) or len(reply.results) != len(changes):
            return self._note_silent(writer, changes, "no results")
        failed = [result for result in reply.results if isinstance(result, ChangeFailed)]
        if failed:
            self._note_silent(writer, changes, failed[0].reason)
        return reply.results

    def _note_silent(self, writer: str, changes: list[Change], reason: str) -> list[ChangeResult]:
        """Lets the next changes go past a process that does not write, and fails these."""
        now = self._clock.monotonic_seconds()
        silent = {name: until for name, until in self._silent_until.items() if until > now}
        self._silent_until = {**silent, writer: now + HOME_SILENCE_SECONDS}
        self._metrics.count("budget.submitter.home_silent")
        _log.info("another writer is tried", fields={"silent": writer, "reason": reason})
        return [ChangeFailed(reason=reason) for _ in changes]

    def _probe_if_due(self) -> None:
        """Finds out in the background whether a cut has ended."""
        if self._reach.is_probe_due:
            self._reach.record_attempt()
            self._probe = asyncio.create_task(self.can_reach_store())

    async def submit_here(self, shard: int, changes: list[Change]) -> list[ChangeResult]:
        """Writes changes from this process, batched with others of the same shard."""
        return await self.get_writer(shard).submit(changes)

    def get_writer(self, shard: int) -> ShardWriter:
        """Returns this process's writer of a shard."""
        if shard not in self._writers:
            self._writers[shard] = ShardWriter(
                shard=shard,
                store=self._store,
                reach=self._reach,
                pacer=self._pacer,
                clock=self._clock,
                metrics=self._metrics,
                random_source=self._random,
                gather_seconds=self._gather_seconds,
            )
        return self._writers[shard]

    @property
    def failed_recently(self) -> bool:
        """Whether no writer brought the last changes to the store, a short while ago."""
        elapsed = self._clock.monotonic_seconds() - self._last_failure_seconds
        return elapsed < FAILURE_MEMORY_SECONDS

    async def can_reach_store(self) -> bool:
        """Returns whether a read of the store succeeds now."""
        try:
            await self.get_writer(0).read()
        except StoreError:
            self._reach.record_failure()
            return False
        return True

    async def close(self) -> None:
        """Closes all writers."""
        if self._probe is not None:
            self._probe.cancel()
            await asyncio.gather(self._probe, return_exceptions=True)
        for writer in self._writers.values():
            await writer.close()
