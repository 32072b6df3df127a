"""`wagtailcleat explain ID FILE...`: the timeline of one job from collected logs.

Lines of many processes are ordered by time. Beside the job's own lines the timeline
shows background events of the processes that handled the job: a store that does not
answer, a change of leader, an agent out of touch. Lines that can't be parsed are
counted and skipped.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from wagtailcleat.operator.exits import Exit
from wagtailcleat.operator.lost_time import lost_time_lines

BACKGROUND = (
    "leadership:",
    "store:",
    "wire: A stream went silent",
    "leader: Agent",
    "leader: Gave up",
    "leader: Restored",
    "hosting: Runs are lost",
    "hosting: Worker",
    "process:",
)
"""Prefixes of messages that may explain what happened to any job at that time."""
STORE_LOST = "The store does not answer"
STORE_RESTORED = "The store answers again"
WORKER_STARTED = "Worker began"
LEADING_FIELDS = ("time", "level", "message", "node")
BACKGROUND_LEAD_SECONDS = 2.0
"""Background starts this long before the job's first line, or with an open outage."""


@dataclass
class JobTimeline:
    """The log lines of one job and the background of the processes that handled it."""

    job_lines: list[dict[str, Any]] = field(default_factory=list)
    background: list[dict[str, Any]] = field(default_factory=list)
    worker_starts: list[dict[str, Any]] = field(default_factory=list)
    """The lines of all agents that name an incarnation of their worker (`born`)."""
    unreadable: int = 0


def explain(job: str, files: list[Path]) -> int:
    """Print the timeline of `job` from log files; return the exit code."""
    timeline = read_timeline(job, _lines(files))
    if not timeline.job_lines:
        print(f"no line names {job}; {timeline.unreadable} lines could not be read")
        return Exit.REFUSED
    for text in timeline_lines(timeline):
        print(text)
    return Exit.OK


def _lines(files: list[Path]) -> Iterator[str]:
    for path in files:
        with path.open(errors="replace") as file:
            yield from file


def read_timeline(job: str, lines: Iterable[str]) -> JobTimeline:
    """Return the lines of `job` and the background of the processes that handled it."""
    timeline = JobTimeline()
    for text in lines:
        line = parse_line(text)
        if line is None:
            timeline.unreadable += bool(text.strip())
        elif _concerns(line, job):
            timeline.job_lines.append(line)
        elif str(line["message"]).startswith(BACKGROUND):
            timeline.background.append(line)
            if _message_ends_with(line, WORKER_STARTED):
                timeline.worker_starts.append(line)
    timeline.worker_starts.sort(key=lambda line: str(line["time"]))
    timeline.job_lines.sort(key=lambda line: str(line["time"]))
    if timeline.job_lines:
        timeline.background = _relevant_background(timeline)
    return timeline


def parse_line(text: str) -> dict[str, Any] | None:
    """Return the fields of one log line, or None if it can't be parsed."""
    # A log collector may put its own columns before the JSON object.
    start = text.find("{")
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(line, dict) or not {"time", "message"} <= line.keys():
        return None
    return line


def _concerns(line: dict[str, Any], job: str) -> bool:
    run = str(line.get("run", ""))
    return line.get("job") == job or run.split("/")[0] == job


def _relevant_background(timeline: JobTimeline) -> list[dict[str, Any]]:
    involved_nodes = {str(line.get("node")) for line in timeline.job_lines}
    involved_nodes |= {
        str(line["agent"]) for line in timeline.job_lines if "agent" in line
    }
    background_start = _background_start(str(timeline.job_lines[0]["time"]))
    job_end = str(timeline.job_lines[-1]["time"])
    background = sorted(timeline.background, key=lambda line: str(line["time"]))
    outage_by_node: dict[str, dict[str, Any]] = {}
    relevant = []
    for line in background:
        time, node = str(line["time"]), str(line.get("node"))
        if not {node, str(line.get("agent"))} & involved_nodes or time > job_end:
            continue
        if time >= background_start:
            relevant.append(line)
        elif _message_ends_with(line, STORE_LOST):
            outage_by_node[node] = line
        elif _message_ends_with(line, STORE_RESTORED, "process: Started"):
            outage_by_node.pop(node, None)
    return [*outage_by_node.values(), *relevant]


def _background_start(time: str) -> str:
    # Times are compared as text. Only the seconds are reduced; where they would become
    # negative, the background starts with the minute.
    head, _, seconds_text = time.rpartition(":")
    seconds = float(seconds_text.replace(",", ".")) - BACKGROUND_LEAD_SECONDS
    if seconds < 0:
        return head
    return f"{head}:{seconds:06.3f}".replace(".", ",")


def timeline_lines(timeline: JobTimeline) -> Iterator[str]:
    """Yield the timeline in order of time, then lost time, then gaps in the logs."""
    lines = [(line, " ") for line in timeline.job_lines]
    lines += [(line, "~") for line in timeline.background]
    lines.sort(key=lambda row: str(row[0]["time"]))
    for line, marker in lines:
        fields = " ".join(
            f"{k}={v}" for k, v in line.items() if k not in LEADING_FIELDS
        )
        yield f"{marker} {line['time']} {line.get('node')} {line['message']} {fields}"
    yield from lost_time_lines(timeline.job_lines)
    yield from gap_lines(timeline)
    if timeline.unreadable:
        yield f"! {timeline.unreadable} lines could not be read and were skipped"


def gap_lines(timeline: JobTimeline) -> Iterator[str]:
    """Yield what the logs lack: the acceptance of the job, and ends of its runs."""
    messages = [str(line["message"]) for line in timeline.job_lines]
    if not any(m.endswith("Accepted") for m in messages):
        yield "! no entry's log says that it was accepted"
    start_by_run = {
        line["run"]: line
        for line in timeline.job_lines
        if _message_ends_with(line, "Starts")
    }
    ended_runs = {
        line["run"]
        for line in timeline.job_lines
        if _message_ends_with(line, "Run ended", "Run never started", "Run is gone")
    }
    for run in sorted(start_by_run.keys() - ended_runs):
        worker_start = _next_worker_start(
            timeline, start_by_run[run], _next_start(start_by_run, run)
        )
        if worker_start is None:
            yield f"! {run} was started; no line says how it ended"
            continue
        yield (
            f"! {run} was lost: the worker of {worker_start['node']} restarted"
            f" at {worker_start['time']}"
        )


def _next_start(start_by_run: dict[str, dict[str, Any]], run: str) -> str:
    """Return when the next run of the same task started; empty if none did."""
    task, start_time = run.split("#")[0], str(start_by_run[run]["time"])
    later_starts = [
        str(line["time"])
        for other, line in start_by_run.items()
        if other.split("#")[0] == task and str(line["time"]) > start_time
    ]
    return min(later_starts, default="")


def _next_worker_start(
    timeline: JobTimeline, start: dict[str, Any], until: str
) -> dict[str, Any] | None:
    """Return the line of the next incarnation of a run's worker before `until`."""
    worker_starts = [
        line
        for line in timeline.worker_starts
        if line.get("node") == start.get("agent")
    ]
    start_time = str(start["time"])
    known_incarnations = [
        line.get("born") for line in worker_starts if str(line["time"]) <= start_time
    ]
    for line in worker_starts:
        is_new = line.get("born") not in known_incarnations
        if is_new and start_time < str(line["time"]) < until:
            return line
    return None


def _message_ends_with(line: dict[str, Any], *endings: str) -> bool:
    return str(line["message"]).endswith(endings)
