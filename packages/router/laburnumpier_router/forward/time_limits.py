"""Time limits of open requests, which a stopping router shortens to the time it has left."""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator


class TimeLimits:
    """The time limits of all open requests of a router."""

    __slots__ = ("_end_seconds", "_open")

    def __init__(self):
        """Creates limits that only the requests themselves set."""
        self._end_seconds = math.inf
        self._open: set[asyncio.Timeout] = set()

    @property
    def end_seconds(self) -> float:
        """Event loop time at which every request has to end; infinity while there is none."""
        return self._end_seconds

    @contextlib.asynccontextmanager
    async def limit(self, until_seconds: float) -> AsyncIterator[None]:
        """Limits the block to an event loop time, or to the common end if that comes first.

        Raises:
            TimeoutError: If the block has not ended by then.
        """
        async with asyncio.timeout_at(min(until_seconds, self._end_seconds)) as timeout:
            self._open.add(timeout)
            try:
                yield
            finally:
                self._open.discard(timeout)

    def end_all_at(self, end_seconds: float) -> None:
        """Sets the common end of all open and all later requests."""
        self._end_seconds = end_seconds
        for timeout in self._open:
            if timeout.when() > end_seconds:
                timeout.reschedule(end_seconds)
