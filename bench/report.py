"""Reports of the bench: the median and range over several seeds, as text or JSON."""

import json
import subprocess
from collections.abc import Iterable
from pathlib import Path
from statistics import median
from typing import Any

from bench.scenario import Measures

NAME_WIDTH = 24
WIDTH = 30
ROOT = Path(__file__).resolve().parent.parent


def spread(runs: list[Measures]) -> dict[str, dict[str, float]]:
    """Return the median, minimum and maximum of each measure over `runs`."""
    return {
        name: {
            "median": median(run[name] for run in runs),
            "min": min(run[name] for run in runs),
            "max": max(run[name] for run in runs),
        }
        for name in runs[0]
    }


def commit() -> str:
    """Return the checked-out commit, marked `-dirty` if files were changed."""
    command = ["git", "describe", "--always", "--dirty"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    return done.stdout.strip()


def text_table(rows: dict[str, dict[str, dict[str, float]]]) -> str:
    """Return a table of `median (min..max)`: measures as rows, policies as columns."""
    policies = list(rows)
    names = list(rows[policies[0]])
    lines = ["".ljust(NAME_WIDTH) + "".join(p.rjust(WIDTH) for p in policies)]
    for name in names:
        cells = [_cell(rows[policy][name]).rjust(WIDTH) for policy in policies]
        lines.append(name.ljust(NAME_WIDTH) + "".join(cells))
    return "\n".join(lines)


def write_json(path: Path, report: dict[str, Any]) -> None:
    """Write a report as JSON."""
    path.write_text(json.dumps(report, indent=1, sort_keys=True) + "\n")


def markdown(header: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    """Return a Markdown table."""
    names = list(header)
    lines = ["| " + " | ".join(names) + " |", "|" + "---|" * len(names)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def _cell(measure: dict[str, float]) -> str:
    low, high = _number(measure["min"]), _number(measure["max"])
    return f"{_number(measure['median'])} ({low}..{high})"


def _number(value: float) -> str:
    return f"{value:.0f}" if abs(value) >= 1000 else f"{value:.4g}"
