"""The events of one answer, written by one task and read by any number of callers."""

import asyncio
from collections.abc import AsyncIterator

from .messages import AnswerEvent, Failure


class AnswerLog:
    """An append-only list of events with an end.

    Events have consecutive ids from 1. The end, whole or failed, is set once and only after it
    is known that no event is missing.
    """

    __slots__ = (
        "_changed",
        "_events",
        "_failure",
        "_finished",
        "_readers",
        "_readers_changed",
        "_was_read",
    )

    def __init__(self):
        """Creates an empty log."""
        self._events: list[AnswerEvent] = []
        self._finished = False
        self._failure: Failure | None = None
        self._changed = asyncio.Event()
        self._readers_changed = asyncio.Event()
        self._readers = 0
        self._was_read = False

    @property
    def was_read(self) -> bool:
        """Whether any event may have left this process."""
        return self._was_read

    @property
    def events(self) -> list[AnswerEvent]:
        """All events so far."""
        return self._events

    @property
    def last_event_id(self) -> int:
        """Id of the newest event; 0 before the first."""
        return len(self._events)

    @property
    def finished(self) -> bool:
        """Whether no more events follow."""
        return self._finished

    @property
    def failure(self) -> Failure | None:
        """How the request failed, or None."""
        return self._failure

    @property
    def readers(self) -> int:
        """Callers and peers that read the answer now."""
        return self._readers

    @property
    def size_bytes(self) -> int:
        """Total size of the events."""
        return sum(len(event.data) for event in self._events)

    def append(self, data: bytes) -> None:
        """Adds the next event, given as the JSON text of its chunk."""
        self.append_event(AnswerEvent(event_id=len(self._events) + 1, data=data))

    def append_event(self, event: AnswerEvent) -> None:
        """Adds an event that has its id already; one that is known or leaves a gap is dropped."""
        if event.event_id == len(self._events) + 1 and not self._finished:
            self._events.append(event)
            self._wake()

    def mark_read(self) -> None:
        """Notes that events left this process."""
        self._was_read = True

    def restart(self) -> None:
        """Drops all events, which is allowed only while none has left this process."""
        self._events.clear()

    def finish(self, failure: Failure | None = None) -> None:
        """Ends the answer; later ends are ignored."""
        if not self._finished:
            self._finished = True
            self._failure = failure
            self._wake()

    def add_reader(self) -> None:
        """Counts a reader."""
        self._readers += 1
        self._wake_watchers()

    def remove_reader(self) -> None:
        """Counts the end of a reader."""
        self._readers -= 1
        self._wake_watchers()

    async def wait_for_readers(self, timeout_seconds: float | None = None) -> None:
        """Waits until a reader comes or goes, or until the timeout."""
        changed = self._readers_changed
        try:
            await asyncio.wait_for(changed.wait(), timeout_seconds)
        except TimeoutError:
            return

    async def wait_for_change(self, timeout_seconds: float | None = None) -> None:
        """Waits until an event or the end arrives, or until the timeout."""
        changed = self._changed
        try:
            await asyncio.wait_for(changed.wait(), timeout_seconds)
        except TimeoutError:
            return

    async def read_all(self) -> list[AnswerEvent]:
        """Waits for the end and returns all events.

        Raises:
            RequestError: If the request failed.
        """
        while not self._finished:
            await self.wait_for_change()
        if self._failure is not None:
            raise self._failure.to_error()
        return self._events

    async def read(self, after_event_id: int = 0) -> AsyncIterator[AnswerEvent]:
        """Yields all events behind the given one up to the end.

        Raises:
            RequestError: After the last event, if the request failed.
        """
        position = after_event_id
        while True:
            while position < len(self._events):
                self._was_read = True
                yield self._events[position]
                position += 1
            if self._finished:
                break
            await self.wait_for_change()
        if self._failure is not None:
            raise self._failure.to_error()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _wake_watchers(self) -> None:
        self._readers_changed.set()
        self._readers_changed = asyncio.Event()
