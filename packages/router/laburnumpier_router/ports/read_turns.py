"""Turns in which bodies are read while little memory is left.

Bodies that are read as a whole and grow beside each other may all be short of their ends when the
memory is used up. Read one after the other, each of them ends and makes room for the next one.
"""

import asyncio
from collections.abc import Callable

PAUSE_SECONDS = 0.02
"""Time without progress after which a body loses its turn to the next one."""
TURN_SECONDS = 0.1
"""Time after which it does so even with progress, as its server may be slow."""

Position = tuple[bool, int]
"""Place of a body in the order of turns; the least comes first."""


class ReadTurns:
    """Decides which body may be read further."""

    __slots__ = (
        "_holder",
        "_is_short",
        "_pause_seconds",
        "_timer",
        "_turn_seconds",
        "_until_seconds",
        "_waiting",
    )

    def __init__(
        self,
        *,
        is_short: Callable[[], bool],
        pause_seconds: float = PAUSE_SECONDS,
        turn_seconds: float = TURN_SECONDS,
    ):
        """Creates turns that nobody holds or waits for.

        Args:
            is_short: Returns whether so little memory is left that bodies take turns.
            pause_seconds: Time without progress after which a body loses its turn.
            turn_seconds: Time after which it does so even with progress.
        """
        self._is_short = is_short
        self._pause_seconds = pause_seconds
        self._turn_seconds = turn_seconds
        self._until_seconds = 0.0
        self._holder: Position | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._waiting: dict[Position, asyncio.Future[None]] = {}

    async def wait(self, position: Position) -> None:
        """Waits until a body may be read further; returns early if it ends."""
        if not self._is_short():
            return
        if self._holder == position:
            self._set_timer()
            return
        if self._holder is None:
            self._give_turn(position)
            return
        self._waiting[position] = asyncio.get_running_loop().create_future()
        try:
            await self._waiting[position]
        finally:
            del self._waiting[position]

    def end(self, position: Position) -> None:
        """Ends the turn of a body that is whole or lost, and its wait."""
        self._wake(position)
        if not self._is_short():
            self._end_turns()
        elif self._holder == position:
            self._pass_on()

    def _give_turn(self, position: Position) -> None:
        self._holder = position
        self._until_seconds = asyncio.get_running_loop().time() + self._turn_seconds
        self._set_timer()

    def _set_timer(self) -> None:
        """Lets the turn pass on when its holder has made no progress, or has had its time."""
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        end_seconds = min(loop.time() + self._pause_seconds, self._until_seconds)
        self._timer = loop.call_at(end_seconds, self._pass_on)

    def _pass_on(self) -> None:
        """Gives the turn to the first that waits; to nobody if none does."""
        self._cancel_timer()
        self._holder = None
        first = min((p for p, woken in self._waiting.items() if not woken.done()), default=None)
        if first is not None:
            self._give_turn(first)
            self._wake(first)

    def _end_turns(self) -> None:
        self._cancel_timer()
        self._holder = None
        for position in self._waiting:
            self._wake(position)

    def _wake(self, position: Position) -> None:
        woken = self._waiting.get(position)
        if woken is not None and not woken.done():
            woken.set_result(None)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
