"""Limits this process to its share of the store's write rate.

The store accepts a fixed number of writes per second from the whole fleet. Each process may use
an equal share of that rate, with a short burst. While no write is available, changes are batched
into the next one, so the rate of store calls does not grow with the rate of requests.
"""

import asyncio

from laburnumpier_core.clock import Clock

BURST_SECONDS = 1.0
MINIMUM_BURST_WRITES = 4.0
MINIMUM_SLEEP_SECONDS = 0.001


class WritePacer:
    """Token bucket that limits the rate of store writes."""

    __slots__ = (
        "_available_writes",
        "_clock",
        "_fleet_rate",
        "_member_count",
        "_refilled_seconds",
    )

    def __init__(self, *, clock: Clock, fleet_writes_per_second: float):
        """Creates a bucket with the minimum burst available.

        Args:
            clock: Source of monotonic time.
            fleet_writes_per_second: Writes per second allowed for the whole fleet.
        """
        self._clock = clock
        self._fleet_rate = fleet_writes_per_second
        self._member_count = 1
        self._available_writes = MINIMUM_BURST_WRITES
        self._refilled_seconds = 0.0

    @property
    def writes_per_second(self) -> float:
        """This process's share of the fleet's write rate."""
        return self._fleet_rate / self._member_count

    def set_member_count(self, count: int) -> None:
        """Sets the number of processes that share the rate."""
        self._member_count = max(1, count)

    async def acquire_write(self) -> None:
        """Waits until a write is available, and takes it."""
        self._refill()
        while self._available_writes < 1.0:
            missing = 1.0 - self._available_writes
            # A sleep shorter than the resolution of the clock would make this a busy loop.
            await asyncio.sleep(max(MINIMUM_SLEEP_SECONDS, missing / self.writes_per_second))
            self._refill()
        self._available_writes -= 1.0

    def _refill(self) -> None:
        now = self._clock.monotonic_seconds()
        rate = self.writes_per_second
        limit = max(MINIMUM_BURST_WRITES, rate * BURST_SECONDS)
        added = (now - self._refilled_seconds) * rate
        self._available_writes = min(limit, self._available_writes + added)
        self._refilled_seconds = now
