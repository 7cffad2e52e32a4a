"""Makes the page of measured scenarios from the lines that the measuring commands print.

Usage: python -m laburnumpier_measure.page FILE... > docs/MEASURES.md

A later line of the same scenario, deployment and design replaces an earlier one, so that a
part can be measured again.
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

Line = dict[str, str]


def parse_line(text: str) -> Line:
    """Returns the key-value pairs of one printed line."""
    return dict(pair.split("=", 1) for pair in text.split() if "=" in pair)


def collect_lines(texts: list[str]) -> dict[tuple[str, str, str], Line]:
    """Collects measured lines; later ones replace earlier ones of the same key.

    Args:
        texts: Printed lines; those that are not measures are passed over.

    Returns:
        The pairs by scenario, deployment and design.
    """
    collected = {}
    for text in texts:
        if text.startswith("measure "):
            line = parse_line(text)
            key = (line["scenario"], line.get("deployment", ""), line["design"])
            collected[key] = line
    return collected


def format_table(lines: list[Line], names: tuple[str, ...], columns: tuple[str, ...]) -> str:
    """Returns a Markdown table with a row for each line."""
    head = (*names, *columns)
    rows = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    rows.extend("| " + " | ".join(line.get(name, "") for name in head) + " |" for line in lines)
    return "\n".join(rows) + "\n"


def make_page(texts: list[str]) -> str:
    """Returns the page made from printed lines."""
    lines = collect_lines(texts)
    balance = [line for key, line in lines.items() if key[0].startswith("balance_")]
    scenarios = [line for key, line in lines.items() if not key[0].startswith("balance_")]
    page = INTRODUCTION + "\n"
    page += format_table(scenarios, ("scenario", "deployment", "design"), COLUMNS)
    page += BALANCE_INTRODUCTION + "\n"
    page += format_table(balance, ("scenario", "design"), BALANCE_COLUMNS)
    return page


def main() -> None:
    """Reads the files named on the command line and prints the page."""
    texts = []
    for path in sys.argv[1:]:
        texts.extend(pathlib.Path(path).read_text(encoding="utf-8").splitlines())
    print(make_page(texts), end="")


if __name__ == "__main__":
    main()
