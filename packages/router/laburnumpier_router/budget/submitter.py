"""Brings changes to the home of their shard, or writes them here when the home is silent."""

import random

from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import PeerError, StoreError
from laburnumpier_core.hashing import choose_shard
from laburnumpier_core.metrics import Metrics

from ..ports.key_value_service import KeyValueService
from .account import Change, ChangeFailed, ChangeResult
from .peers import BudgetFleet, ChangesSubmitted, SubmitChanges
from .shard_writer import ShardWriter
from .write_pacer import WritePacer

HOME_TIMEOUT_SECONDS = 0.8
HOME_SILENCE_SECONDS = 3.0
FAILURE_MEMORY_SECONDS = 5.0


class ChangeSubmitter:
    """Routes changes to the one process that batches the writes of their shard."""

    __slots__ = (
        "_clock",
        "_fleet",
        "_gather_seconds",
        "_homes_silent_until",
        "_last_failure_seconds",
        "_metrics",
        "_pacer",
        "_random",
        "_shard_count",
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
        self._homes_silent_until: dict[str, float] = {}
        self._writers: dict[int, ShardWriter] = {}

    @property
    def shard_count(self) -> int:
        """Number of account shards of the deployment."""
        return self._shard_count

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
        home = self._fleet.find_home(f"shard/{shard}")
        now = self._clock.monotonic_seconds()
        silent = now < self._homes_silent_until.get(home, float("-inf"))
        if home == self._fleet.self_name or silent:
            return await self.submit_here(shard, changes)
        try:
            reply = await self._fleet.call(
                home, SubmitChanges(shard=shard, changes=changes), HOME_TIMEOUT_SECONDS
            )
        except PeerError:
            # The next changes go past a silent home without waiting for it again.
            self._homes_silent_until = {home: now + HOME_SILENCE_SECONDS}
            self._metrics.count("budget.submitter.home_silent")
            return await self.submit_here(shard, changes)
        if not isinstance(reply, ChangesSubmitted) or len(reply.results) != len(changes):
            return await self.submit_here(shard, changes)
        return await self._retry_failed_here(shard, changes, reply.results)

    async def submit_here(self, shard: int, changes: list[Change]) -> list[ChangeResult]:
        """Writes changes from this process, batched with others of the same shard."""
        results = await self.get_writer(shard).submit(changes)
        if any(isinstance(result, ChangeFailed) for result in results):
            self._last_failure_seconds = self._clock.monotonic_seconds()
        return results

    def get_writer(self, shard: int) -> ShardWriter:
        """Returns this process's writer of a shard."""
        if shard not in self._writers:
            self._writers[shard] = ShardWriter(
                shard=shard,
                store=self._store,
                pacer=self._pacer,
                clock=self._clock,
                metrics=self._metrics,
                random_source=self._random,
                gather_seconds=self._gather_seconds,
            )
        return self._writers[shard]

    @property
    def failed_lately(self) -> bool:
        """Whether the store took no decision on a change a short while ago."""
        elapsed = self._clock.monotonic_seconds() - self._last_failure_seconds
        return elapsed < FAILURE_MEMORY_SECONDS

    async def can_reach_store(self) -> bool:
        """Returns whether a read of the store succeeds now."""
        try:
            await self.get_writer(0).read()
        except StoreError:
            return False
        return True

    async def close(self) -> None:
        """Closes all writers."""
        for writer in self._writers.values():
            await writer.close()

    async def _retry_failed_here(
        self, shard: int, changes: list[Change], results: list[ChangeResult]
    ) -> list[ChangeResult]:
        """Tries failed changes directly: only the home may be cut off from the store."""
        failed = [i for i, result in enumerate(results) if isinstance(result, ChangeFailed)]
        if not failed:
            return results
        retried = await self.submit_here(shard, [changes[i] for i in failed])
        merged = list(results)
        for i, result in zip(failed, retried, strict=True):
            merged[i] = result
        return merged
