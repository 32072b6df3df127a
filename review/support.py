"""What the scripts of the review share: a small deployment, callers and a record."""

import json
import os
import secrets
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from standins.platform_cluster import HOST, PREFIX, PlatformCluster, Program, host_of
from standins.processes import HttpError, http

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a case: the rule held, was broken, or the case could not run."""
DEADLINE_MS = 3_000
"""How long a caller waits for an answer, by the sheets of the small deployments."""
LONGEST_OVERLAP_SECONDS = 0.2
"""Shorter overlaps are not counted: rows of different processes are compared."""
FINISH_SECONDS = 14.0
"""`finish_s` of the small deployments."""
ENTRY_SETTINGS = {
    "grace": 6,
    "status_kept": 120,
    "stop_ms": 400,
    "restore_ms": 250,
    "far_factor": 1.5,
    "cpu_share": 0.537,
    "cpu_speed": 2,
    "link_mbps": 1000.0,
}
"""Settings of an entry as the template makes them for `primeur-sched`."""
AGENT_SETTINGS = {"grace": 6, "run_lease_limit_ms": 6_000}


def is_disrupted() -> bool:
    """Return whether the disruption is wanted: not with `TROUBLE=0`."""
    return os.environ.get("TROUBLE", "1") != "0"


class Recorder:
    """The record of a case: one JSON line for each thing sent, answered or run."""

    def __init__(self, path: Path) -> None:
        """Start an empty record in `path`."""
        self.started_at = time.time()
        self._file = path.open("w", buffering=1)
        self._lock = threading.Lock()

    def add(self, what: str, **fields: Any) -> float:
        """Add a line, print it, and return its time in seconds since the start."""
        at = round(time.time() - self.started_at, 3)
        line = json.dumps({"at": at, "what": what} | fields)
        with self._lock:
            self._file.write(line + "\n")
        return at

    def say(self, text: str, **fields: Any) -> None:
        """Add a line of the verdict, and print it."""
        self.add(text, **fields)
        print(text, json.dumps(fields) if fields else "", flush=True)


class SmallDeployment(PlatformCluster):
    """Entries and agents with the settings of a small deployment."""

    def _start_program(
        self, name: str, module: str, settings: dict[str, Any]
    ) -> Program:
        extra = ENTRY_SETTINGS if "front" in settings else AGENT_SETTINGS
        extra = extra | {"store": f"127.0.0.1:{self.store.ready['port']}"}
        return super()._start_program(name, module, settings | extra)

    def entry_url(self, entry: int) -> str:
        """Return the base URL of an entry for callers."""
        return f"http://{host_of(entry + 1)}:{self.ports[2]}"

    def control_url(self, agent: int) -> str:
        """Return the URL at which an agent takes its worker's heartbeats."""
        host = host_of(len(self.entries) + agent + 1)
        return f"http://{host}:{self.ports[4]}"


class Callers:
    """Calls of consumers, each recorded with its answer."""

    def __init__(self, deployment: SmallDeployment, record: Recorder) -> None:
        """Call the entries of `deployment`."""
        self._deployment = deployment
        self._record = record

    def call(
        self, method: str, job: str, body: Any = None, *, entry: int
    ) -> tuple[int, Any]:
        """Make one call about a job; the status is 0 if no answer came in time."""
        url = self._deployment.entry_url(entry) + PREFIX + job
        headers = {"Host": HOST, "Wagtailcleat-Deadline-Ms": str(DEADLINE_MS)}
        sent_at = time.time()
        try:
            answer = http(method, url, body, headers, timeout=DEADLINE_MS / 1000)
            status, shown = answer.status, answer.json() if answer.body else None
        except HttpError as error:
            status, shown = 0, str(error)
        self._record.add(
            "call",
            method=method,
            job=job,
            entry=entry + 1,
            status=status,
            answer=shown,
            seconds=round(time.time() - sent_at, 3),
        )
        return status, shown

    def submit(self, steps: list[Any], *, entry: int, **fields: Any) -> tuple[str, int]:
        """Submit a new job once; return its id and the status."""
        job = secrets.token_hex(8)
        spec = json.dumps(fields.pop("spec", {"seconds": 0.5}))
        body = {"spec": spec, "steps": steps} | fields
        status, _ = self.call("POST", job, body, entry=entry)
        return job, status

    def state(self, job: str, *, entries: int) -> str:
        """Ask each entry in turn for a job's state; return the first answer."""
        for entry in range(entries):
            status, shown = self.call("GET", job, entry=entry)
            if status == 200:
                return str(shown["state"])
            if status == 410:
                return "410"
        return ""


def overlaps(rows: list[list[Any]], until: float) -> list[dict[str, Any]]:
    """Return the runs of one task that were in progress at the same time."""
    spans: dict[str, list[tuple[float, float, str, int]]] = {}
    started: dict[tuple[str, str, int], float] = {}
    for kind, at, instance, task, run, *_ in rows:
        if kind == "start":
            started[instance, task, run] = at
        elif kind == "end":
            begun = started.pop((instance, task, run))
            spans.setdefault(task, []).append((begun, at, instance, run))
    for (instance, task, run), begun in started.items():
        spans.setdefault(task, []).append((begun, until, instance, run))
    found = []
    for task, runs in spans.items():
        runs.sort()
        for first, second in zip(runs, runs[1:], strict=False):
            seconds = min(first[1], second[1]) - second[0]
            if seconds > LONGEST_OVERLAP_SECONDS:
                found.append(
                    {
                        "task": task,
                        "workers": [first[2], second[2]],
                        "runs": [first[3], second[3]],
                        "seconds": round(seconds, 3),
                    }
                )
    return found


def run_case(folder: str, play: Callable[[Path, Recorder], bool]) -> int:
    """Run a case in a temporary folder; return its exit code.

    Parameters: `folder` is the case's own, for the record; `play` returns whether the
    rule held.
    """
    record = Recorder(Path(folder) / "record.txt")
    try:
        with tempfile.TemporaryDirectory() as work:
            held = play(Path(work), record)
    except (AssertionError, OSError, HttpError) as error:
        record.say(f"the case could not run: {error}")
        return NOT_RUN
    record.say("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN


def finish(code: int) -> None:
    """End the process with an exit code."""
    sys.stdout.flush()
    sys.exit(code)
