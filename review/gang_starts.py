"""A gang whose starts take longer to send than its members wait for each other.

Rule GANG. The entries have the links of the sheet, 5 Mbit/s. A gang of 400 tasks with a
spec of nearly 4,000 bytes is submitted in calm, with room for it many times over.
"""

import sys
import time
from typing import Any

from review.small_deployment import Queue, Record, Shape, SmallDeployment, play

MEMBERS = 400
SPEC_BYTES = 3_900
CPU = 100
TASK_SECONDS = 2.0
WATCHED_SECONDS = 45.0

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
    step = {
        "count": MEMBERS,
        "cpu": CPU,
        "memMb": 10,
        "estMs": int(TASK_SECONDS * 1000),
        "gang": True,
    }
    behaviour = {
        "seconds": TASK_SECONDS,
        "members": MEMBERS,
        "pad": "x" * (SPEC_BYTES if trouble else 0),
    }
    job, status = deployment.submit("builds", [step], behaviour)
    if status != 200:
        return [f"LOST: the gang was answered {status}"]
    began = time.time()
    while time.time() < began + WATCHED_SECONDS:
        time.sleep(1.0)
        if deployment.state("builds", job) == "done":
            break
    rows = deployment.rows()
    return _alone(record, job, rows)


def _alone(record: Record, job: str, rows: list[list[Any]]) -> list[str]:
    """Return the attempts of the gang in which members ended `alone`."""
    broken = []
    own = [row for row in rows if row[1] in ("start", "end") and row[3].startswith(job)]
    for number in sorted({row[4] for row in own}):
        starts = [row[0] for row in own if row[1] == "start" and row[4] == number]
        ends = [row[5] for row in own if row[1] == "end" and row[4] == number]
        span = max(starts) - min(starts) if starts else 0.0
        counts = ", ".join(f"{ends.count(how)} {how}" for how in sorted(set(ends)))
        text = f"run {number}: {len(starts)} starts in {span:.2f} s, ends: {counts}"
        record.add(f"seen: {text}")
        if "alone" in ends:
            broken.append(f"GANG: {text}")
    return broken


if __name__ == "__main__":
    sys.exit(play(case, SHAPE))
