"""Splits a stream of server-sent events into complete events.

Only complete events are forwarded, so that an interrupted stream can be resumed at another server
after the last complete one.
"""

import re

from .response_limits import MAX_EVENT_BYTES, StreamLimitError, StreamLimits

_LINE = re.compile(rb"([A-Za-z][\w.-]*)?(:.*)?")
"""A line of an event, or its beginning: a field of any name, a comment, or nothing."""
_EVENT_ID = re.compile(rb"[0-9]{1,18}")
_KNOWN_LINE = re.compile(rb"(id|data|event|retry)?(:.*)?")
"""A line as every event has one; beside it, servers may add fields of their own."""


class NoEventError(ValueError):
    """A stream holds something else than events, such as the text of an error."""


class EventSplitter:
    """Buffers the bytes of a stream and returns complete events.

    Attributes:
        last_event_id: Id of the last event that was returned or that the caller had before.
        event_count: Number of events with an id that were returned.
        has_unnumbered_event: Whether an event without an id was returned. The stream cannot be
            resumed then, because the next server would send that event again.
        has_event_due: Whether a server had begun an event that none has completed, so that more
            follows, whoever says that nothing does.
        is_rest: Whether the caller has a part of the response from another server, so that only
            events are passed on. The first server's own bytes are passed on as they are.
    """

    __slots__ = (
        "_buffer",
        "_limits",
        "_max_output_tokens",
        "event_count",
        "has_event_due",
        "has_unnumbered_event",
        "is_rest",
        "last_event_id",
    )

    def __init__(self, *, last_event_id: int | None, max_output_tokens: int = 0):
        """Creates a splitter.

        Args:
            last_event_id: Id of the last event that the caller has received, if any.
            max_output_tokens: Upper limit of tokens in the response; 0 if there is none.
        """
        self._buffer = b""
        self._max_output_tokens = max_output_tokens
        self._limits = StreamLimits(max_output_tokens=max_output_tokens)
        self.last_event_id = last_event_id
        self.event_count = 0
        self.has_unnumbered_event = False
        self.has_event_due = False
        self.is_rest = False

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    def count_partial_bytes(self) -> int:
        """Returns the size of the incomplete event that is buffered."""
        return len(self._buffer)

    def discard_partial_event(self) -> None:
        """Discards the incomplete event of an interrupted stream; another server may go on."""
        self.has_event_due = self.has_event_due or _has_fields(self._buffer)
        self._buffer = b""
        self._limits = StreamLimits(max_output_tokens=self._max_output_tokens)

    def feed(self, chunk: bytes) -> bytes:
        """Adds bytes to the buffer and returns the events that are complete now.

        Events that the caller has already received are left out. If a limit is passed, none of
        the events that are complete now is returned. The same holds if one is no event.

        Raises:
            StreamLimitError: If an event, or the stream, is larger than the request allows.
            NoEventError: If the rest of a stream holds something else than events.
        """
        self._limits.count_bytes(len(chunk))
        data = self._buffer + chunk
        end = data.rfind(b"\n\n")
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise StreamLimitError("event_too_large", MAX_EVENT_BYTES)
            self._buffer = data
            return b""
        if self.is_rest and not all(map(_is_event, data[:end].split(b"\n\n"))):
            raise NoEventError("the rest of the stream holds something else than events")
        events = [(_parse_event_id(event), event) for event in data[:end].split(b"\n\n")]
        id_count = sum(event_id is not None for event_id, _ in events)
        self._limits.count_events(id_count, len(events) - id_count)
        last_event_id, new_count, complete = self.last_event_id, 0, []
        has_unnumbered_event, has_new_data = self.has_unnumbered_event, False
        for event_id, event in events:
            if event_id is not None:
                if last_event_id is not None and event_id <= last_event_id:
                    continue
                last_event_id = event_id
                new_count += 1
            elif _has_data(event):
                has_unnumbered_event = has_new_data = True
            complete.append(event + b"\n\n")
        self._limits.check_total(self.event_count + new_count)
        self._buffer = data[end + 2 :]
        self.last_event_id = last_event_id
        self.event_count += new_count
        self.has_unnumbered_event = has_unnumbered_event
        if new_count or has_new_data:
            self.has_event_due = False
        return b"".join(complete)


def _has_fields(event: bytes) -> bool:
    """Whether an event, or its beginning, has fields; comments and other texts have none."""
    lines = event.split(b"\n")
    has_field = any(line and not line.startswith(b":") for line in lines)
    return has_field and all(map(_LINE.fullmatch, lines))


def _is_event(text: bytes) -> bool:
    """Whether a text between empty lines is an event or a comment."""
    lines = text.split(b"\n")
    return any(map(_KNOWN_LINE.fullmatch, lines)) and all(map(_LINE.fullmatch, lines))


def _has_data(event: bytes) -> bool:
    """Whether an event has data; comments that keep a connection open have none."""
    return any(line.startswith(b"data:") for line in event.split(b"\n"))


def _parse_event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if _EVENT_ID.fullmatch(text) else None
    return None
