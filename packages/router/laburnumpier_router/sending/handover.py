"""Hands a request over from a silent server to one that has taken it.

A sound server may fall silent for a second or so and go on, while another one may have no room, or
be silent too. So the exchange with the silent server goes on until another one, which answers, has
begun to answer this request or has kept it for some time without rejecting it. Both must not work
on the request for long, which bounds that time. A server that goes on meanwhile keeps the request.
"""

import asyncio

TAKE_OVER_SECONDS = 0.25
"""Time after which a server that has not rejected a request counts as having taken it. Two servers
may work on one request for at most 0.4 s, the close of the first exchange included."""


class HandedOverError(Exception):
    """Another server has taken the request; the exchange with the silent one is to be closed."""


class Handover:
    """An attempt at another server, and the agreement on which of the two servers goes on."""

    __slots__ = ("_left", "_taken", "_task", "_until_seconds")

    def __init__(self, *, now_seconds: float):
        """Creates a handover without an attempt.

        Args:
            now_seconds: Monotonic time at which the attempt begins.
        """
        self._until_seconds = now_seconds + TAKE_OVER_SECONDS
        self._taken = asyncio.Event()
        self._left = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self, task: asyncio.Task[None]) -> None:
        """Sets the attempt, which calls `take_over` before it passes on any part of an answer."""
        self._task = task

    def get_remaining(self, now_seconds: float) -> float:
        """Returns the seconds after which the request counts as taken without an answer."""
        return max(0.0, self._until_seconds - now_seconds)

    async def take_over(self) -> None:
        """Tells that the other server has the request, and waits until the silent one is left."""
        self._taken.set()
        await self._left.wait()

    async def wait_until_taken(self) -> bool:
        """Returns whether the other server has taken the request; False if the attempt failed."""
        taken = asyncio.ensure_future(self._taken.wait())
        try:
            await asyncio.wait({self._task, taken}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            taken.cancel()
        return self._taken.is_set()

    async def go_on(self) -> None:
        """Lets the attempt go on after the silent server was left, and waits for its end.

        Raises:
            ServerAttemptError: If the other server does not deliver a response either.
            HandedOverError: If a third server has taken the request over from it.
        """
        self._left.set()
        await self._task

    def get_failure(self) -> BaseException | None:
        """Returns the error of an attempt that has ended; None if it was cancelled."""
        return None if self._task.cancelled() else self._task.exception()

    async def cancel(self) -> None:
        """Cancels the attempt unless it has ended."""
        if self._task is not None and not self._task.done():
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
