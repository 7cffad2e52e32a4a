"""Summarises the refused requests and the budgets in the logs of the routers.

The report answers three questions of the on-call engineers: when were requests refused and for
which reason, which kinds of request were refused or waited for tokens, and how much of each budget
is neither spent nor obtainable, as its holder has ended.
"""

import collections
import dataclasses
import statistics
from collections.abc import Iterable
from typing import Any

from .request_timeline import LogLine

SERVED_OUTCOME = "answered"
REQUEST_EVENTS = frozenset({"request ended", "request refused"})
DRAW_EVENT = "drew tokens"

Row = dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RefusalReport:
    """Rows of the three tables of the report.

    Attributes:
        by_time: Number of requests by interval and outcome; intervals start with the first line.
        by_route: Number of requests by route and outcome, their mean maximum cost in tokens and
            the longest wait for tokens in milliseconds.
        by_workspace: Purchased, spent and drawable tokens of each workspace, those that are
            neither, and their share of the purchased ones.
    """

    by_time: list[Row]
    by_route: list[Row]
    by_workspace: list[Row]


def build_refusal_report(lines: Iterable[LogLine], interval_seconds: float) -> RefusalReport:
    """Builds the report.

    Args:
        lines: Log lines of all routers, in any order.
        interval_seconds: Length of the intervals of the first table.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    requests = [line for line in ordered if line.event in REQUEST_EVENTS]
    draws = [line for line in ordered if line.event == DRAW_EVENT]
    return RefusalReport(
        by_time=_summarise_times(requests, interval_seconds),
        by_route=_summarise_routes(requests),
        by_workspace=_summarise_workspaces(requests, draws),
    )


def _summarise_times(requests: list[LogLine], interval_seconds: float) -> list[Row]:
    if not requests:
        return []
    first_time = requests[0].time
    counts: collections.Counter[tuple[int, str]] = collections.Counter()
    for line in requests:
        interval = int((line.time - first_time) // interval_seconds)
        counts[interval, str(line.fields.get("outcome"))] += 1
    return [
        {"from_seconds": round(interval * interval_seconds, 1), "outcome": outcome, "count": count}
        for (interval, outcome), count in sorted(counts.items())
    ]


def _summarise_routes(requests: list[LogLine]) -> list[Row]:
    groups: dict[tuple[str, str], list[LogLine]] = collections.defaultdict(list)
    for line in requests:
        fields = line.fields
        groups[str(fields.get("route", "")), str(fields.get("outcome"))].append(line)
    return [
        {
            "route": route,
            "outcome": outcome,
            "count": len(group),
            "mean_cost": round(statistics.fmean(_get_number(line, "cost") for line in group)),
            "longest_wait_ms": round(max(_get_number(line, "waited_ms") for line in group)),
        }
        for (route, outcome), group in sorted(groups.items())
    ]


def _summarise_workspaces(requests: list[LogLine], draws: list[LogLine]) -> list[Row]:
    spent: collections.Counter[str] = collections.Counter()
    refused: collections.Counter[str] = collections.Counter()
    for line in requests:
        workspace = str(line.fields.get("workspace", ""))
        spent[workspace] += int(_get_number(line, "tokens"))
        refused[workspace] += line.fields.get("outcome") != SERVED_OUTCOME
    last_draws = {str(line.fields.get("workspace")): line for line in draws}
    rows = []
    for workspace, draw in sorted(last_draws.items()):
        purchased = int(_get_number(draw, "purchased"))
        drawable = int(_get_number(draw, "available"))
        missing = max(0, purchased - spent[workspace] - drawable)
        rows.append(
            {
                "workspace": workspace,
                "not_answered": refused[workspace],
                "purchased": purchased,
                "spent": spent[workspace],
                "drawable": drawable,
                "neither": missing,
                "share": f"{missing / max(1, purchased):.3f}",
            }
        )
    return rows


def _get_number(line: LogLine, name: str) -> float:
    """Returns a numeric field, or 0 if the line has none."""
    value = line.fields.get(name, 0)
    return float(value) if isinstance(value, int | float) else 0.0
