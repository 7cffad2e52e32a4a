"""Cuts a stream of server-sent events into whole events.

Only whole events are passed on: a stream that breaks off may go on at another server behind the
last whole one.
"""

MAX_EVENT_BYTES = 4 * 1024 * 1024


class EventTooLargeError(ValueError):
    """An event has no end within the limit."""


class EventSplitter:
    """Gathers bytes of a stream and gives out whole events."""

    __slots__ = ("_buffer", "count", "last_id")

    def __init__(self, *, last_id: int | None):
        """Creates a splitter.

        Args:
            last_id: Id of the last event that the caller holds already; None when it has none.
        """
        self._buffer = b""
        self.last_id = last_id
        self.count = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether a part of an event is held back."""
        return bool(self._buffer)

    def discard_partial_event(self) -> None:
        """Forgets the begun event of a stream that broke off."""
        self._buffer = b""

    def feed(self, chunk: bytes) -> bytes:
        """Takes in bytes and returns those of the events that are whole now.

        Events that the caller holds already are left out.

        Raises:
            EventTooLargeError: If an event grows beyond the limit.
        """
        data = self._buffer + chunk
        end = data.rfind(b"\n\n")
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise EventTooLargeError(f"no end of event within {MAX_EVENT_BYTES} bytes")
            self._buffer = data
            return b""
        self._buffer = data[end + 2 :]
        whole = []
        for event in data[:end].split(b"\n\n"):
            event_id = _find_id(event)
            if event_id is not None:
                if self.last_id is not None and event_id <= self.last_id:
                    continue
                self.last_id = event_id
                self.count += 1
            whole.append(event + b"\n\n")
        return b"".join(whole)


def _find_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
