"""An asyncio event loop that runs in virtual time, for deterministic simulation.

When no callback is ready, the clock advances to the next timer without waiting. The code under
test runs unchanged, hours of virtual time take seconds, and a run is repeatable by its seed.
The loop doesn't support sockets.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

MAX_SELECTS_WITHOUT_PROGRESS = 200_000


class _VirtualTimeSelector(selectors.DefaultSelector):
    """A selector that advances the virtual clock by its timeout instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_seconds = 0.0
        self._selects_without_progress = 0

    def select(self, timeout: float | None = None) -> list:
        """Advances the clock by the timeout and polls without waiting.

        Raises:
            RuntimeError: If no timer is pending or a busy loop keeps the clock from advancing.
        """
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait and no timer is pending")
        self._selects_without_progress += 1
        if timeout > 0:
            self._selects_without_progress = 0
        if self._selects_without_progress > MAX_SELECTS_WITHOUT_PROGRESS:
            raise RuntimeError("a busy loop keeps the virtual time from advancing")
        self.now_seconds += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is the virtual clock of its selector."""

    def __init__(self):
        """Creates a loop whose clock starts at 0."""
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)
        # Timers within 1 microsecond are due together. A smaller resolution can leave a timer that
        # rounding keeps just out of reach, so that the clock never advances.
        self._clock_resolution = 1e-6

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._virtual_selector.now_seconds


def run_in_virtual_time(main: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine to completion in virtual time and returns its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


class VirtualClock:
    """A `Clock` that follows the running virtual loop."""

    __slots__ = ()

    def monotonic_seconds(self) -> float:
        """Returns the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def wall_seconds(self) -> float:
        """Returns the loop's time plus a fixed start on 14 November 2023."""
        return 1_700_000_000.0 + asyncio.get_running_loop().time()
