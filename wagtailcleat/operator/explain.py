"""`wagtailcleat explain ID FILE...`: the story of one job from collected logs.

Lines of many processes are put in order of their time. Beside the job's own lines it
shows what happened to the processes that touched it: a lost store, another leader, an
agent out of touch. Lines that can't be read are counted and passed over.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from wagtailcleat.operator.exits import Exit
from wagtailcleat.operator.lost_time import tell_lost_time

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
"""Beginnings of messages that may explain what happened to any job at that time."""
STORE_LOST = "The store does not answer"
STORE_BACK = "The store answers again"
WORKER_BEGAN = "Worker began"
SHOWN = ("time", "level", "message", "node")
AROUND_SECONDS = 2.0
"""How long before the job's first line background is shown, but for open outages."""


@dataclass
class Story:
    """The lines of one job, and those of the processes that touched it."""

    own: list[dict[str, Any]] = field(default_factory=list)
    background: list[dict[str, Any]] = field(default_factory=list)
    births: list[dict[str, Any]] = field(default_factory=list)
    """The lines of all agents that tell a life of their worker."""
    unreadable: int = 0


def explain(job: str, files: list[Path]) -> int:
    """Print the story of `job` from log files; return the exit code."""
    story = read_story(job, _lines(files))
    if not story.own:
        print(f"no line names {job}; {story.unreadable} lines could not be read")
        return Exit.REFUSED
    for text in tell(story):
        print(text)
    return Exit.OK


def _lines(files: list[Path]) -> Iterator[str]:
    for path in files:
        with path.open(errors="replace") as opened:
            yield from opened


def read_story(job: str, lines: Iterable[str]) -> Story:
    """Return the lines of `job`, and the background of those who touched it."""
    story = Story()
    for text in lines:
        line = parsed(text)
        if line is None:
            story.unreadable += bool(text.strip())
        elif _names(line, job):
            story.own.append(line)
        elif str(line["message"]).startswith(BACKGROUND):
            story.background.append(line)
            if _ends(line, WORKER_BEGAN):
                story.births.append(line)
    story.births.sort(key=lambda line: str(line["time"]))
    story.own.sort(key=lambda line: str(line["time"]))
    if story.own:
        story.background = _near(story)
    return story


def parsed(text: str) -> dict[str, Any] | None:
    """Return the fields of one line of a log; None if it can't be read."""
    # A collector may put its own columns before the JSON object.
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


def _names(line: dict[str, Any], job: str) -> bool:
    run = str(line.get("run", ""))
    return line.get("job") == job or run.split("/")[0] == job


def _near(story: Story) -> list[dict[str, Any]]:
    touched = {str(line.get("node")) for line in story.own}
    touched |= {str(line["agent"]) for line in story.own if "agent" in line}
    since = _shifted(str(story.own[0]["time"]))
    last = str(story.own[-1]["time"])
    background = sorted(story.background, key=lambda line: str(line["time"]))
    away_by_node: dict[str, dict[str, Any]] = {}
    near = []
    for line in background:
        moment, node = str(line["time"]), str(line.get("node"))
        if not {node, str(line.get("agent"))} & touched or moment > last:
            continue
        if moment >= since:
            near.append(line)
        elif _ends(line, STORE_LOST):
            away_by_node[node] = line
        elif _ends(line, STORE_BACK, "process: Started"):
            away_by_node.pop(node, None)
    return [*away_by_node.values(), *near]


def _shifted(moment: str) -> str:
    # Times are text in a sortable form; the seconds alone are moved back.
    head, _, rest = moment.rpartition(":")
    seconds = float(rest.replace(",", ".")) - AROUND_SECONDS
    if seconds < 0:
        return head
    return f"{head}:{seconds:06.3f}".replace(".", ",")


def tell(story: Story) -> Iterator[str]:
    """Yield the story in order of time, where time was lost, then what is missing."""
    lines = [(line, " ") for line in story.own]
    lines += [(line, "~") for line in story.background]
    lines.sort(key=lambda row: str(row[0]["time"]))
    for line, mark in lines:
        more = " ".join(f"{k}={v}" for k, v in line.items() if k not in SHOWN)
        yield f"{mark} {line['time']} {line.get('node')} {line['message']} {more}"
    yield from tell_lost_time(story.own)
    yield from missing(story)
    if story.unreadable:
        yield f"! {story.unreadable} lines could not be read and were passed over"


def missing(story: Story) -> Iterator[str]:
    """Yield what the lines do not tell."""
    messages = [str(line["message"]) for line in story.own]
    if not any(m.endswith("Accepted") for m in messages):
        yield "! no entry's log says that it was accepted"
    starts = {line["run"]: line for line in story.own if _ends(line, "Starts")}
    closed = {
        line["run"]
        for line in story.own
        if _ends(line, "Run ended", "Run never started", "Run is gone")
    }
    for run in sorted(starts.keys() - closed):
        birth = _next_birth(story, starts[run], _next_start(starts, run))
        if birth is None:
            yield f"! {run} was started; no line says how it ended"
            continue
        yield (
            f"! {run} was lost: the worker of {birth['node']} began anew"
            f" at {birth['time']}"
        )


def _next_start(starts: dict[str, dict[str, Any]], run: str) -> str:
    """Return when the next run of the same task started; empty if none did."""
    task, began = run.split("#")[0], str(starts[run]["time"])
    later = [
        str(line["time"])
        for other, line in starts.items()
        if other.split("#")[0] == task and str(line["time"]) > began
    ]
    return min(later, default="")


def _next_birth(
    story: Story, start: dict[str, Any], until: str
) -> dict[str, Any] | None:
    """Return the line of the next life of a run's worker before `until`."""
    births = [line for line in story.births if line.get("node") == start.get("agent")]
    began = str(start["time"])
    known = [line.get("born") for line in births if str(line["time"]) <= began]
    for line in births:
        anew = line.get("born") not in known
        if anew and began < str(line["time"]) < until:
            return line
    return None


def _ends(line: dict[str, Any], *endings: str) -> bool:
    return str(line["message"]).endswith(endings)
