"""Output of results as tables and JSON, and the growth of costs with size."""

from __future__ import annotations

import json
import math
import subprocess
import sys
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

from benchmarks.policy_cost import Cost

REPOSITORY_ROOT = Path(__file__).parent.parent
Row = Mapping[str, Any]
"""Row of a table: numbers and texts by the heading of their column."""

_console = Console(width=160)


def show_table(title: str, rows: Sequence[Row], file: str | None = None) -> None:
    """Print a table and, if `file` is given, write its rows there as `write_json` does."""
    table = Table(title=title)
    for heading in rows[0]:
        table.add_column(heading.replace("_", " "), justify="right")
    for row in rows:
        table.add_row(*map(_format, row.values()))
    _console.print(table)
    if file:
        write_json(rows, file)


def write_json(rows: Sequence[Row], file: str) -> None:
    """Write rows as JSON, with what a rerun needs: the command and the versions of the code and of Python."""
    record = {"command": sys.argv[1:], "version": _commit_hash(), "python": sys.version, "rows": rows}
    Path(file).write_text(json.dumps(record, indent=1) + "\n")


def growth_rows(costs: Iterable[Cost]) -> list[Row]:
    """Return a row for each kind of work: its cost by size, and the exponent of its growth with size."""
    by_work: dict[str, dict[int, float]] = {}
    for cost in costs:
        by_work.setdefault(cost.work, {})[cost.size] = cost.ms
    return [
        {
            "work": work,
            **{f"at {size:,}": ms for size, ms in by_size.items()},
            "grows as size ^": _growth_exponent(by_size),
        }
        for work, by_size in by_work.items()
    ]


def _growth_exponent(cost_by_size: dict[int, float]) -> float:
    """Return the slope of the least-squares line through the logarithms of sizes and costs."""
    points = [(math.log(size), math.log(max(cost, 1e-6))) for size, cost in cost_by_size.items()]
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    variance = sum((x - mean_x) ** 2 for x, _ in points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return covariance / variance if variance else 0.0


def _format(value: Any) -> str:
    if not isinstance(value, float):
        return str(value)
    return f"{value:.3g}" if abs(value) < 1000 else f"{value:.0f}"


def _commit_hash() -> str:
    result = subprocess.run(
        ["git", "rev-parse", "HEAD"], cwd=REPOSITORY_ROOT, capture_output=True, text=True, check=False
    )
    return result.stdout.strip()
