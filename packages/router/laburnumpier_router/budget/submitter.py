"""Routes changes to the home of their shard, or to another process that reaches the store."""

import random

from laburnumpier_core.background_tasks import BackgroundTasks
from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import PeerError, StoreError
from laburnumpier_core.hashing import choose_shard
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..ports.key_value_service import KeyValueService
from .account import Change, ChangeFailed, ChangeResult
from .peers import BudgetFleet, ChangesSubmitted, SubmitChanges
from .shard_recall import ShardRecall
from .shard_writer import ShardWriter
from .store_reachability import StoreReachability
from .write_pacer import WritePacer

WRITER_TIMEOUT_SECONDS = 0.8
"""Timeout of a call to another writer, which may read and then write a shard with 0.3 s for each
store call."""
WRITER_SKIP_SECONDS = 3.0
"""Time for which a failed writer is skipped: three heartbeats of 1 s, which state whether it
reaches the store."""
OUTAGE_WRITERS = 2
"""Writers in a row that the store does not answer, after which no further one is tried. In an
outage of the store each further one only makes one more store call."""
OUTAGE_RETRY_SECONDS = 0.2
"""Time for which only the first writer is tried then. After it, the next writer that is not
skipped is tried as well, since the store may answer some routers only."""
RECENT_FAILURE_SECONDS = 5.0
"""Time for which `failed_recently` holds after a submission that no writer could store."""

RECENT_SUCCESS_SECONDS = 0.5
"""Time for which `succeeded_recently` holds after a submission that was stored."""

_log = get_part_logger("budget")


class ChangeSubmitter:
    """Submits changes to the process that batches the writes of their shard."""

    __slots__ = (
        "_background",
        "_clock",
        "_fleet",
        "_gather_seconds",
        "_is_outage",
        "_last_failure_seconds",
        "_last_success_seconds",
        "_metrics",
        "_outage_until_seconds",
        "_pacer",
        "_random",
        "_recall",
        "_shard_count",
        "_silent_writers",
        "_skipped_until_seconds",
        "_store",
        "_store_reachability",
        "_writers",
    )

    def __init__(
        self,
        *,
        store: KeyValueService,
        fleet: BudgetFleet,
        recall: ShardRecall,
        pacer: WritePacer,
        clock: Clock,
        metrics: Metrics,
        random_source: random.Random,
        shard_count: int,
        gather_seconds: float = 0.0,
    ):
        """Creates a submitter; shard writers are created on first use.

        Args:
            store: Key-value store that holds the records.
            fleet: Other routers, which may write in place of this process.
            recall: Rebuilds shards when a new era of the store begins.
            pacer: Limits the rate of writes.
            clock: Source of monotonic time.
            metrics: Counters.
            random_source: Jitter of the shard writers.
            shard_count: Number of account shards of the deployment.
            gather_seconds: Maximum delay of a write that no request waits for, to batch changes.
        """
        self._store = store
        self._fleet = fleet
        self._recall = recall
        self._pacer = pacer
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._shard_count = shard_count
        self._gather_seconds = gather_seconds
        self._last_failure_seconds = float("-inf")
        self._last_success_seconds = float("-inf")
        self._is_outage = False
        self._outage_until_seconds = float("-inf")
        self._silent_writers: set[str] = set()
        self._skipped_until_seconds: dict[str, float] = {}
        self._store_reachability = StoreReachability(clock=clock)
        self._background = BackgroundTasks(part="budget", metrics=metrics)
        self._writers: dict[int, ShardWriter] = {}

    @property
    def shard_count(self) -> int:
        """Number of account shards of the deployment."""
        return self._shard_count

    @property
    def store_reachability(self) -> StoreReachability:
        """Tracks whether this process reaches the store."""
        return self._store_reachability

    @property
    def is_usable_writer(self) -> bool:
        """Whether others should have this process write: it reaches the store, or nobody does.

        In an outage of the store the home stays the writer of a shard. Each router learns at
        another time that the home reaches the store again, and would use another one until then.
        """
        since_outage = self._clock.monotonic_seconds() - self._outage_until_seconds
        return self._store_reachability.is_reachable or since_outage < WRITER_SKIP_SECONDS

    async def submit(self, workspace: str, changes: list[Change]) -> list[ChangeResult]:
        """Submits changes to the shard of a workspace.

        Args:
            workspace: Any workspace of the shard.
            changes: The changes; all must belong to the same shard.

        Returns:
            A result for each change; `ChangeFailed` if no writer could store it.
        """
        shard = choose_shard(workspace, self._shard_count)
        self._probe_if_due()
        results: list[ChangeResult] = [ChangeFailed(reason="not tried") for _ in changes]
        writers = self._list_writers(shard)
        is_retry_due = self._clock.monotonic_seconds() >= self._outage_until_seconds
        if self._is_outage and not is_retry_due:
            writers = writers[:1]
        failed_writers = 0
        for writer in writers:
            results = await self._submit_remaining_changes(writer, shard, changes, results)
            if not any(isinstance(result, ChangeFailed) for result in results):
                self._record_success()
                return results
            failed_writers += writer not in self._silent_writers
            if failed_writers == OUTAGE_WRITERS:
                break
        self._record_failure(writers[0], failed_writers)
        return results

    def _record_success(self) -> None:
        if self._is_outage:
            _log.info("a shard writer reaches the store again")
        self._is_outage = False
        self._last_failure_seconds = float("-inf")
        self._last_success_seconds = self._clock.monotonic_seconds()

    def _record_failure(self, first_writer: str, failed_writers: int) -> None:
        """Records that no writer stored the changes.

        If the store answered none of several writers, the first one is not skipped, since none of
        the others is better. With some routers that skip it and others that do not, a shard would
        have several writers after the outage, and their writes would conflict.
        """
        now = self._clock.monotonic_seconds()
        self._last_failure_seconds = now
        if failed_writers >= OUTAGE_WRITERS:
            if not self._is_outage:
                _log.info("no shard writer reaches the store", fields={"tried": failed_writers})
                self._metrics.count("budget.submitter.outages")
            self._is_outage = True
            self._outage_until_seconds = now + OUTAGE_RETRY_SECONDS
        # A writer that is silent may be dead, and each call to it takes its whole time limit.
        if self._is_outage and first_writer not in self._silent_writers:
            self._skipped_until_seconds.pop(first_writer, None)

    def _list_writers(self, shard: int) -> list[str]:
        """Returns the writers to try, in order; usually the shard's home first."""
        own = self._fleet.self_name
        now = self._clock.monotonic_seconds()
        writers = [
            writer
            for writer in self._fleet.list_writers(f"shard/{shard}")
            if now >= self._skipped_until_seconds.get(writer, float("-inf"))
        ]
        others = [writer for writer in writers if writer != own]
        if writers[:1] == [own] and self.is_usable_writer:
            return [own, *others]
        # A process that does not reach the store tries its own writer only if there is no other.
        return [*others, own] if self.is_usable_writer or not others else others

    async def _submit_remaining_changes(
        self, writer: str, shard: int, changes: list[Change], results: list[ChangeResult]
    ) -> list[ChangeResult]:
        """Submits the changes that are not stored yet to a writer, and returns merged results."""
        remaining = [i for i, result in enumerate(results) if isinstance(result, ChangeFailed)]
        new_results = await self._submit_to(writer, shard, [changes[i] for i in remaining])
        merged = list(results)
        for i, result in zip(remaining, new_results, strict=True):
            merged[i] = result
        return merged

    async def _submit_to(
        self, writer: str, shard: int, changes: list[Change]
    ) -> list[ChangeResult]:
        """Submits changes to one process; a process that fails is skipped for a while."""
        if writer == self._fleet.self_name:
            return await self.submit_here(shard, changes)
        message = SubmitChanges(shard=shard, changes=changes)
        try:
            reply = await self._fleet.call(writer, message, WRITER_TIMEOUT_SECONDS)
            self._silent_writers.discard(writer)
        except PeerError as error:
            self._silent_writers.add(writer)
            return self._skip_writer(writer, changes, str(error))
        if not isinstance(reply, ChangesSubmitted) or len(reply.results) != len(changes):
            return self._skip_writer(writer, changes, "no results")
        failed = [result for result in reply.results if isinstance(result, ChangeFailed)]
        if failed:
            self._skip_writer(writer, changes, failed[0].reason)
        return reply.results

    def _skip_writer(self, writer: str, changes: list[Change], reason: str) -> list[ChangeResult]:
        """Skips a failed writer for `WRITER_SKIP_SECONDS`; returns a failure for each change."""
        now = self._clock.monotonic_seconds()
        skipped = {
            name: until for name, until in self._skipped_until_seconds.items() if until > now
        }
        self._skipped_until_seconds = {**skipped, writer: now + WRITER_SKIP_SECONDS}
        self._metrics.count("budget.submitter.home_silent")
        if not self._is_outage:
            fields = {"silent": writer, "reason": reason}
            _log.info("shard writer failed; trying the next one", fields=fields)
        return [ChangeFailed(reason=reason) for _ in changes]

    def _probe_if_due(self) -> None:
        """Checks in the background whether the store can be reached again."""
        if self._store_reachability.is_probe_due:
            self._store_reachability.record_attempt()
            self._background.start(self.can_reach_store())

    async def rebuild_shards(self) -> None:
        """Rebuilds the shards whose home is this process, after a new era has begun.

        It must not wait for the first change of a shard, because what is known of the routers'
        recent past is lost with time.
        """
        for shard in range(self._shard_count):
            if self._fleet.find_home(f"shard/{shard}") != self._fleet.self_name:
                continue
            try:
                await self.get_writer(shard).read()
            except StoreError as error:
                _log.warning("shard not rebuilt yet", fields={"shard": shard, "error": error})

    async def submit_here(self, shard: int, changes: list[Change]) -> list[ChangeResult]:
        """Writes changes from this process, batched with other changes of the shard."""
        return await self.get_writer(shard).submit(changes)

    def get_writer(self, shard: int) -> ShardWriter:
        """Returns this process's writer for a shard."""
        if shard not in self._writers:
            self._writers[shard] = ShardWriter(
                shard=shard,
                store=self._store,
                recall=self._recall,
                store_reachability=self._store_reachability,
                pacer=self._pacer,
                clock=self._clock,
                metrics=self._metrics,
                random_source=self._random,
                gather_seconds=self._gather_seconds,
            )
        return self._writers[shard]

    @property
    def failed_recently(self) -> bool:
        """Whether the last submission failed at every writer a short time ago."""
        elapsed = self._clock.monotonic_seconds() - self._last_failure_seconds
        return elapsed < RECENT_FAILURE_SECONDS

    @property
    def succeeded_recently(self) -> bool:
        """Whether a submission was stored a moment ago.

        Tokens on their way to a store that does not answer can be used by nobody, so they are
        returned only then. The absence of failures is no sign: in a quiet time nothing is sent.
        """
        elapsed = self._clock.monotonic_seconds() - self._last_success_seconds
        return elapsed < RECENT_SUCCESS_SECONDS

    async def can_reach_store(self) -> bool:
        """Returns whether a read from the store succeeds now."""
        try:
            await self.get_writer(0).read()
        except StoreError:
            self._store_reachability.record_failure()
            return False
        return True

    async def close(self) -> None:
        """Closes all writers."""
        await self._background.cancel_all()
        for writer in self._writers.values():
            await writer.close()
