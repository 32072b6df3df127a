"""A lasting submission with many times: the last of them get no run.

Rule LOST, which holds for each task that lasts. One task lasts for each time. The times
are due within eleven seconds, and the room is more than enough. Nothing else happens.
"""

import sys
import time
from typing import Any

from review.small_deployment import Queue, Record, Shape, SmallDeployment, play

TIMES = 110
FEWER_TIMES = 90
INTERVAL_MS = 100
LASTING_SECONDS = 6.0
NOTHING_RUNNING_SECONDS = 3.0
WATCHED_SECONDS = 20.0
"""After the last time is due."""

SHAPE = Shape(queues=(Queue("watch", 0), Queue("seats", 0)))


def case(deployment: SmallDeployment, record: Record, trouble: bool) -> list[str]:
    """Play it, and return where the rule was broken."""
    time.sleep(2.0)
    times = TIMES if trouble else FEWER_TIMES
    step = {
        "count": 1,
        "cpu": 100,
        "memMb": 10,
        "estMs": 300,
        "longRunning": True,
    }
    began_ms = int(time.time() * 1000)
    job, status = deployment.submit(
        "watch",
        [step],
        {"lasting": True},
        times=times,
        startMs=began_ms,
        intervalMs=INTERVAL_MS,
    )
    if status != 200:
        return [f"LOST: the submission was answered {status}"]
    due = [(began_ms + number * INTERVAL_MS) / 1000 for number in range(times)]
    time.sleep(max(0.0, due[-1] + WATCHED_SECONDS - time.time()))
    deployment.state("watch", job)
    rows = deployment.rows()
    running = sum({"start": 1, "end": -1}.get(row[1], 0) for row in rows)
    cores = deployment.shape.agents * deployment.shape.cpu / 1000
    record.add(f"seen: {running} tasks of 0.1 cores run on {cores:.0f} cores")
    return _idle(job, due, time.time(), rows)


def _idle(
    job: str, due: list[float], judged: float, rows: list[list[Any]]
) -> list[str]:
    """Return the lasting tasks that had no run for too long."""
    starts_by_task: dict[str, float] = {}
    for at, kind, *row in rows:
        if kind == "start":
            starts_by_task.setdefault(row[1], at)
    broken = []
    for number, due_at in enumerate(due):
        task = f"{job}.{number}.0.0"
        waited = starts_by_task.get(task, judged) - due_at
        if waited > LASTING_SECONDS + NOTHING_RUNNING_SECONDS:
            began = "began" if task in starts_by_task else "has not begun"
            broken.append(f"LOST: the lasting task {task} {began} after {waited:.1f} s")
    return broken


if __name__ == "__main__":
    sys.exit(play(case, SHAPE))
