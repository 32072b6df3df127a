"""Starts that the leader holds back for its link keep urgent ones waiting behind them.

Rule LOST. The entries have the links of the sheet, 5 Mbit/s. Eleven submissions of 200
small tasks, with specs of nearly 4,000 bytes, come within four seconds. Seat checks of
an urgent queue come later, calmly, with room for them many times over.
"""

import sys
import time
from typing import Any

from review.small_deployment import Queue, Record, Shape, SmallDeployment, play

LARGE = 11
LARGE_SECONDS = 4.0
STEPS = 5
TASKS_PER_STEP = 40
CPU = 100
TASK_SECONDS = 90.0
SPEC_BYTES = 3_900
CALM_SECONDS = 4.0
CHECKS = 10
CHECK_INTERVAL_SECONDS = 1.0
NOTHING_RUNNING_SECONDS = 3.0
WATCHED_SECONDS = 10.0
"""After the last check."""

SHAPE = Shape(
    link_mbps=5.0,
    cpu=64_000,
    memory_mb=250_000,
    hold_max_seconds=6.0,
    gang_wait_seconds=4.0,
    queues=(Queue("builds", 2), Queue("seats", 0)),
)


def case(deployment: SmallDeployment, record: Record, trouble: bool) -> list[str]:
    """Play it, and return where the rule was broken."""
    time.sleep(2.0)
    began = time.time()
    for number in range(LARGE if trouble else 0):
        time.sleep(max(0.0, began + number * LARGE_SECONDS / LARGE - time.time()))
        _submit_large(deployment, number % deployment.shape.entries)
    calm_from = began + LARGE_SECONDS + CALM_SECONDS
    checks = []
    for number in range(CHECKS):
        at = calm_from + number * CHECK_INTERVAL_SECONDS
        time.sleep(max(0.0, at - time.time()))
        job, status = _submit_check(deployment, number % deployment.shape.entries)
        if status == 200:
            checks.append((job, time.time()))
    time.sleep(WATCHED_SECONDS)
    judged = time.time()
    for job, _ in checks:
        deployment.state("seats", job)
    rows = deployment.rows()
    running = sum({"start": 1, "end": -1}.get(row[1], 0) for row in rows)
    cores = deployment.shape.agents * deployment.shape.cpu / 1000
    used = running * CPU / 1000
    record.add(f"seen: {running} tasks use {used:.0f} of {cores:.0f} cores")
    return _idle(checks, rows, judged)


def _submit_large(deployment: SmallDeployment, entry: int) -> None:
    step = {
        "count": TASKS_PER_STEP,
        "cpu": CPU,
        "memMb": 10,
        "estMs": int(TASK_SECONDS * 1000),
    }
    behaviour = {"seconds": TASK_SECONDS, "pad": "x" * SPEC_BYTES}
    deployment.submit("builds", [step] * STEPS, behaviour, entry=entry)


def _submit_check(deployment: SmallDeployment, entry: int) -> tuple[str, int]:
    step = {"count": 2, "cpu": 480, "memMb": 960, "estMs": 500}
    return deployment.submit("seats", [step], {"seconds": 0.5}, entry=entry)


def _idle(
    checks: list[tuple[str, float]], rows: list[list[Any]], judged: float
) -> list[str]:
    """Return the checks that had nothing running for too long."""
    broken = []
    for job, accepted_at in checks:
        starts = [r[0] for r in rows if r[1] == "start" and r[3].startswith(job)]
        waited = min(starts, default=judged) - accepted_at
        if waited > NOTHING_RUNNING_SECONDS:
            began = "began" if starts else "has not begun"
            broken.append(f"LOST: the check {job} {began} after {waited:.1f} s")
    return broken


if __name__ == "__main__":
    sys.exit(play(case, SHAPE))
