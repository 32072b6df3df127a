"""Prints the tables of docs/BENCH.md from a folder of JSON reports.

python -m bench.table FOLDER
"""

import json
import sys
from pathlib import Path
from typing import Annotated, Any

import cyclopts

from bench.report import markdown
from bench.scenarios import SCENARIO_BY_NAME

SERVICE_MEASURES = (
    "p50_ms",
    "p99_ms",
    "in_time_share",
    "goodput_of_capacity",
    "refused_share",
    "refusal_p50_ms",
    "unknown_share",
    "error_share",
    "retries_share",
)
BATCH_MEASURES = (
    "p50_ms",
    "p99_ms",
    "batch_core_seconds",
    "of_available",
    "tasks_done",
    "starts",
    "evictions",
    "throttles",
    "overuse_share",
    "failed_jobs",
    "cancelled_jobs",
    "started_on_first_vm",
)
EXIT_BAD_VALUE = 2


def table(reports: list[dict[str, Any]], measures: tuple[str, ...]) -> str:
    """Return a Markdown table with a row for each scenario and policy."""
    rows = []
    for report in reports:
        for policy, measure_by_name in report["policies"].items():
            cells = [_cell(measure_by_name[name]) for name in measures]
            rows.append([report["scenario"], policy, *cells])
    return markdown(["scenario", "policy", *measures], rows)


def _cell(measure: dict[str, float]) -> str:
    low, middle, high = measure["min"], measure["median"], measure["max"]
    if low == high:
        return _number(middle)
    return f"{_number(middle)} ({_number(low)}..{_number(high)})"


def _number(value: float) -> str:
    return f"{value:.0f}" if abs(value) >= 100 else f"{value:.3g}"


def main(
    folder: Annotated[Path, cyclopts.Parameter(help="Folder of JSON reports.")],
) -> int:
    """Print a table of services and one of batch tasks for each profile."""
    reports = [json.loads(path.read_text()) for path in sorted(folder.glob("*.json"))]
    if not reports:
        print(f"{folder}: no JSON report in it", file=sys.stderr)
        return EXIT_BAD_VALUE
    order = list(SCENARIO_BY_NAME)
    reports.sort(key=lambda report: order.index(report["scenario"]))
    for profile in sorted({report["profile"] for report in reports}):
        of_profile = [report for report in reports if report["profile"] == profile]
        for measures, is_batch in ((SERVICE_MEASURES, False), (BATCH_MEASURES, True)):
            chosen = [r for r in of_profile if _is_batch(r) is is_batch]
            if chosen:
                print(f"\n### {profile}\n\n{table(chosen, measures)}")
    return 0


def _is_batch(report: dict[str, Any]) -> bool:
    return "tasks_done" in next(iter(report["policies"].values()))


if __name__ == "__main__":
    app = cyclopts.App(help=__doc__)
    app.default(main)
    sys.exit(app())
