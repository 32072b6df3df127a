"""Large submissions come at once, and small ones get no run.

Rule LOST. Eight submissions within four seconds have a thousand steps each, and ten
occurrences that are due. All their tasks could run. Seats are checked meanwhile, and
one watch lasts on each worker.
"""

import sys
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from review.small_deployment import Queue, Record, Shape, SmallDeployment, play

LARGE = 8
LARGE_INTERVAL_SECONDS = 0.5
LARGE_AFTER_SECONDS = 2.0
CALM_AFTER_SECONDS = LARGE_AFTER_SECONDS + LARGE * LARGE_INTERVAL_SECONDS + 4.0
"""After the first check: 4 s after the large submissions came."""
CALLERS = 40
STEPS = 1000
OCCURRENCES = 10
CHECKS = 60
CHECK_INTERVAL_SECONDS = 0.5
FINISH_SECONDS = 14.0
"""The bound `finish_s`."""
NOTHING_RUNNING_SECONDS = 3.0
LASTING_SECONDS = 6.0 + NOTHING_RUNNING_SECONDS
"""A lasting task is owed from 6 s after its last run, and judged 3 s later."""
WATCHES = 11

SHAPE = Shape(queues=(Queue("builds", 2), Queue("seats", 0), Queue("watch", 0)))


def case(deployment: SmallDeployment, record: Record, trouble: bool) -> list[str]:
    """Play it, and return where the rule was broken."""
    watch = _start_watches(deployment)
    began = time.time()
    with ThreadPoolExecutor(CALLERS) as pool:
        for number in range(LARGE if trouble else 0):
            at = began + LARGE_AFTER_SECONDS + number * LARGE_INTERVAL_SECONDS
            pool.submit(_submit_large, deployment, number, at)
        answers = [
            pool.submit(_submit_check, deployment, number, began)
            for number in range(CHECKS)
        ]
    checks = [
        (job, at) for job, status, at in (a.result() for a in answers) if status == 200
    ]
    ended = time.time()
    record.add("the traffic ends")
    _sleep_until(ended + FINISH_SECONDS)
    shown = [(job, at, _final_state(deployment, job)) for job, at in checks]
    judged = time.time()
    rows = deployment.rows()
    for entry in range(deployment.shape.entries):
        epoch = deployment.metric(entry, "epoch")
        record.add(f"seen: entry {entry} follows the leader of epoch {epoch}")
    return [
        *_unanswered(shown),
        *_idle_checks(shown, rows, began + CALM_AFTER_SECONDS, judged),
        *_idle_watches(watch, rows, judged),
    ]


def _start_watches(deployment: SmallDeployment) -> str:
    step = {
        "count": WATCHES,
        "cpu": 6400,
        "memMb": 13000,
        "estMs": 320,
        "longRunning": True,
        "maxPerServer": 1,
        "image": "watch",
        "targetMs": 18,
    }
    behaviour = {"lasting": True, "target_ms": 18}
    job, _ = deployment.submit("watch", [step], behaviour)
    time.sleep(6.0)
    return job


def _submit_large(deployment: SmallDeployment, number: int, at: float) -> None:
    _sleep_until(at)
    step = {
        "count": 1,
        "cpu": 16000,
        "memMb": 64,
        "estMs": 1700,
        "fills": True,
        "image": "build",
    }
    deployment.submit(
        "builds",
        [step] * STEPS,
        {"seconds": 1.7, "cpu": 16000},
        entry=number % deployment.shape.entries,
        times=OCCURRENCES,
        startMs=int(time.time() * 1000) - 1000,
        intervalMs=100,
    )


def _submit_check(
    deployment: SmallDeployment, number: int, began: float
) -> tuple[str, int, float]:
    """Submit a check in its turn; return id, status and when that was answered."""
    _sleep_until(began + number * CHECK_INTERVAL_SECONDS)
    step = {"count": 2, "cpu": 480, "memMb": 960, "estMs": 500}
    entry = number % deployment.shape.entries
    job, status = deployment.submit("seats", [step], {"seconds": 0.5}, entry=entry)
    return job, status, time.time()


def _final_state(deployment: SmallDeployment, job: str) -> str:
    """Ask two entries, as a caller that got no answer would."""
    shown = deployment.state("seats", job, entry=0)
    if shown.startswith("status"):
        shown = deployment.state("seats", job, entry=1)
    return shown


def _unanswered(shown: list[tuple[str, float, str]]) -> list[str]:
    return [
        f"LOST: {job} was accepted, and asked {FINISH_SECONDS:.0f} s after the traffic"
        f" two entries in turn gave no state ({state})"
        for job, _, state in shown
        if state.startswith("status")
    ]


def _idle_checks(
    shown: list[tuple[str, float, str]],
    rows: list[list[Any]],
    calm_from: float,
    judged: float,
) -> list[str]:
    """Return the checks that had nothing running for too long in the calm time."""
    broken = []
    for job, accepted_at, _ in shown:
        starts = [r[0] for r in rows if r[1] == "start" and r[3].startswith(job)]
        first = min(starts, default=judged)
        waited = first - max(accepted_at, calm_from)
        if waited > NOTHING_RUNNING_SECONDS:
            broken.append(f"LOST: {job} had nothing running for {waited:.1f} s")
    return broken


def _idle_watches(watch: str, rows: list[list[Any]], judged: float) -> list[str]:
    """Return the lasting tasks that had no run for too long."""
    broken = []
    for index in range(WATCHES):
        task = f"{watch}.0.0.{index}"
        gone_at: float | None = None
        for at, kind, *row in [*rows, [judged, "start", "", task]]:
            if kind in ("start", "end") and row[1] == task:
                if kind == "start" and gone_at and at - gone_at > LASTING_SECONDS:
                    why = f"had no run for {at - gone_at:.1f} s after a lapse"
                    broken.append(f"LOST: the lasting task {task} {why}")
                gone_at = at if kind == "end" else None
    return broken


def _sleep_until(at: float) -> None:
    time.sleep(max(0.0, at - time.time()))


if __name__ == "__main__":
    sys.exit(play(case, SHAPE))
