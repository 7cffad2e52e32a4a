"""Remembers, across the fleet, at which software version each stream began.

A stream may go on only at servers of the version that began it, and its caller may come back at
any router, after a third try too. The router that passes on the first event records the origin:
in its own memory at once, and at two other routers within some milliseconds, chosen by hash of the
attempt id. A router that is asked to take up a stream looks into its own memory and then asks the
routers at which the hash places the attempt. It tells the holders anew what it has found, so that
the record survives its own end as well.

Records are hints for one decision and have no effect on tokens. They are kept in memory, and in
the store only while a service has several versions (`origin_archive`). An unknown origin has to
be treated as unknown, never as a guess:

- *Killed router.* What it wrote is known to its two holders, except for records of the last
  milliseconds before the kill (`BATCH_INTERVAL_SECONDS` and the way to the holder). A holder that
  is killed leaves the writer and the other holder. If the writer and both holders end within the
  time that a record is kept, only the store can still know the attempt.
- *Router that has just started.* It remembers nothing and asks the members that it knows; until it
  knows one, every attempt that it did not record itself is unknown.
- *Cut network.* A router finds what it recorded itself, and what a holder that it reaches knows. A
  lookup never takes longer than `FIND_TIMEOUT_SECONDS`; then the attempt is unknown. Records that
  a holder did not take go to the next candidate, a few times at most.
- *Two origins for one attempt.* The one recorded first at a router stays, and the other is logged.
- *Routers of an earlier release.* They refuse the messages, which counts as not knowing.
"""

import asyncio

from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import PeerError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from ..fleet.service import FleetService
from .origin_archive import OriginArchive
from .origin_memory import OriginMemory
from .origin_messages import (
    MAX_ATTEMPT_ID_LENGTH,
    FindOrigin,
    KnownOrigin,
    OriginAnswered,
    OriginsKept,
    TellOrigins,
    convert_to_milliseconds,
)
from .origin_placement import OriginPlacement
from .origin_teller import OriginTeller
from .stream_origin import StreamOrigin

FIND_TIMEOUT_SECONDS = 0.15
"""Time limit of one lookup; an attempt that nobody knew by then is unknown."""
MAX_OPEN_LOOKUPS = 128
"""Lookups that ask other routers at the same time; further attempts are unknown."""

_log = get_part_logger("forward")


class StreamOrigins:
    """Records where streams began and finds it again, here or at other routers."""

    __slots__ = (
        "_archive",
        "_clock",
        "_fleet",
        "_memory",
        "_metrics",
        "_open_lookups",
        "_placement",
        "_teller",
    )

    def __init__(
        self,
        *,
        fleet: FleetService,
        clock: Clock,
        metrics: Metrics,
        archive: OriginArchive | None = None,
    ):
        """Creates the service with an empty memory.

        Args:
            fleet: The other routers.
            clock: Source of time.
            metrics: Counters.
            archive: Keeps origins in the store; None to keep them in memory only.
        """
        self._archive = archive
        self._fleet = fleet
        self._clock = clock
        self._metrics = metrics
        self._memory = OriginMemory(clock=clock, metrics=metrics)
        self._placement = OriginPlacement(fleet=fleet)
        self._teller = OriginTeller(
            fleet=fleet, placement=self._placement, clock=clock, metrics=metrics
        )
        self._open_lookups = 0

    @property
    def kept_count(self) -> int:
        """Number of origins remembered here."""
        return len(self._memory)

    @property
    def untold_count(self) -> int:
        """Number of records that wait to be sent to other routers."""
        return self._teller.queued_count

    def record(self, attempt_id: str, origin: StreamOrigin, keep_seconds: float) -> None:
        """Remembers where a stream began, and tells its holders without waiting for them.

        Args:
            attempt_id: Attempt that brought the first event of the stream.
            origin: Where the stream began.
            keep_seconds: Time within which the caller may take up the stream.
        """
        if not 0 < len(attempt_id) <= MAX_ATTEMPT_ID_LENGTH:
            self._metrics.count("forward.origins_dropped")
            return
        before = self._memory.find(attempt_id)
        kept = self._memory.keep(attempt_id, origin, keep_seconds)
        if kept is not before:
            self._teller.tell(attempt_id, kept)

    def archive(self, attempt_id: str) -> None:
        """Has the origin of an attempt written to the store, so that it outlasts all routers."""
        kept = self._memory.find(attempt_id)
        if self._archive is not None and kept is not None:
            self._archive.add(attempt_id, kept)

    async def find_archived(self, attempt_id: str) -> StreamOrigin | None:
        """Returns the origin of an attempt that no router knew, from the store; None if unknown.

        Args:
            attempt_id: Attempt that brought the first event of the stream.
        """
        if self._archive is None:
            return None
        await self._archive.read_into(self._memory)
        kept = self._memory.find(attempt_id)
        if kept is None:
            return None
        self._metrics.count("forward.origins_found_archived")
        return kept.origin

    async def find(self, attempt_id: str) -> StreamOrigin | None:
        """Returns where the stream of an attempt began; None if that is unknown.

        Args:
            attempt_id: Attempt that brought the first event of the stream.
        """
        kept = self._memory.find(attempt_id)
        if kept is not None:
            self._metrics.count("forward.origins_found_here")
            return kept.origin
        if not 0 < len(attempt_id) <= MAX_ATTEMPT_ID_LENGTH:
            self._metrics.count("forward.origins_unknown")
            return None
        if self._open_lookups >= MAX_OPEN_LOOKUPS:
            self._metrics.count("forward.origin_lookups_refused")
            _log.warning("too many lookups of stream origins", fields={"request": attempt_id})
            return None
        self._open_lookups += 1
        try:
            return await self._find_at_peers(attempt_id)
        finally:
            self._open_lookups -= 1

    async def handle_tell(self, sender: str, message: TellOrigins) -> OriginsKept:
        """Remembers the origins that another router recorded or found."""
        for group in message.groups:
            origin = StreamOrigin(service=group.service, software_version=group.software_version)
            for attempt in group.attempts:
                self._memory.keep(attempt.attempt_id, origin, attempt.keep_milliseconds / 1000)
        return OriginsKept()

    async def handle_find(self, sender: str, message: FindOrigin) -> OriginAnswered:
        """Answers from the own memory."""
        kept = self._memory.find(message.attempt_id)
        if kept is None:
            return OriginAnswered(known=None)
        remaining_seconds = kept.expires_seconds - self._clock.monotonic_seconds()
        known = KnownOrigin(
            service=kept.origin.service,
            software_version=kept.origin.software_version,
            keep_milliseconds=convert_to_milliseconds(remaining_seconds),
        )
        return OriginAnswered(known=known)

    async def close(self) -> None:
        """Cancels the messages in progress."""
        await self._teller.close()
        if self._archive is not None:
            await self._archive.close()

    async def _find_at_peers(self, attempt_id: str) -> StreamOrigin | None:
        peers = self._placement.list_asked(attempt_id)
        tasks = {asyncio.create_task(self._ask(peer, attempt_id)): peer for peer in peers}
        try:
            async with asyncio.timeout(FIND_TIMEOUT_SECONDS):
                pending = set(tasks)
                while pending:
                    done, pending = await asyncio.wait(
                        pending, return_when=asyncio.FIRST_COMPLETED
                    )
                    for task in done:
                        answer = task.result()
                        if answer is not None and answer.known is not None:
                            return self._keep_found(attempt_id, answer.known, tasks[task])
        except TimeoutError:
            pass
        finally:
            for task in tasks:
                task.cancel()
        # Another router may have told this one in the meantime.
        kept = self._memory.find(attempt_id)
        if kept is not None:
            self._metrics.count("forward.origins_found_here")
            return kept.origin
        self._report_unknown(attempt_id, tasks)
        return None

    async def _ask(self, peer: str, attempt_id: str) -> OriginAnswered | None:
        """Returns a router's answer; None if there is none."""
        try:
            message = FindOrigin(attempt_id=attempt_id)
            answer = await self._fleet.call(peer, message, FIND_TIMEOUT_SECONDS)
        except PeerError:
            return None
        return answer if isinstance(answer, OriginAnswered) else None

    def _keep_found(self, attempt_id: str, known: KnownOrigin, peer: str) -> StreamOrigin:
        """Remembers a found origin here, and tells its holders for the rest of its time."""
        origin = StreamOrigin(service=known.service, software_version=known.software_version)
        kept = self._memory.keep(attempt_id, origin, known.keep_milliseconds / 1000)
        self._teller.tell(attempt_id, kept, known_by=peer)
        self._metrics.count("forward.origins_found_at_peer")
        _log.info(
            "stream origin found at another router",
            fields={
                "request": attempt_id,
                "service": kept.origin.service,
                "version": kept.origin.software_version,
                "router": peer,
            },
        )
        return kept.origin

    def _report_unknown(self, attempt_id: str, tasks: dict[asyncio.Task, str]) -> None:
        """Counts and logs a lookup without a result, with the routers that did not answer."""
        silent = [
            peer
            for task, peer in tasks.items()
            if not task.done() or task.cancelled() or task.result() is None
        ]
        self._metrics.count("forward.origins_unanswered" if silent else "forward.origins_unknown")
        _log.info(
            "stream origin unknown",
            fields={"request": attempt_id, "asked": len(tasks), "silent": silent},
        )
