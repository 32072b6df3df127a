"""Callers of the soak test: they submit jobs, poll their state and cancel some."""

import random
import secrets
import threading
import time
from dataclasses import dataclass, field
from typing import Any

from soak.deployment import SoakDeployment
from soak.poison import endless_body, invalid_body
from standins.platform_cluster import PREFIX

SUBMIT_ATTEMPTS = 6
LONG_TASK_SECONDS = 16.0
"""A run that began before a cut then outlasts the next leader's recovery."""
LONG_TASK_SHARE = 0.2
"""Share of the jobs; the workers have capacity for all of these beside the others."""
ENDLESS_SHARE = 0.06
INVALID_SHARE = 0.1

RESTRICTIONS: list[dict[str, Any]] = [
    {},
    {"maxPerServer": 1},
    {"maxPerServer": 2},
    {"requiredLabel": "a"},
]


@dataclass
class Submitted:
    """A job as its caller observed it; times are wall clock seconds."""

    job: str
    steps: list[dict[str, Any]]
    statuses: list[int] = field(default_factory=list)
    """HTTP status of each attempt to submit; 0 for no answer."""
    accepted_at: float = 0.0
    cancelled_at: float = 0.0
    """When its cancellation was acknowledged."""
    cancel_sent_at: float = 0.0
    """When it was first asked to be cancelled."""
    cancel_tried: bool = False
    is_endless: bool = False
    """Whether it ends only when it is cancelled."""
    is_lasting: bool = False
    """Whether it is endless and its one task lasts until then."""
    is_invalid: bool = False
    """Whether it must be refused."""
    states: list[tuple[float, str]] = field(default_factory=list)
    """Time and value of each state returned; `gone` for status 410."""

    @property
    def refused(self) -> bool:
        """Whether every attempt to submit was answered with a refusal."""
        return bool(self.statuses) and set(self.statuses) <= {429, 503}


class Caller(threading.Thread):
    """A thread that submits, polls and cancels jobs."""

    def __init__(
        self,
        deployment: SoakDeployment,
        seed: int,
        number: int,
        *,
        long: bool = False,
        restricted: bool = False,
        poison: bool = False,
    ) -> None:
        """Seed the random choices.

        Parameters: with `long`, some tasks take `LONG_TASK_SECONDS`; with `restricted`,
        some steps name a label or bound their tasks on one worker; with `poison`, some
        jobs do not end, and others are invalid.
        """
        super().__init__(daemon=True)
        self.jobs: list[Submitted] = []
        self.stopping = threading.Event()
        self._deployment = deployment
        self._long = long
        self._restricted = restricted
        self._poison = poison
        self._random = random.Random(f"callers/{seed}/{number}")

    def run(self) -> None:
        """Submit, poll and cancel until `stopping` is set."""
        while not self.stopping.is_set():
            if not self.jobs or self._random.random() < 0.35:
                self._submit()
            else:
                job = self._random.choice(self.jobs[-12:])
                if self._random.random() < 0.08:
                    self.cancel(job)
                else:
                    self.poll(job)
            self.stopping.wait(self._random.uniform(0.02, 0.3))

    def _pick_entry(self) -> int:
        return self._random.randrange(len(self._deployment.entries))

    def _submit(self) -> None:
        sizes = [self._random.randint(1, 4) for _ in range(self._random.randint(1, 2))]
        cpu = self._random.choice([500, 1000, 2000])
        steps = [
            {"count": count, "cpu": cpu, "memMb": 64, "estMs": 500} for count in sizes
        ]
        if len(steps) > 1:
            steps[1]["after"] = [0]
        seconds = self._random.choice([0.1, 0.4, 1.2, 2.5])
        if self._long and self._random.random() < LONG_TASK_SHARE:
            steps = [steps[0] | {"count": 1, "cpu": 500}]
            seconds = LONG_TASK_SECONDS
        if self._restricted:
            steps = [step | self._random.choice(RESTRICTIONS) for step in steps]
        body = {"spec": f'{{"seconds": {seconds}}}', "steps": steps}
        kind = self._random.random() if self._poison else 1.0
        if kind < ENDLESS_SHARE:
            body = endless_body(self._random)
        elif kind < ENDLESS_SHARE + INVALID_SHARE:
            body = invalid_body(self._random)
        job = Submitted(secrets.token_hex(8), body["steps"])
        job.is_endless = kind < ENDLESS_SHARE
        job.is_invalid = ENDLESS_SHARE <= kind < ENDLESS_SHARE + INVALID_SHARE
        self.jobs.append(job)
        for _ in range(SUBMIT_ATTEMPTS):
            path = PREFIX + job.job
            status, _ = self._deployment.call(
                "POST", path, body, entry=self._pick_entry()
            )
            job.statuses.append(status)
            if status == 200:
                job.accepted_at = time.time()
            if status in (200, 400):
                return
            self.stopping.wait(self._random.uniform(0.1, 0.5))

    def poll(self, job: Submitted) -> None:
        """Request a job's state from a random entry."""
        status, body = self._deployment.call(
            "GET", PREFIX + job.job, entry=self._pick_entry()
        )
        if status == 200:
            job.states.append((time.time(), body["state"]))
        elif status == 410:
            job.states.append((time.time(), "gone"))

    def cancel(self, job: Submitted) -> None:
        """Cancel a job once, or until that is acknowledged if it is endless."""
        is_over = job.cancelled_at if job.is_endless else job.cancel_tried
        if not job.accepted_at or is_over:
            return
        job.cancel_tried = True
        job.cancel_sent_at = job.cancel_sent_at or time.time()
        status, _ = self._deployment.call(
            "DELETE", PREFIX + job.job, entry=self._pick_entry()
        )
        if status == 200:
            job.cancelled_at = time.time()
