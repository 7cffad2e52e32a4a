"""Limits on the size of servers' responses to forwarded requests."""

MAX_BODY_BYTES = 4 * 1024 * 1024
"""Size of a body that is read into memory, as large as the bodies that callers send."""
MAX_EVENT_BYTES = 256 * 1024
"""Size of one event of a stream."""
MAX_BYTES_PER_TOKEN = 4096
"""Size of the part of a stream that stands for one output token, beside `MAX_BODY_BYTES`."""
MAX_EVENTS_WITHOUT_ID = 256
"""Events without an id, such as comments, beside one for each output token."""


class StreamLimitError(ValueError):
    """A stream has passed a limit.

    Attributes:
        reason: Short identifier of the limit for logs.
        spoils_stream: Whether events that were sent to the caller before are in doubt too, so that
            no other server may go on after them.
    """

    def __init__(self, reason: str, limit: int):
        """Creates the error of a limit that was passed."""
        super().__init__(f"{reason}: more than {limit}")
        self.reason = reason
        self.spoils_stream = reason != "event_too_large"


class StreamLimits:
    """Counts what one server sends as a stream, against the output tokens of the request."""

    __slots__ = ("_event_count", "_max_output_tokens", "_other_event_count", "_received_bytes")

    def __init__(self, *, max_output_tokens: int):
        """Creates the limits of a stream that has not begun.

        Args:
            max_output_tokens: Upper limit of tokens in the response, each of which may be an
                event; 0 if the request states none, so that only bytes are limited.
        """
        self._max_output_tokens = max_output_tokens
        self._received_bytes = 0
        self._event_count = 0
        self._other_event_count = 0

    def count_bytes(self, size_bytes: int) -> None:
        """Counts received bytes.

        Raises:
            StreamLimitError: If the stream is too large.
        """
        self._received_bytes += size_bytes
        max_bytes = MAX_BODY_BYTES + self._max_output_tokens * MAX_BYTES_PER_TOKEN
        if self._received_bytes > max_bytes:
            raise StreamLimitError("stream_too_large", max_bytes)

    def count_events(self, count: int, other_count: int) -> None:
        """Counts events with and without an id.

        Raises:
            StreamLimitError: If there are more of either than the request allows.
        """
        self._event_count += count
        self._other_event_count += other_count
        max_events = self._max_output_tokens
        if not max_events:
            return
        if self._event_count > max_events:
            raise StreamLimitError("too_many_events", max_events)
        max_others = max_events + MAX_EVENTS_WITHOUT_ID
        if self._other_event_count > max_others:
            raise StreamLimitError("too_many_events", max_others)

    def check_total(self, count: int) -> None:
        """Checks the number of events with an id that are sent to the caller, of all servers.

        Raises:
            StreamLimitError: If there are more than the request allows.
        """
        if 0 < self._max_output_tokens < count:
            raise StreamLimitError("too_many_events", self._max_output_tokens)
