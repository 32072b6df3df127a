"""Requests of collected logs that went wrong for their callers, some picked at random.

    python -m bench.troubled --seed 11 --objective QUEUE:STRETCH:TARGET LOG

A request is listed that was refused; that ended late, where its queue's objective is
given: STRETCH times the longest work of each of its steps, and TARGET seconds; or whose
tasks, which last, had to be started again.
"""

import random
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import cyclopts

from wagtailcleat.operator.explain import parse_line
from wagtailcleat.operator.lost_time import line_time

Line = dict[str, Any]
Objectives = dict[str, tuple[float, float]]


def lines_by_job(path: Path) -> dict[str, list[Line]]:
    """Return the lines that name a job, in order of time."""
    found: dict[str, list[Line]] = defaultdict(list)
    with path.open(errors="replace") as opened:
        for text in opened:
            line = parse_line(text)
            job = line and (line.get("job") or str(line.get("run", "")).split("/")[0])
            if line and job:
                found[job].append(line)
    for lines in found.values():
        lines.sort(key=lambda line: str(line["time"]))
    return found


def symptoms(lines: list[Line], objectives: Objectives) -> Iterator[str]:
    """Yield what the caller of one job could complain of."""
    if _with(lines, "Not accepted"):
        yield "refused"
    queue = next((str(line["queue"]) for line in lines if "queue" in line), "")
    if queue in objectives:
        late = _late_seconds(lines, *objectives[queue])
        if late > 0:
            yield f"late by {late:.2f} s"
    lasting = [line["run"] for line in _with(lines, "Starts") if "due" not in line]
    tasks = {run.split("#")[0] for run in lasting}
    if len(tasks) < len(lasting):
        yield f"started again: {len(lasting) - len(tasks)} of {len(tasks)} tasks"


def _with(lines: list[Line], ending: str) -> list[Line]:
    return [line for line in lines if str(line["message"]).endswith(ending)]


def _late_seconds(lines: list[Line], stretch: float, target: float) -> float:
    started = {line["run"]: line_time(line) for line in _with(lines, "Starts")}
    ends = _with(lines, "Run ended")
    accepted = [line_time(line) for line in lines if "queue" in line]
    cancelled = _with(lines, "Cancelled") or _with(lines, "Cancelled in the store")
    if not ends or not accepted or cancelled:
        return 0.0
    work: dict[str, float] = defaultdict(float)
    for line in ends:
        if line["run"] in started and line["why"] in ("succeeded", "failed"):
            task = line["run"].split("#")[0]
            work[task] += (line_time(line) - started[line["run"]]).total_seconds()
    longest: dict[str, float] = defaultdict(float)
    for task, seconds in work.items():
        step = task.rpartition("/")[0]
        longest[step] = max(longest[step], seconds)
    took = (line_time(ends[-1]) - accepted[0]).total_seconds()
    return took - stretch * sum(longest.values()) - target


def main(
    logs: list[Path], *, objective: tuple[str, ...] = (), seed: int = 0, pick: int = 10
) -> None:
    """List the requests of `logs` that went wrong, and pick some.

    Parameters: each `objective` is a queue with its stretch and target, as
    `QUEUE:STRETCH:TARGET`; `seed` decides which are picked, `pick` how many.
    """
    rows = (text.split(":") for text in objective)
    objectives = {queue: (float(s), float(t)) for queue, s, t in rows}
    listed = [
        f"{job} {path.name} {', '.join(found)}"
        for path in logs
        for job, lines in lines_by_job(path).items()
        if (found := list(symptoms(lines, objectives)))
    ]
    print(f"{len(listed)} requests; picked with seed {seed}:")
    for row in random.Random(seed).sample(sorted(listed), pick):
        print(row)


if __name__ == "__main__":
    cyclopts.run(main)
