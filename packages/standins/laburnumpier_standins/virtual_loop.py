"""An asyncio event loop on a virtual clock.

Whenever nothing is ready to run, time jumps to the next timer. Code under test runs unchanged,
hours pass in moments, and a run with the same seed is the same run. No sockets can be used on
this loop.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

MAX_ROUNDS_WITHOUT_TIME = 200_000


class _TimeJumpSelector(selectors.DefaultSelector):
    """Never waits: the time that the loop would wait is added to the virtual clock."""

    def __init__(self):
        super().__init__()
        self.now_seconds = 0.0
        self._rounds_without_time = 0

    def select(self, timeout: float | None = None) -> list:
        """Returns at once after moving the clock."""
        if timeout is None:
            raise RuntimeError("all tasks wait for something that no timer will bring")
        self._rounds_without_time += 1
        if timeout > 0:
            self._rounds_without_time = 0
        if self._rounds_without_time > MAX_ROUNDS_WITHOUT_TIME:
            raise RuntimeError("a task waits in a busy loop: time does not go on")
        self.now_seconds += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """The event loop with the jumping clock."""

    def __init__(self):
        """Creates a loop whose time starts at 0."""
        self._jump_selector = _TimeJumpSelector()
        super().__init__(self._jump_selector)
        # Timers this close count as due together, so that the clock always moves on.
        self._clock_resolution = 1e-6

    def time(self) -> float:
        """Returns virtual seconds."""
        return self._jump_selector.now_seconds


def run_in_virtual_time(main: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine to its end on a virtual clock.

    Args:
        main: The coroutine.

    Returns:
        Its result.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


class VirtualClock:
    """A `Clock` whose wall time follows the running virtual loop."""

    __slots__ = ()

    def monotonic_seconds(self) -> float:
        """Returns the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def wall_seconds(self) -> float:
        """Returns the loop's time on a fixed day."""
        return 1_700_000_000.0 + asyncio.get_running_loop().time()
