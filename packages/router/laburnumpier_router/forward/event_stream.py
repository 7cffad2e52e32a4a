"""Splits a stream of server-sent events into complete events.

Only complete events are forwarded, so that an interrupted stream can be resumed at another server
after the last complete one.
"""

MAX_EVENT_BYTES = 4 * 1024 * 1024


class EventTooLargeError(ValueError):
    """An event exceeds the size limit."""


class EventSplitter:
    """Buffers the bytes of a stream and returns complete events.

    Attributes:
        last_event_id: Id of the last event that was returned or that the caller had before.
        event_count: Number of events with an id that were returned.
        has_unnumbered_event: Whether an event without an id was returned. The stream cannot be
            resumed then, because the next server would send that event again.
    """

    __slots__ = ("_buffer", "event_count", "has_unnumbered_event", "last_event_id")

    def __init__(self, *, last_event_id: int | None):
        """Creates a splitter.

        Args:
            last_event_id: Id of the last event that the caller has received, if any.
        """
        self._buffer = b""
        self.last_event_id = last_event_id
        self.event_count = 0
        self.has_unnumbered_event = False

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    def discard_partial_event(self) -> None:
        """Discards the incomplete event of an interrupted stream."""
        self._buffer = b""

    def feed(self, chunk: bytes) -> bytes:
        """Adds bytes to the buffer and returns the events that are complete now.

        Events that the caller has already received are left out.

        Raises:
            EventTooLargeError: If an incomplete event exceeds `MAX_EVENT_BYTES`.
        """
        data = self._buffer + chunk
        end = data.rfind(b"\n\n")
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise EventTooLargeError(f"event is larger than {MAX_EVENT_BYTES} bytes")
            self._buffer = data
            return b""
        self._buffer = data[end + 2 :]
        complete = []
        for event in data[:end].split(b"\n\n"):
            event_id = _parse_event_id(event)
            if event_id is not None:
                if self.last_event_id is not None and event_id <= self.last_event_id:
                    continue
                self.last_event_id = event_id
                self.event_count += 1
            elif _has_data(event):
                self.has_unnumbered_event = True
            complete.append(event + b"\n\n")
        return b"".join(complete)


def _has_data(event: bytes) -> bool:
    """Whether an event has data; comments that keep a connection open have none."""
    return any(line.startswith(b"data:") for line in event.split(b"\n"))


def _parse_event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
