"""Submissions, stored values and heartbeats that must not stop the service."""

import random
import secrets
import time
from typing import Any

from soak.deployment import SoakDeployment
from standins.platform_cluster import host_of
from standins.processes import HttpError, http

MINUTE_MS = 60_000
OVERDUE_COUNTS = (100, 10_000, 300_000)
TIMEOUT_SECONDS = 1.0
SMALL = {"count": 1, "cpu": 100, "memMb": 8, "estMs": 100}
INVALID_STEPS: list[list[Any]] = [
    [SMALL, SMALL | {"after": [False]}],
    [SMALL | {"count": 0}],
    [SMALL | {"affinity": "\ud800"}],
    [SMALL | {"cpu": True}],
    [SMALL] * 1_500,
]


def endless_body(source: random.Random) -> dict[str, Any]:
    """Return a job that does not end: far overdue, or lasting and failing at once."""
    if source.random() < 0.4:
        step = SMALL | {"longRunning": True}
        return {"spec": '{"seconds": 0.02, "fail": true}', "steps": [step]}
    count = source.choice(OVERDUE_COUNTS)
    return {
        "spec": '{"seconds": 0.05}',
        "steps": [SMALL],
        "times": 2 * count,
        "startMs": int(time.time() * 1000) - count * MINUTE_MS,
        "intervalMs": MINUTE_MS,
    }


def invalid_body(source: random.Random) -> dict[str, Any]:
    """Return a job that must be refused."""
    return {"spec": "{}", "steps": source.choice(INVALID_STEPS)}


def store_unreadable_job(deployment: SoakDeployment) -> None:
    """Write a job into the store that no version of the programs can decode."""
    deployment.write_as_operator({f"wagtailcleat/jobs/{secrets.token_hex(8)}": {}})


def send_foreign_heartbeat(deployment: SoakDeployment, agent: int) -> None:
    """Send an agent the heartbeat of a worker that is not on its VM."""
    host = host_of(len(deployment.entries) + agent + 1)
    instance = f"i-foreign-{secrets.token_hex(2)}"
    url = f"http://{host}:{deployment.ports[4]}/instances/{instance}/heartbeat"
    try:
        http("POST", url, foreign_heartbeat(host), timeout=TIMEOUT_SECONDS)
    except HttpError:
        return


def foreign_heartbeat(host: str) -> dict[str, Any]:
    """Return the heartbeat of a worker that is not there."""
    return {
        "service": "no-such-service",
        "addr": f"{host}:1",
        "zone": "zilina-a",
        "version": "v1",
        "slots": 1,
        "state": "ready",
        "seq": 1,
        "coldLeftMs": 0,
        "born": int(time.time() * 1000),
        "capacity": {"cpu": 64_000, "memMb": 64_000, "gpu": 0},
        "labels": ["a", "r9"],
        "clockMs": 1,
    }
