"""Log of one answer's events, with a single writer and any number of readers."""

import asyncio
from collections.abc import AsyncIterator

from .messages import AnswerEvent, Failure


class AnswerLog:
    """An append-only log of the events of one answer.

    Event ids are consecutive and start at 1. The log is finished once, with or without a failure,
    and only when no event is missing.
    """

    __slots__ = (
        "_changed",
        "_events",
        "_failure",
        "_finished",
        "_is_another_run",
        "_reader_count",
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
        self._reader_count = 0
        self._was_read = False
        self._is_another_run = False

    @property
    def was_read(self) -> bool:
        """Whether a caller or peer may have received an event."""
        return self._was_read

    @property
    def is_another_run(self) -> bool:
        """Whether callers may have events of an earlier run of the request, which was lost."""
        return self._is_another_run

    @property
    def events(self) -> list[AnswerEvent]:
        """All events so far."""
        return self._events

    @property
    def last_event_id(self) -> int:
        """Id of the last event, or 0 without events."""
        return len(self._events)

    @property
    def finished(self) -> bool:
        """Whether the log is complete."""
        return self._finished

    @property
    def failure(self) -> Failure | None:
        """How the request failed, or None."""
        return self._failure

    @property
    def readers(self) -> int:
        """Number of callers and peers that are reading."""
        return self._reader_count

    @property
    def size_bytes(self) -> int:
        """Total size of the event data."""
        return sum(len(event.data) for event in self._events)

    def append(self, data: bytes) -> None:
        """Appends the next event.

        Args:
            data: JSON of the chunk.
        """
        self.append_event(AnswerEvent(event_id=len(self._events) + 1, data=data))

    def append_event(self, event: AnswerEvent) -> None:
        """Appends an event with a given id; ignores duplicates and events after a gap."""
        if event.event_id == len(self._events) + 1 and not self._finished:
            self._events.append(event)
            self._notify_change()

    def mark_read(self) -> None:
        """Records that events were sent to a peer, or that a caller has some already."""
        self._was_read = True

    def mark_as_another_run(self) -> None:
        """Records that the events are of another run than those that callers may have."""
        self._is_another_run = True

    def clear(self) -> None:
        """Removes all events; allowed only while `was_read` is false."""
        self._events.clear()

    def finish(self, failure: Failure | None = None) -> None:
        """Finishes the log; has no effect on a finished log."""
        if not self._finished:
            self._finished = True
            self._failure = failure
            self._notify_change()

    def add_reader(self) -> None:
        """Registers a reader."""
        self._reader_count += 1
        self._notify_reader_change()

    def remove_reader(self) -> None:
        """Unregisters a reader."""
        self._reader_count -= 1
        self._notify_reader_change()

    async def wait_for_reader_change(self, timeout_seconds: float | None = None) -> None:
        """Waits until the number of readers changes, or until the timeout."""
        changed = self._readers_changed
        try:
            await asyncio.wait_for(changed.wait(), timeout_seconds)
        except TimeoutError:
            return

    async def wait_for_change(self, timeout_seconds: float | None = None) -> None:
        """Waits until an event is appended or the log is finished, or until the timeout."""
        changed = self._changed
        try:
            await asyncio.wait_for(changed.wait(), timeout_seconds)
        except TimeoutError:
            return

    async def read_all(self) -> list[AnswerEvent]:
        """Waits until the log is finished and returns all events.

        Raises:
            RequestError: If the request failed.
        """
        while not self._finished:
            await self.wait_for_change()
        if self._failure is not None:
            raise self._failure.to_error()
        return self._events

    async def read(self, after_event_id: int = 0) -> AsyncIterator[AnswerEvent]:
        """Yields the events after the given id until the log is finished.

        Raises:
            RequestError: After the last event, if the request failed.
        """
        next_index = after_event_id
        while True:
            while next_index < len(self._events):
                self._was_read = True
                yield self._events[next_index]
                next_index += 1
            if self._finished:
                break
            await self.wait_for_change()
        if self._failure is not None:
            raise self._failure.to_error()

    def _notify_change(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _notify_reader_change(self) -> None:
        self._readers_changed.set()
        self._readers_changed = asyncio.Event()
