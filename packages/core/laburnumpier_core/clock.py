"""Time sources.

Durations are measured with the clock of the running event loop, so that tests can run the whole
code on a virtual clock. Wall-clock time appears only in records that people read; no correctness
property depends on it.
"""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Provides monotonic time and wall-clock time."""

    def monotonic_seconds(self) -> float:
        """Returns seconds since an arbitrary start; never decreases."""

    def wall_seconds(self) -> float:
        """Returns seconds since the Unix epoch."""


class SystemClock:
    """Reads the event loop's clock and the system's wall clock."""

    __slots__ = ()

    def monotonic_seconds(self) -> float:
        """Returns the time of the running event loop in seconds."""
        return asyncio.get_running_loop().time()

    def wall_seconds(self) -> float:
        """Returns seconds since the Unix epoch."""
        return time.time()
