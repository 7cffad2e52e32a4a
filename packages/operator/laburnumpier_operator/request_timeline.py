"""Reconstructs the timeline of a request from the logs of the routers.

Reads the JSON log lines of any number of routers, selects the lines of one request id and sorts
them by time, together with the state changes of the routers that handled the request.
"""

import dataclasses
import pathlib
from collections.abc import Iterable, Iterator
from typing import Any

from laburnumpier_core.decoding import decode_json
from laburnumpier_core.errors import UnreadableDataError

ROUTER_STATE_EVENTS = frozenset(
    {
        "configuration in force",
        "registry not reached",
        "server seen",
        "server changed",
        "server gone",
        "store call failed; changes wait",
        "stop signal received",
        "graceful stop begins",
        "connections closing",
        "connections closed",
        "graceful stop done",
        "router started",
    }
)
WORKSPACE_STATE_EVENTS = frozenset({"drew tokens", "borrowed tokens", "lender is silent"})
STATE_WINDOW_SECONDS = 10.0
"""State changes up to this long before the first line of a request belong to its timeline."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """A parsed log line; `source` is the name of the file that holds it."""

    source: str
    time: float
    part: str
    event: str
    fields: dict[str, Any]


def read_log_lines(paths: Iterable[str]) -> Iterator[LogLine]:
    """Yields the lines of log files; skips lines that are not JSON log lines.

    Text before the first `{` of a line is ignored.

    Args:
        paths: Paths of the log files.

    Raises:
        OSError: If a file cannot be read.
    """
    for path in paths:
        for text in pathlib.Path(path).read_text(encoding="utf-8").splitlines():
            start = text.find("{")
            line = _parse_line(pathlib.Path(path).name, text[start:]) if start >= 0 else None
            if line is not None:
                yield line


def build_timeline(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Returns the lines of a request and the related state changes, sorted by time.

    Related are the state changes of the routers that handled the request, and those of the
    request's workspace on these routers.

    Args:
        lines: Log lines of all routers.
        request_id: Id of the request.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    request_lines = [line for line in ordered if line.fields.get("request") == request_id]
    if not request_lines:
        return []
    sources = {line.source for line in request_lines}
    start_time, end_time = request_lines[0].time - STATE_WINDOW_SECONDS, request_lines[-1].time
    workspaces = {line.fields.get("workspace") for line in request_lines} - {None, ""}
    state_changes = [
        line
        for line in ordered
        if line.source in sources
        and start_time <= line.time <= end_time
        and (
            line.event in ROUTER_STATE_EVENTS
            or (
                line.event in WORKSPACE_STATE_EVENTS and line.fields.get("workspace") in workspaces
            )
        )
    ]
    return sorted([*request_lines, *state_changes], key=lambda line: line.time)


def format_timeline(timeline: list[LogLine]) -> str:
    """Formats a timeline as text, one line per log line."""
    return "\n".join(
        f"{line.time:.3f} {line.source} {line.part}: {line.event} "
        + " ".join(f"{name}={value}" for name, value in line.fields.items())
        for line in timeline
    )


def _parse_line(source: str, text: str) -> LogLine | None:
    try:
        content = decode_json(text.encode(), dict[str, Any])
        return LogLine(
            source=source,
            time=float(content.pop("time")),
            part=str(content.pop("part")),
            event=str(content.pop("event")),
            fields=content,
        )
    except (UnreadableDataError, KeyError, TypeError, ValueError):
        return None
