"""Tells the story of one request from the routers' logs.

It reads JSON lines of any number of routers, keeps those of one request id, and puts them in the
order of time, each with the file it came from and what its router believed at that time.
"""

import dataclasses
import pathlib
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

BELIEF_EVENTS = frozenset(
    {
        "configuration in force",
        "registry not reached",
        "server seen",
        "server changed",
        "server gone",
        "store call failed; changes wait",
        "graceful stop begins",
        "router started",
    }
)
WORKSPACE_EVENTS = frozenset({"drew tokens", "borrowed tokens", "lender is silent"})
BELIEF_SECONDS = 10.0
"""Beliefs that changed this long before a request's line are told with it."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """One line of a log."""

    source: str
    time: float
    part: str
    event: str
    fields: dict[str, Any]


def read_lines(paths: Iterable[str]) -> Iterator[LogLine]:
    """Yields the lines of log files; what is no JSON object with a time is left out.

    Args:
        paths: Files to read.

    Raises:
        OSError: If a file cannot be read.
    """
    for path in paths:
        for text in pathlib.Path(path).read_text(encoding="utf-8").splitlines():
            start = text.find("{")
            line = _parse_line(pathlib.Path(path).name, text[start:]) if start >= 0 else None
            if line is not None:
                yield line


def tell_story(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Returns the lines of one request in order, with the beliefs that changed before it.

    Beliefs are those of the routers that served it, and what they held for its workspace.

    Args:
        lines: Lines of all routers.
        request_id: The request.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    own = [line for line in ordered if line.fields.get("request") == request_id]
    if not own:
        return []
    sources = {line.source for line in own}
    first, last = own[0].time - BELIEF_SECONDS, own[-1].time
    workspaces = {line.fields.get("workspace") for line in own} - {None, ""}
    beliefs = [
        line
        for line in ordered
        if line.source in sources
        and first <= line.time <= last
        and (
            line.event in BELIEF_EVENTS
            or (line.event in WORKSPACE_EVENTS and line.fields.get("workspace") in workspaces)
        )
    ]
    return sorted([*own, *beliefs], key=lambda line: line.time)


def format_story(story: list[LogLine]) -> str:
    """Returns a story as text, one line for each decision or belief."""
    return "\n".join(
        f"{line.time:.3f} {line.source} {line.part}: {line.event} "
        + " ".join(f"{name}={value}" for name, value in line.fields.items())
        for line in story
    )


def _parse_line(source: str, text: str) -> LogLine | None:
    try:
        content = msgspec.json.decode(text.encode(), type=dict[str, Any])
        return LogLine(
            source=source,
            time=float(content.pop("time")),
            part=str(content.pop("part")),
            event=str(content.pop("event")),
            fields=content,
        )
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
        return None
