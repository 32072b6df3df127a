"""Checks for lost work: answers that are missing, and tasks that wait beside room."""

import math
import re
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import pairwise
from typing import Any

from soak.active_faults import FaultSpan
from soak.callers import Submitted
from soak.connections import ANSWER_SECONDS, Cut

STABLE_SECONDS = 3.0
"""A disturbance excuses what begins up to this long after it."""
CUT_SLACK_SECONDS = 0.2
"""A connection may end this soon after the last byte of a request."""
IDLE_SECONDS = 3.0
"""A job with a task to run must not have nothing running for so long beside room."""
LASTING_IDLE_SECONDS = 6.0
"""The same for each task that lasts."""
CALM_SECONDS = 4.0
"""How long before such a wait, and during it, no fault may have been active."""
ENTRY_SECONDS = 1.0
"""So long after the start of the first of them, entries may have no leader."""
CLOCK_SLACK = 0.05
AGENT = re.compile(r"agent-\d+")


@dataclass(frozen=True)
class FinalAnswer:
    """The answer to a question for a job's state `finish_s` after the traffic."""

    job: str
    entry: str
    status: int
    seconds: float


@dataclass(frozen=True)
class _Worker:
    """A worker that is up: its kind, and its cores and those in use in thousandths."""

    kind: str
    millicores: int
    used: int


_Snapshot = tuple[float, dict[str, _Worker]]


def find_cut_answers(cuts: Iterable[Cut], spans: list[FaultSpan]) -> list[str]:
    """Return a line for each cut connection that no unplanned fault excuses."""
    found = []
    for cut in cuts:
        begin = cut.sent_at - STABLE_SECONDS
        excused = any(
            not span.planned and span.start <= cut.ended_at and span.end >= begin
            for span in spans
        )
        seconds = cut.ended_at - cut.sent_at
        if excused or seconds <= CUT_SLACK_SECONDS:
            continue
        planned = [
            f"{span.description} (since {cut.ended_at - span.start:.2f} s)"
            for span in spans
            if span.start <= cut.ended_at <= span.end and cut.entry in span.names
        ]
        found.append(
            f"cut off: {cut.request} at {cut.entry}, {seconds:.3f} s after its last"
            f" byte, at {cut.ended_at:.3f}, {cut.received} bytes came, first on its"
            f" connection: {cut.first}, during {planned}"
        )
    return found


def find_unanswered(answers: Iterable[FinalAnswer]) -> list[str]:
    """Return a line for each final question without the job's state in time."""
    return [
        f"not known at last: {answer.job} at {answer.entry}, status {answer.status}"
        f" after {answer.seconds:.2f} s"
        for answer in answers
        if answer.status != 200 or answer.seconds > ANSWER_SECONDS
    ]


def find_idle(
    jobs: Iterable[Submitted],
    rows: list[list[Any]],
    spans: list[FaultSpan],
    until: float,
    entries: frozenset[str],
) -> list[str]:
    """Return a line for each job, or lasting task, that waited beside room.

    Parameters: `rows` are the workers' and ordered by time; `until` is the end of the
    observation; one of `entries` must have been up. Wall clock seconds.
    """
    job_by_id = {job.job: job for job in jobs if job.accepted_at}
    rows_by_job = defaultdict(list)
    for row in rows:
        if row[0] in ("start", "end"):
            rows_by_job[row[3].partition(".")[0]].append(row)
    snapshots = list(_follow_workers(rows, job_by_id))
    found = []
    for job in job_by_id.values():
        if job.is_endless and not job.is_lasting:
            continue
        bound = LASTING_IDLE_SECONDS if job.is_lasting else IDLE_SECONDS
        for begin, end, step in _gaps(job, rows_by_job[job.job], until):
            if end - begin <= bound:
                continue
            seconds, since = _longest_wait(step, begin, end, snapshots, spans, entries)
            if seconds > bound + CLOCK_SLACK:
                near = [
                    f"{span.description} at {span.start:.2f}"
                    for span in spans
                    if begin - CALM_SECONDS <= span.end and span.start <= begin + bound
                ]
                found.append(
                    f"waited beside room: {job.job} for {seconds:.2f} s from"
                    f" {since:.2f}, idle since {begin:.2f}, near {near}"
                )
    return found


def _gaps(
    job: Submitted, rows: list[list[Any]], until: float
) -> Iterator[tuple[float, float, dict[str, Any]]]:
    """Yield start and end of each time without a run, and the step whose turn it is.

    A lasting job must have one step, of one task.
    """
    done: dict[int, set[str]] = defaultdict(set)
    running: set[str] = set()
    latest = min(until, job.cancel_sent_at or math.inf)
    idle_since = job.accepted_at
    for kind, at, _, task, _, how in [*rows, ["until", latest, "", "", 0, ""]]:
        if not running and idle_since < min(at, latest):
            step = _next_step(job, done)
            if step is not None:
                yield idle_since, min(at, latest), step
        if kind == "start":
            running.add(task)
        elif kind == "end":
            running.discard(task)
            idle_since = max(at, job.accepted_at)
            if how == "done" and not job.is_lasting:
                done[int(task.split(".")[2])].add(task)


def _next_step(job: Submitted, done: dict[int, set[str]]) -> dict[str, Any] | None:
    for number, step in enumerate(job.steps):
        if len(done[number]) < step["count"]:
            return step
    return None


def _follow_workers(
    rows: list[list[Any]], job_by_id: dict[str, Submitted]
) -> Iterator[_Snapshot]:
    """Yield the workers that are up after each of the rows."""
    up: dict[str, _Worker] = {}
    for kind, at, instance, task, run, _ in rows:
        if kind == "gone":
            up = {name: worker for name, worker in up.items() if name != instance}
        elif kind == "boot":
            up = up | {instance: _Worker(task, run, 0)}
        elif kind in ("start", "end") and instance in up:
            job, _, step, _ = task.split(".")
            if job not in job_by_id:
                continue
            cpu = job_by_id[job].steps[int(step)]["cpu"]
            old = up[instance]
            used = old.used + (cpu if kind == "start" else -cpu)
            up = up | {instance: _Worker(old.kind, old.millicores, used)}
        else:
            continue
        yield at, up


def _longest_wait(
    step: dict[str, Any],
    begin: float,
    end: float,
    snapshots: list[_Snapshot],
    spans: list[FaultSpan],
    entries: frozenset[str],
) -> tuple[float, float]:
    """Return the longest calm time with room between two times, and its start."""
    before = [up for at, up in snapshots if at <= begin][-1:] or [{}]
    changes = [(begin, before[0])]
    changes += [(at, up) for at, up in snapshots if begin < at < end]
    times = {begin, end, *(at for at, _ in changes)}
    for span in spans:
        times |= {span.start, span.end, span.end + CALM_SECONDS}
    best, since = (0.0, begin), None
    position = 0
    for at, following in pairwise(sorted(t for t in times if begin <= t <= end)):
        while position + 1 < len(changes) and changes[position + 1][0] <= at:
            position += 1
        middle = (at + following) / 2
        if not _has_room(step, middle, changes[position][1], spans, entries):
            since = None
            continue
        since = at if since is None else since
        best = max(best, (following - since, since))
    return best


def _stops_agent(span: FaultSpan) -> bool:
    """Return whether an agent is away, so that nobody can ask its worker."""
    return span.end > span.start and any(AGENT.fullmatch(name) for name in span.names)


def _has_room(
    step: dict[str, Any],
    at: float,
    up: dict[str, _Worker],
    spans: list[FaultSpan],
    entries: frozenset[str],
) -> bool:
    """Return whether it is calm and two of the step's tasks, or more, could start."""
    near = [span for span in spans if span.start <= at <= span.end + CALM_SECONDS]
    if not all(span.planned for span in near):
        return False
    if any(_stops_agent(span) for span in near):
        return False
    affected = {name for span in near for name in span.names}
    stopped = {n for span in near if at <= span.end + ENTRY_SECONDS for n in span.names}
    if entries <= stopped:
        return False
    workers = [
        worker
        for instance, worker in up.items()
        if f"worker-{instance[2:]}" not in affected
    ]
    if 2 * sum(w.used for w in workers) >= sum(w.millicores for w in workers):
        return False
    label = step.get("requiredLabel", "")
    most = step.get("maxPerServer", math.inf)
    places = [
        min((worker.millicores - worker.used) // step["cpu"], most)
        for worker in workers
        if not label or worker.kind == label
    ]
    return sum(places) >= 2
