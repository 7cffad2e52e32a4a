"""Tells other routers where streams began, without anyone waiting for it.

A record is sent at once if nothing was sent to its holder a moment before, otherwise with the next
batch. What a router did not take is sent to the next candidate, a few times at most.
"""

import asyncio
import dataclasses

from laburnumpier_core.background_tasks import BackgroundTasks
from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import PeerError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..fleet.service import FleetService
from .origin_messages import group_origins
from .origin_placement import HOLDERS_PER_ORIGIN, OriginPlacement
from .stream_origin import KeptOrigin

BATCH_INTERVAL_SECONDS = 0.015
"""Shortest time between the end of one message to a router and the next one to it."""
TELL_TIMEOUT_SECONDS = 0.2
"""Time limit of one message."""
MAX_SENDS_PER_COPY = 3
"""Routers that one copy of a record is sent to until one takes it."""
SILENT_PEER_SECONDS = 2.0
"""Time for which other candidates are preferred to a router that did not answer."""
MAX_BATCH_RECORDS = 256
MAX_QUEUED_RECORDS = 4_096
"""Records that wait for all routers together; further ones are dropped and counted."""

_log = get_part_logger("forward")


@dataclasses.dataclass(slots=True, kw_only=True)
class _UntoldRecord:
    """One copy of a record on its way to a holder.

    Attributes:
        chosen: Holders that any copy of the record was sent to; the copies share this list.
        sends_left: Number of further routers that this copy may be sent to.
    """

    attempt_id: str
    kept: KeptOrigin
    chosen: list[str]
    sends_left: int = MAX_SENDS_PER_COPY - 1


class OriginTeller:
    """Sends records to their holders, in batches, with one message in progress for each router."""

    __slots__ = (
        "_clock",
        "_fleet",
        "_metrics",
        "_placement",
        "_queued_count",
        "_queues",
        "_silent_until",
        "_tasks",
    )

    def __init__(
        self, *, fleet: FleetService, placement: OriginPlacement, clock: Clock, metrics: Metrics
    ):
        """Creates a teller that has nothing to send."""
        self._fleet = fleet
        self._placement = placement
        self._clock = clock
        self._metrics = metrics
        self._tasks = BackgroundTasks(part="forward", metrics=metrics)
        # A router has a queue exactly while a task sends to it.
        self._queues: dict[str, list[_UntoldRecord]] = {}
        self._queued_count = 0
        self._silent_until: dict[str, float] = {}

    @property
    def queued_count(self) -> int:
        """Number of records that wait to be sent."""
        return self._queued_count

    def tell(self, attempt_id: str, kept: KeptOrigin, *, known_by: str = "") -> None:
        """Queues a record for its holders; does not wait.

        Args:
            attempt_id: Attempt that brought the first event of the stream.
            kept: What is remembered of it here.
            known_by: Router that knows the record already; empty if none is known to.
        """
        chosen = self._list_candidates(attempt_id)[:HOLDERS_PER_ORIGIN]
        for peer in [name for name in chosen if name != known_by]:
            record = _UntoldRecord(attempt_id=attempt_id, kept=kept, chosen=chosen)
            self._enqueue(peer, record)

    async def close(self) -> None:
        """Cancels the messages in progress and drops what waits."""
        await self._tasks.cancel_all()

    def _list_candidates(self, attempt_id: str) -> list[str]:
        """Returns the candidates by preference; those that did not answer a moment ago last."""
        now = self._clock.monotonic_seconds()
        return sorted(
            self._placement.list_candidates(attempt_id),
            key=lambda name: self._silent_until.get(name, now) > now,
        )

    def _enqueue(self, peer: str, record: _UntoldRecord) -> None:
        if self._queued_count >= MAX_QUEUED_RECORDS:
            self._metrics.count("forward.origins_dropped")
            return
        self._queued_count += 1
        queue = self._queues.get(peer)
        if queue is not None:
            queue.append(record)
            return
        self._queues[peer] = [record]
        self._tasks.start(self._send_queue(peer))

    async def _send_queue(self, peer: str) -> None:
        """Sends batches to a router until nothing waits for it."""
        try:
            while queue := self._queues[peer]:
                batch = queue[:MAX_BATCH_RECORDS]
                del queue[:MAX_BATCH_RECORDS]
                self._queued_count -= len(batch)
                await self._send(peer, batch)
                await asyncio.sleep(BATCH_INTERVAL_SECONDS)
        finally:
            self._queued_count -= len(self._queues.pop(peer))

    async def _send(self, peer: str, batch: list[_UntoldRecord]) -> None:
        now = self._clock.monotonic_seconds()
        records = [
            (record.attempt_id, record.kept.origin, record.kept.expires_seconds - now)
            for record in batch
        ]
        try:
            await self._fleet.call(peer, group_origins(records), TELL_TIMEOUT_SECONDS)
        except PeerError as error:
            self._handle_silence(peer, error, batch)
        else:
            self._metrics.count("forward.origins_told", len(batch))

    def _handle_silence(self, peer: str, error: PeerError, batch: list[_UntoldRecord]) -> None:
        """Passes what was sent to a router, and what waits for it, to the next candidates."""
        queue = self._queues[peer]
        _log.info(
            "router does not take stream origins; telling others",
            fields={"router": peer, "records": len(batch) + len(queue), "error": error},
        )
        now = self._clock.monotonic_seconds()
        self._silent_until = {name: end for name, end in self._silent_until.items() if end > now}
        self._silent_until[peer] = now + SILENT_PEER_SECONDS
        self._queued_count -= len(queue)
        unsent = [*batch, *queue]
        queue.clear()
        for record in unsent:
            self._repeat(record)

    def _repeat(self, record: _UntoldRecord) -> None:
        candidates = self._list_candidates(record.attempt_id)
        unused = [name for name in candidates if name not in record.chosen]
        if not record.sends_left or not unused:
            self._metrics.count("forward.origins_untold")
            return
        record.chosen.append(unused[0])
        record.sends_left -= 1
        self._enqueue(unused[0], record)
