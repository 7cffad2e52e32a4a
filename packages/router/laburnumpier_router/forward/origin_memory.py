"""Bounded memory of the origins of streams, by the attempt that brought their first event."""

import heapq

from laburnumpier_core.clock import Clock
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

from .stream_origin import KeptOrigin, StreamOrigin

MAX_KEPT_ORIGINS = 32_768
"""Entries that one router remembers; above it, the one that expires first is forgotten."""
MAX_KEEP_SECONDS = 600.0
"""Longest time that an origin is remembered; a longer one is shortened."""
MAX_SHARED_ORIGINS = 1_024
"""Distinct pairs of service and version whose objects are shared by entries."""
MIN_STALE_EXPIRIES = 1_024
"""Outdated entries of the queue of expiries that are tolerated in a small memory."""

_log = get_part_logger("forward")


class OriginMemory:
    """Remembers origins until they expire. The first origin of an attempt is never replaced."""

    __slots__ = ("_clock", "_entries", "_expiries", "_max_entries", "_metrics", "_shared")

    def __init__(self, *, clock: Clock, metrics: Metrics, max_entries: int = MAX_KEPT_ORIGINS):
        """Creates an empty memory.

        Args:
            clock: Source of time.
            metrics: Counters.
            max_entries: Number of origins that are remembered at most.
        """
        self._clock = clock
        self._metrics = metrics
        self._max_entries = max_entries
        self._entries: dict[str, KeptOrigin] = {}
        # Holds one item for each entry, and outdated ones of entries whose expiry was moved.
        self._expiries: list[tuple[float, str]] = []
        self._shared: dict[StreamOrigin, StreamOrigin] = {}

    def __len__(self) -> int:
        """Returns the number of entries, including expired ones that are not removed yet."""
        return len(self._entries)

    def find(self, attempt_id: str) -> KeptOrigin | None:
        """Returns what is remembered of an attempt; None if nothing is or it has expired."""
        kept = self._entries.get(attempt_id)
        if kept is None or kept.expires_seconds <= self._clock.monotonic_seconds():
            return None
        return kept

    def keep(self, attempt_id: str, origin: StreamOrigin, keep_seconds: float) -> KeptOrigin:
        """Remembers an origin, or moves the expiry of the one that is remembered already.

        Args:
            attempt_id: Attempt that brought the first event of the stream.
            origin: Where the stream began.
            keep_seconds: Time for which the origin is remembered.

        Returns:
            What is remembered now: another origin if the attempt was recorded with that one first.
        """
        now = self._clock.monotonic_seconds()
        expires_seconds = now + min(max(keep_seconds, 0.0), MAX_KEEP_SECONDS)
        self._remove_expired(now)
        kept = self._entries.get(attempt_id)
        if kept is not None and kept.origin != origin:
            self._report_conflict(attempt_id, kept.origin, origin)
            return kept
        if kept is not None and kept.expires_seconds >= expires_seconds:
            return kept
        kept = KeptOrigin(origin=self._share(origin), expires_seconds=expires_seconds)
        self._entries[attempt_id] = kept
        heapq.heappush(self._expiries, (expires_seconds, attempt_id))
        self._limit_size()
        return kept

    def _report_conflict(self, attempt_id: str, kept: StreamOrigin, ignored: StreamOrigin) -> None:
        self._metrics.count("forward.origins_conflicting")
        _log.warning(
            "stream origin conflicts with the one recorded first",
            fields={
                "request": attempt_id,
                "service": kept.service,
                "version": kept.software_version,
                "ignored_service": ignored.service,
                "ignored_version": ignored.software_version,
            },
        )

    def _share(self, origin: StreamOrigin) -> StreamOrigin:
        """Returns one object for equal origins, so that each entry needs only a reference."""
        if len(self._shared) >= MAX_SHARED_ORIGINS:
            self._shared.clear()
        return self._shared.setdefault(origin, origin)

    def _remove_expired(self, now: float) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            self._remove_first_to_expire()

    def _limit_size(self) -> None:
        while len(self._entries) > self._max_entries:
            if self._remove_first_to_expire():
                self._metrics.count("forward.origins_evicted")
        if len(self._expiries) > 2 * len(self._entries) + MIN_STALE_EXPIRIES:
            self._expiries = [
                (kept.expires_seconds, attempt_id) for attempt_id, kept in self._entries.items()
            ]
            heapq.heapify(self._expiries)

    def _remove_first_to_expire(self) -> bool:
        """Takes one item from the queue of expiries; returns whether it removed an entry."""
        expires_seconds, attempt_id = heapq.heappop(self._expiries)
        kept = self._entries.get(attempt_id)
        if kept is None or kept.expires_seconds != expires_seconds:
            return False
        del self._entries[attempt_id]
        return True
