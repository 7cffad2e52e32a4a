"""Shares the event loop's time among connections whose bytes take long to parse."""

import asyncio
import collections
import time
from typing import Protocol

TURN_SECONDS = 0.002
"""Time in one turn of the event loop for all waiting connections together."""


class SlicedParsing(Protocol):
    """A connection with bytes that are parsed in slices."""

    def parse_slice(self) -> bool:
        """Parses the next slice; returns whether another one can be parsed at once."""


class ParseQueue:
    """Lets waiting connections parse one slice after the other, in turn."""

    __slots__ = ("_is_scheduled", "_waiting")

    def __init__(self):
        """Creates an empty queue."""
        self._waiting: collections.OrderedDict[SlicedParsing, None] = collections.OrderedDict()
        self._is_scheduled = False

    @property
    def waiting_count(self) -> int:
        """Number of connections that wait."""
        return len(self._waiting)

    def add(self, connection: SlicedParsing) -> None:
        """Lets a connection wait for its turn, once however often it is added."""
        self._waiting[connection] = None
        self._schedule()

    def remove(self, connection: SlicedParsing) -> None:
        """Removes a connection if it waits."""
        self._waiting.pop(connection, None)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_turn)

    def _run_turn(self) -> None:
        loop = asyncio.get_running_loop()
        self._is_scheduled = False
        # The loop's own time stands still within a turn.
        end_seconds = time.monotonic() + TURN_SECONDS
        while self._waiting:
            connection, _ = self._waiting.popitem(last=False)
            if connection.parse_slice():
                self._waiting[connection] = None
            if time.monotonic() >= end_seconds:
                break
        if self._waiting and not loop.is_closed():
            self._schedule()
