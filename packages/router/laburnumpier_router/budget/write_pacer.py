"""Keeps this process within its share of the store's write rate.

The platform's store takes a fixed number of writes a second from the whole fleet. Each process
may use an equal share of it, and saves up a short burst. While the bucket is empty, changes
gather and ride in the next write, so the rate of store calls does not grow with the rate of
requests.
"""

import asyncio

from laburnumpier_core.clock import Clock

BURST_SECONDS = 1.0
MINIMUM_BURST_WRITES = 4.0
MINIMUM_SLEEP_SECONDS = 0.001


class WritePacer:
    """A token bucket of store writes."""

    __slots__ = ("_clock", "_fleet_rate", "_last_seconds", "_member_count", "_saved_writes")

    def __init__(self, *, clock: Clock, fleet_writes_per_second: float):
        """Creates a full bucket.

        Args:
            clock: Source of monotonic time.
            fleet_writes_per_second: Writes a second that the whole fleet may make.
        """
        self._clock = clock
        self._fleet_rate = fleet_writes_per_second
        self._member_count = 1
        self._saved_writes = MINIMUM_BURST_WRITES
        self._last_seconds = 0.0

    @property
    def writes_per_second(self) -> float:
        """This process's share of the rate."""
        return self._fleet_rate / self._member_count

    def set_member_count(self, count: int) -> None:
        """Tells how many processes share the rate."""
        self._member_count = max(1, count)

    async def wait_for_turn(self) -> None:
        """Waits until one write may be made."""
        self._refill()
        while self._saved_writes < 1.0:
            missing = 1.0 - self._saved_writes
            # A shorter sleep than the clock can tell would turn the wait into a busy loop.
            await asyncio.sleep(max(MINIMUM_SLEEP_SECONDS, missing / self.writes_per_second))
            self._refill()
        self._saved_writes -= 1.0

    def _refill(self) -> None:
        now = self._clock.monotonic_seconds()
        rate = self.writes_per_second
        limit = max(MINIMUM_BURST_WRITES, rate * BURST_SECONDS)
        earned = (now - self._last_seconds) * rate
        self._saved_writes = min(limit, self._saved_writes + earned)
        self._last_seconds = now
