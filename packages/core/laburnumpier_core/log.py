"""Structured logging with a fixed prefix for each part.

A line reads `<time> <level> <part>: <short sentence> key=value ...`. The part is one of a
small set of names such as `budget` or `fleet`, so that one `grep` finds all lines of a part,
and the request id is given as `request=` wherever a line belongs to a request.
"""

import logging
from collections.abc import MutableMapping
from typing import Any

LOG_FORMAT = "%(asctime)s %(levelname)s %(message)s"


class PartLogger(logging.LoggerAdapter):
    """Adds the part's prefix and the given fields to each line."""

    def process(
        self, msg: Any, kwargs: MutableMapping[str, Any]
    ) -> tuple[str, MutableMapping[str, Any]]:
        """Builds the line from the sentence and the `fields` argument.

        Args:
            msg: The sentence.
            kwargs: Arguments of the logging call; `fields` holds the line's key-value pairs.

        Returns:
            The finished message and the arguments left for the logging library.
        """
        fields = kwargs.pop("fields", None) or {}
        part = self.extra["part"] if self.extra else "-"
        pairs = "".join(f" {key}={value}" for key, value in fields.items())
        return f"{part}: {msg}{pairs}", kwargs


def get_part_logger(part: str) -> PartLogger:
    """Returns the logger of one part of the system.

    Args:
        part: The fixed prefix, for example `budget`.

    Returns:
        A logger adapter that accepts a `fields` dictionary on each call.
    """
    return PartLogger(logging.getLogger(f"laburnumpier.{part}"), {"part": part})


def set_up_logging(level: str) -> None:
    """Sends all log lines to standard error.

    Args:
        level: Name of the lowest level that is printed, for example `INFO`.
    """
    logging.basicConfig(format=LOG_FORMAT, level=level.upper(), force=True)
