"""Generates docs/MEASURES.md from the lines that the measurement programs print.

Usage: python -m laburnumpier_measure.page FILE... > docs/MEASURES.md

A later line replaces an earlier one of the same scenario, deployment and design, so that single
scenarios can be measured again.
"""

import pathlib
import sys

COLUMNS = (
    "seeds",
    "requests",
    "overspent_tokens",
    "false_refusals",
    "false_refusal_share",
    "refused_unreachable",
    "refused_other",
    "double_runs",
    "lost_answers",
    "mixed_answers",
    "false_not_run",
    "unbilled",
    "billed_twice",
    "stranded_tokens",
    "store_calls_per_s",
    "first_token_p95_ms",
)
BALANCE_COLUMNS = (
    "seeds",
    "requests",
    "refused",
    "goodput_share_of_capacity",
    "first_token_p50_ms",
    "first_token_p95_ms",
    "prefix_hit_share",
)
INTRODUCTION = """# Measures

Made by `make measure` from the lines in `docs/measures.txt`: nine routers over the in-memory
stand-ins on a virtual clock, counts added up over the seeds. Verdicts come from the servers' own
ledgers and the stored records. A refusal is false when the budget could still pay the request's
greatest cost at that moment, runs in progress counted at their cap. In a store outage
`refused_other` are calls that must not run twice and cannot be claimed.
"""
BALANCE_INTRODUCTION = """
## Choosing a server

Made by `make balance`: three routers, six servers of which two take twice and one four times as
long, a fast one that refuses a quarter of the time, and load reports 5 s old. Loads are shares of
the nominal capacity.
"""

Measurement = dict[str, str]


def parse_measurement(line: str) -> Measurement:
    """Parses the key-value pairs of one printed line."""
    return dict(pair.split("=", 1) for pair in line.split() if "=" in pair)


def collect_measurements(lines: list[str]) -> dict[tuple[str, str, str], Measurement]:
    """Parses measurement lines; a later line replaces an earlier one with the same key.

    Args:
        lines: Printed lines; lines that do not start with `measure ` are ignored.

    Returns:
        The measurements by scenario, deployment and design.
    """
    collected = {}
    for line in lines:
        if line.startswith("measure "):
            measurement = parse_measurement(line)
            key = (
                measurement["scenario"],
                measurement.get("deployment", ""),
                measurement["design"],
            )
            collected[key] = measurement
    return collected


def format_table(
    measurements: list[Measurement], key_columns: tuple[str, ...], columns: tuple[str, ...]
) -> str:
    """Formats a Markdown table with one row per measurement."""
    header = (*key_columns, *columns)
    rows = ["| " + " | ".join(header) + " |", "|" + " --- |" * len(header)]
    rows.extend(
        "| " + " | ".join(measurement.get(name, "") for name in header) + " |"
        for measurement in measurements
    )
    return "\n".join(rows) + "\n"


def format_page(lines: list[str]) -> str:
    """Returns the Markdown page for the printed lines."""
    measurements = collect_measurements(lines)
    balance = [
        measurement for key, measurement in measurements.items() if key[0].startswith("balance_")
    ]
    scenarios = [
        measurement
        for key, measurement in measurements.items()
        if not key[0].startswith("balance_")
    ]
    page = INTRODUCTION + "\n"
    page += format_table(scenarios, ("scenario", "deployment", "design"), COLUMNS)
    page += BALANCE_INTRODUCTION + "\n"
    page += format_table(balance, ("scenario", "design"), BALANCE_COLUMNS)
    return page


def main() -> None:
    """Reads the files named on the command line and prints the page."""
    lines = []
    for path in sys.argv[1:]:
        lines.extend(pathlib.Path(path).read_text(encoding="utf-8").splitlines())
    print(format_page(lines), end="")


if __name__ == "__main__":
    main()
