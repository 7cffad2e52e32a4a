"""Confirms at the store that this router has heard of all servers and their versions.

A router that was cut off or stood still knows servers as they were, and cannot tell so from
inside: a watch without changes says nothing until its wait ends. A stream that its caller takes up
may have begun at a version that joined since, and a server may be back at another version under
its id. So the registry and the record of versions are read once more, by calls that begin after
the stream was taken up. Its server was registered before it began, so these reads show its
version.

One reading serves all requests that were waiting when it began, so the calls to the store do not
grow with the number of streams.
"""

import asyncio
from collections.abc import Awaitable, Callable

from laburnumpier_core.clock import Clock
from laburnumpier_core.errors import StoreError
from laburnumpier_core.log import get_part_logger
from laburnumpier_core.metrics import Metrics

CONFIRMATION_TIMEOUT_SECONDS = 0.8
"""Longest time for which a request waits for a confirmation."""
MIN_READ_INTERVAL_SECONDS = 0.2
"""Time between the beginnings of two readings; requests that arrive meanwhile share the next."""

_log = get_part_logger("forward")


class HistoryConfirmation:
    """Reads what serves anew for requests that depend on it, many with one reading."""

    __slots__ = (
        "_clock",
        "_has_succeeded",
        "_lock",
        "_metrics",
        "_read_record",
        "_read_registry",
        "_started_seconds",
    )

    def __init__(
        self,
        *,
        read_registry: Callable[[], Awaitable[None]],
        read_record: Callable[[], Awaitable[None]],
        clock: Clock,
        metrics: Metrics,
    ):
        """Creates it with nothing confirmed.

        Args:
            read_registry: Takes over all changes of the registry up to now; raises `StoreError`.
            read_record: Reads the record of versions; raises `StoreError`.
            clock: Source of time.
            metrics: Counters.
        """
        self._read_registry = read_registry
        self._read_record = read_record
        self._clock = clock
        self._metrics = metrics
        self._lock = asyncio.Lock()
        # The last reading that came to an end; one that is cancelled with its request does not.
        self._started_seconds = float("-inf")
        self._has_succeeded = False

    async def confirm(self) -> bool:
        """Returns whether a reading that began after this call has succeeded."""
        asked_seconds = self._clock.monotonic_seconds()
        try:
            async with asyncio.timeout(CONFIRMATION_TIMEOUT_SECONDS), self._lock:
                if self._started_seconds < asked_seconds:
                    await self._read()
        except TimeoutError:
            self._metrics.count("forward.versions_unconfirmed")
            return False
        if not self._has_succeeded:
            self._metrics.count("forward.versions_unconfirmed")
        return self._has_succeeded

    async def _read(self) -> None:
        """Reads registry and record, some time after the reading before."""
        now = self._clock.monotonic_seconds()
        await asyncio.sleep(max(0.0, self._started_seconds + MIN_READ_INTERVAL_SECONDS - now))
        self._metrics.count("forward.versions_asked")
        started_seconds = self._clock.monotonic_seconds()
        has_succeeded = True
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._read_registry())
                group.create_task(self._read_record())
        except* StoreError as errors:
            has_succeeded = False
            _log.info("versions not confirmed", fields={"error": errors.exceptions[0]})
        self._started_seconds, self._has_succeeded = started_seconds, has_succeeded
