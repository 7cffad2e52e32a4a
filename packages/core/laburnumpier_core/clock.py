"""Time sources.

Durations come from the running event loop, so that a test can run the whole code on a virtual
clock. Wall-clock time is used in records for people only; no right rests on it.
"""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Gives the two kinds of time that the routers use."""

    def monotonic_seconds(self) -> float:
        """Returns seconds since an arbitrary start, never going back."""

    def wall_seconds(self) -> float:
        """Returns seconds since the Unix epoch."""


class SystemClock:
    """Reads the event loop's clock and the machine's wall clock."""

    __slots__ = ()

    def monotonic_seconds(self) -> float:
        """Returns the running event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def wall_seconds(self) -> float:
        """Returns seconds since the Unix epoch."""
        return time.time()
