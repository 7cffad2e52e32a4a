"""Structured logging to standard output, one JSON object per line.

Each line holds the time, the level, the part of the system that logged it, the event text and
additional fields. The part is one of a small set of names such as `budget` or `fleet`; a line
that belongs to a request has the request id in `request`. The rate of lines with the same part
and event is limited, and writing never blocks: lines that the reader does not consume are
dropped and counted.
"""

import logging
import os
import sys
import time
from collections.abc import Callable, MutableMapping
from typing import Any

import msgspec

MAX_LINES_PER_SECOND = 40
"""Limit for the same event below WARNING; about four times the request rate of a busy router."""
MAX_WARNINGS_PER_SECOND = 200
"""Limit for the same event from WARNING up; higher, so that failures are dropped last."""
MAX_PENDING_BYTES = 256 * 1024
"""Size of the buffer for a slow reader; above it, new lines are dropped."""


class PartLogger(logging.LoggerAdapter):
    """Adds the part name and the given fields to each log record."""

    def process(
        self, msg: Any, kwargs: MutableMapping[str, Any]
    ) -> tuple[str, MutableMapping[str, Any]]:
        """Moves the `fields` argument into `extra`, where the handler reads it.

        Args:
            msg: Text of the event.
            kwargs: Keyword arguments of the logging call; `fields` holds the key-value pairs.

        Returns:
            The text and the keyword arguments for the logging library.
        """
        fields = kwargs.pop("fields", None) or {}
        part = self.extra["part"] if self.extra else "-"
        kwargs["extra"] = {"part": part, "fields": fields}
        return msg, kwargs


class LogRateLimiter:
    """Limits the lines per second for each pair of part and event, and counts dropped lines."""

    __slots__ = ("_counts", "_current_second", "_dropped", "_get_seconds")

    def __init__(self, *, get_seconds: Callable[[], float] = time.monotonic):
        """Creates a limiter that reads the time from `get_seconds`."""
        self._get_seconds = get_seconds
        self._current_second = 0
        self._counts: dict[tuple[str, str], int] = {}
        self._dropped = 0

    def count_dropped_line(self) -> None:
        """Counts a line that was dropped for a reason other than the rate limit."""
        self._dropped += 1

    def allow(self, part: str, event: str, limit: int) -> bool:
        """Counts a line and returns whether it is within the limit; a rejected line is dropped."""
        second = int(self._get_seconds())
        if second != self._current_second:
            self._current_second = second
            self._counts.clear()
        count = self._counts.get((part, event), 0) + 1
        self._counts[(part, event)] = count
        if count > limit:
            self._dropped += 1
            return False
        return True

    def reset_dropped_count(self) -> int:
        """Returns the number of lines dropped since the last call and resets it."""
        dropped, self._dropped = self._dropped, 0
        return dropped


class JsonLineHandler(logging.Handler):
    """Writes JSON lines to a file descriptor without blocking on its reader."""

    def __init__(self, *, descriptor: int, rate_limiter: LogRateLimiter | None = None):
        """Creates a handler.

        Args:
            descriptor: File descriptor to write to; it is switched to non-blocking mode.
            rate_limiter: Limits the lines per second; a default one when None.
        """
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rate_limiter = rate_limiter or LogRateLimiter()
        self._pending = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or drops and counts it."""
        part = getattr(record, "part", record.name)
        limit = (
            MAX_WARNINGS_PER_SECOND if record.levelno >= logging.WARNING else MAX_LINES_PER_SECOND
        )
        if not self._rate_limiter.allow(part, str(record.msg), limit):
            return
        self._flush_pending()
        if len(self._pending) > MAX_PENDING_BYTES:
            self._rate_limiter.count_dropped_line()
            return
        self._pending += self._format_line(record, part)
        self._flush_pending()

    def _format_line(self, record: logging.LogRecord, part: str) -> bytes:
        content: dict[str, Any] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "part": part,
            "event": record.getMessage(),
        }
        dropped = self._rate_limiter.reset_dropped_count()
        if dropped:
            content["lines_dropped"] = dropped
        content.update(getattr(record, "fields", {}))
        if record.exc_info:
            content["trace"] = logging.Formatter().formatException(record.exc_info)
        return msgspec.json.encode(content, enc_hook=str) + b"\n"

    def _flush_pending(self) -> None:
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, so the error cannot be reported.
                self._pending = b""
                return
            self._pending = self._pending[written:]


def get_part_logger(part: str) -> PartLogger:
    """Returns the logger of a part of the system.

    Args:
        part: Name of the part, for example `budget`.

    Returns:
        A logger adapter whose calls accept a `fields` dictionary.
    """
    return PartLogger(logging.getLogger(f"laburnumpier.{part}"), {"part": part})


def configure_logging(level: str) -> None:
    """Configures the root logger to write JSON lines to standard output.

    Args:
        level: Name of the lowest level to write, for example `INFO`.
    """
    handler = JsonLineHandler(descriptor=sys.stdout.fileno())
    logging.basicConfig(handlers=[handler], level=level.upper(), force=True)
