"""Structured logging: one JSON object a line on standard output.

Each line holds the time, the level, the part that speaks, a short sentence, and its fields. The
part is one of a small set of names such as `budget` or `fleet`; a line that belongs to a request
has its id in `request`. Lines are bounded a second for each kind, and writing never blocks: what
a reader does not take is dropped and counted.
"""

import logging
import os
import sys
import time
from collections.abc import Callable, MutableMapping
from typing import Any

import msgspec

LINES_PER_SECOND = 40
"""Most lines a second of one kind below warning, about four times a busy router's requests."""
WARNINGS_PER_SECOND = 200
"""Most lines a second of one kind from warning up, so that failures are kept longest."""
MAX_PENDING_BYTES = 256 * 1024
"""Bytes held back for a slow reader before lines are dropped."""


class PartLogger(logging.LoggerAdapter):
    """Adds the part and the given fields to each line."""

    def process(
        self, msg: Any, kwargs: MutableMapping[str, Any]
    ) -> tuple[str, MutableMapping[str, Any]]:
        """Moves the `fields` argument to where the handler finds it.

        Args:
            msg: The sentence.
            kwargs: Arguments of the logging call; `fields` holds the line's key-value pairs.

        Returns:
            The sentence and the arguments left for the logging library.
        """
        fields = kwargs.pop("fields", None) or {}
        part = self.extra["part"] if self.extra else "-"
        kwargs["extra"] = {"part": part, "fields": fields}
        return msg, kwargs


class LineBudget:
    """Counts lines of each kind and tells which are too many."""

    __slots__ = ("_counts", "_dropped", "_get_seconds", "_second")

    def __init__(self, *, get_seconds: Callable[[], float] = time.monotonic):
        """Creates an unused budget; `get_seconds` is the source of time."""
        self._get_seconds = get_seconds
        self._second = 0
        self._counts: dict[tuple[str, str], int] = {}
        self._dropped = 0

    def note_dropped(self) -> None:
        """Counts a line that was lost for another reason."""
        self._dropped += 1

    def take(self, part: str, sentence: str, limit: int) -> bool:
        """Counts a line and returns whether it may be written."""
        second = int(self._get_seconds())
        if second != self._second:
            self._second = second
            self._counts.clear()
        count = self._counts.get((part, sentence), 0) + 1
        self._counts[(part, sentence)] = count
        if count > limit:
            self._dropped += 1
            return False
        return True

    def take_dropped(self) -> int:
        """Returns how many lines were dropped since the last call."""
        dropped, self._dropped = self._dropped, 0
        return dropped


class JsonLineHandler(logging.Handler):
    """Writes lines to a descriptor without ever waiting for its reader."""

    def __init__(self, *, descriptor: int, budget: LineBudget | None = None):
        """Creates a handler.

        Args:
            descriptor: Where lines go; it is set not to block.
            budget: Bounds the lines of each kind.
        """
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._budget = budget or LineBudget()
        self._pending = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record, or drops and counts it."""
        part = getattr(record, "part", record.name)
        limit = WARNINGS_PER_SECOND if record.levelno >= logging.WARNING else LINES_PER_SECOND
        if not self._budget.take(part, str(record.msg), limit):
            return
        self._write()
        if len(self._pending) > MAX_PENDING_BYTES:
            self._budget.note_dropped()
            return
        self._pending += self._format_line(record, part)
        self._write()

    def _format_line(self, record: logging.LogRecord, part: str) -> bytes:
        content: dict[str, Any] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "part": part,
            "event": record.getMessage(),
        }
        dropped = self._budget.take_dropped()
        if dropped:
            content["lines_dropped"] = dropped
        content.update(getattr(record, "fields", {}))
        if record.exc_info:
            content["trace"] = logging.Formatter().formatException(record.exc_info)
        return msgspec.json.encode(content, enc_hook=str) + b"\n"

    def _write(self) -> None:
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, so nobody can be told.
                self._pending = b""
                return
            self._pending = self._pending[written:]


def get_part_logger(part: str) -> PartLogger:
    """Returns the logger of one part of the system.

    Args:
        part: The fixed name, for example `budget`.

    Returns:
        A logger adapter that accepts a `fields` dictionary on each call.
    """
    return PartLogger(logging.getLogger(f"laburnumpier.{part}"), {"part": part})


def configure_logging(level: str) -> None:
    """Sends all log lines to standard output.

    Args:
        level: Name of the lowest level that is printed, for example `INFO`.
    """
    handler = JsonLineHandler(descriptor=sys.stdout.fileno())
    logging.basicConfig(handlers=[handler], level=level.upper(), force=True)
