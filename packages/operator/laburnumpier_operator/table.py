"""Formats rows as an aligned text table."""

from typing import Any


def format_table(rows: list[dict[str, Any]]) -> str:
    """Formats rows as a table with one aligned column per key.

    Args:
        rows: The rows; all have the same keys.

    Returns:
        The table with a header line, or `(none)` if there are no rows.
    """
    if not rows:
        return "(none)"
    columns = list(rows[0])
    lines = [columns]
    lines.extend([str(row[column]) for column in columns] for row in rows)
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )
