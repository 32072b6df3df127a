"""Steps that can't start now take all turns at the advice service.

Rule LOST. Eight submissions of an advised queue come within four seconds. Each may have
one task on a worker, so half of its tasks wait although there is room. A watch of the
same queue comes later, calmly. Its tasks need advice once.
"""

import sys
import time
from typing import Any

from review.small_deployment import Queue, Record, Shape, SmallDeployment, play

LARGE = 8
LARGE_SECONDS = 4.0
TASK_SECONDS = 60.0
CALM_SECONDS = 4.0
NOTHING_RUNNING_SECONDS = 3.0
WATCHED_SECONDS = 20.0
WATCHES = 2
ADVICE_CALL = {"decideMs": 120, "periodMs": 30, "validMs": 3000}

SHAPE = Shape(
    decide_seconds=ADVICE_CALL["decideMs"] / 1000,
    period_seconds=ADVICE_CALL["periodMs"] / 1000,
    valid_seconds=ADVICE_CALL["validMs"] / 1000,
    queues=(Queue("ledgers", 1, ADVICE_CALL), Queue("seats", 0)),
)


def case(deployment: SmallDeployment, record: Record, trouble: bool) -> list[str]:
    """Play it, and return where the rule was broken."""
    time.sleep(2.0)
    began = time.time()
    ledgers = []
    for number in range(LARGE if trouble else 0):
        time.sleep(max(0.0, began + number * LARGE_SECONDS / LARGE - time.time()))
        ledgers.append(_submit_ledger(deployment, number % deployment.shape.entries))
    calm_from = began + LARGE_SECONDS + CALM_SECONDS
    time.sleep(max(0.0, calm_from - time.time()))
    step = {
        "count": WATCHES,
        "cpu": 1000,
        "memMb": 100,
        "estMs": 300,
        "longRunning": True,
    }
    watch, status = deployment.submit("ledgers", [step], _behaviour(lasting=True))
    accepted_at = time.time()
    if status != 200:
        return [f"LOST: the watch was answered {status}"]
    time.sleep(WATCHED_SECONDS)
    deployment.state("ledgers", watch)
    rows = deployment.rows()
    _note_use(deployment, record, rows)
    broken = _idle(watch, accepted_at, time.time(), rows)
    started = {row[3].partition(".")[0] for row in rows if row[1] == "start"}
    seconds = time.time() - calm_from
    return broken + [
        f"LOST: {job} has had nothing running, {seconds:.1f} s of them calm"
        for job, status in ledgers
        if status == 200 and job not in started
    ]


def _submit_ledger(deployment: SmallDeployment, entry: int) -> tuple[str, int]:
    step = {
        "count": 2 * deployment.shape.agents,
        "cpu": 500,
        "memMb": 500,
        "estMs": int(TASK_SECONDS * 1000),
        "maxPerServer": 1,
    }
    behaviour = _behaviour(seconds=TASK_SECONDS)
    return deployment.submit("ledgers", [step], behaviour, entry=entry)


def _behaviour(**more: Any) -> dict[str, Any]:
    return {"advised": True} | more


def _note_use(
    deployment: SmallDeployment, record: Record, rows: list[list[Any]]
) -> None:
    running = sum({"start": 1, "end": -1}.get(row[1], 0) for row in rows)
    cores = deployment.shape.agents * deployment.shape.cpu / 1000
    record.add(f"seen: {running} tasks run on {cores:.0f} cores, each on at most 1")


def _idle(
    watch: str, accepted_at: float, judged: float, rows: list[list[Any]]
) -> list[str]:
    """Return the lasting tasks that had no run for too long."""
    broken = []
    for index in range(WATCHES):
        task = f"{watch}.0.0.{index}"
        starts = [row[0] for row in rows if row[1] == "start" and row[3] == task]
        waited = min(starts, default=judged) - accepted_at
        if waited > NOTHING_RUNNING_SECONDS:
            began = "began" if starts else "has not begun"
            broken.append(f"LOST: the lasting task {task} {began} after {waited:.1f} s")
    return broken


if __name__ == "__main__":
    sys.exit(play(case, SHAPE))
