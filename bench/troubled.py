"""Lists requests in collected logs that went wrong, and picks some at random.

    python -m bench.troubled --seed 11 --objective QUEUE:STRETCH:TARGET LOG

A request is listed if it was refused; if a task of it without a due time was started
again; or if it took longer than its queue's objective, where that is given: STRETCH
times the sum of the longest work of each step, plus TARGET seconds.
"""

import random
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import cyclopts

from wagtailcleat.operator.explain import parse_line
from wagtailcleat.operator.lost_time import line_time

LogLine = dict[str, Any]
Objectives = dict[str, tuple[float, float]]


def lines_by_job(path: Path) -> dict[str, list[LogLine]]:
    """Return the log lines that name a job, by job and in order of time."""
    found: dict[str, list[LogLine]] = defaultdict(list)
    with path.open(errors="replace") as opened:
        for text in opened:
            line = parse_line(text)
            job = line and (line.get("job") or str(line.get("run", "")).split("/")[0])
            if line and job:
                found[job].append(line)
    for lines in found.values():
        lines.sort(key=lambda line: str(line["time"]))
    return found


def problems(lines: list[LogLine], objectives: Objectives) -> Iterator[str]:
    """Yield what went wrong for the caller of one job."""
    if _ending_with(lines, "Not accepted"):
        yield "refused"
    queue = next((str(line["queue"]) for line in lines if "queue" in line), "")
    if queue in objectives:
        late = _late_seconds(lines, *objectives[queue])
        if late > 0:
            yield f"late by {late:.2f} s"
    starts = [
        line["run"] for line in _ending_with(lines, "Starts") if "due" not in line
    ]
    tasks = {run.split("#")[0] for run in starts}
    if len(tasks) < len(starts):
        yield f"started again: {len(starts) - len(tasks)} of {len(tasks)} tasks"


def _ending_with(lines: list[LogLine], ending: str) -> list[LogLine]:
    return [line for line in lines if str(line["message"]).endswith(ending)]


def _late_seconds(lines: list[LogLine], stretch: float, target: float) -> float:
    started = {line["run"]: line_time(line) for line in _ending_with(lines, "Starts")}
    ends = _ending_with(lines, "Run ended")
    accepted = [line_time(line) for line in lines if "queue" in line]
    cancelled = _ending_with(lines, "Cancelled") or _ending_with(
        lines, "Cancelled in the store"
    )
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
    elapsed = (line_time(ends[-1]) - accepted[0]).total_seconds()
    return elapsed - stretch * sum(longest.values()) - target


def main(
    logs: list[Path], *, objective: tuple[str, ...] = (), seed: int = 0, pick: int = 10
) -> None:
    """Print how many requests of `logs` went wrong, and a random sample of them.

    Parameters: each `objective` is a queue with its stretch and target, as
    `QUEUE:STRETCH:TARGET`; `pick` is the size of the sample, drawn with `seed`.
    """
    rows = (text.split(":") for text in objective)
    objectives = {queue: (float(s), float(t)) for queue, s, t in rows}
    listed = [
        f"{job} {path.name} {', '.join(found)}"
        for path in logs
        for job, lines in lines_by_job(path).items()
        if (found := list(problems(lines, objectives)))
    ]
    print(f"{len(listed)} requests; picked with seed {seed}:")
    for row in random.Random(seed).sample(sorted(listed), pick):
        print(row)


if __name__ == "__main__":
    cyclopts.run(main)
