"""Callers of the soak: they hand in jobs, ask for their state, and cancel some."""

import random
import secrets
import threading
import time
from dataclasses import dataclass, field
from typing import Any

from soak.deployment import SoakDeployment
from standins.platform_cluster import PREFIX

TRIES = 6
LONG_TASK_SECONDS = 16.0
"""A run that began before a cut outlasts what the next leader waits for it."""
LONG_SHARE = 0.2
"""Of the jobs; the workers have room for all of them beside the rest."""


@dataclass
class Submitted:
    """A job as its caller knows it; times in wall clock seconds."""

    job: str
    steps: list[dict[str, Any]]
    statuses: list[int] = field(default_factory=list)
    """Answers to each try; 0 for none."""
    accepted_at: float = 0.0
    cancelled_at: float = 0.0
    """When a cancellation was acknowledged."""
    cancel_tried: bool = False
    states: list[tuple[float, str]] = field(default_factory=list)
    """Each state that was shown; `gone` for an answer 410."""

    @property
    def refused(self) -> bool:
        """Whether every try was answered, and by a refusal."""
        return bool(self.statuses) and set(self.statuses) <= {429, 503}


class Caller(threading.Thread):
    """One caller, in a thread of its own."""

    def __init__(
        self, deployment: SoakDeployment, seed: int, number: int, *, long: bool = False
    ) -> None:
        """Call any entry; the seed decides what, `long` whether some tasks are long."""
        super().__init__(daemon=True)
        self.jobs: list[Submitted] = []
        self.stopping = threading.Event()
        self._deployment = deployment
        self._long = long
        self._random = random.Random(f"callers/{seed}/{number}")

    def run(self) -> None:
        """Hand in, ask and cancel until told to stop."""
        while not self.stopping.is_set():
            if not self.jobs or self._random.random() < 0.35:
                self._submit()
            else:
                job = self._random.choice(self.jobs[-12:])
                if self._random.random() < 0.08:
                    self.cancel(job)
                else:
                    self.ask(job)
            self.stopping.wait(self._random.uniform(0.02, 0.3))

    def _entry(self) -> int:
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
        if self._long and self._random.random() < LONG_SHARE:
            steps = [steps[0] | {"count": 1, "cpu": 500}]
            seconds = LONG_TASK_SECONDS
        job = Submitted(secrets.token_hex(8), steps)
        self.jobs.append(job)
        body = {"spec": f'{{"seconds": {seconds}}}', "steps": steps}
        for _ in range(TRIES):
            path = PREFIX + job.job
            status, _ = self._deployment.call("POST", path, body, entry=self._entry())
            job.statuses.append(status)
            if status == 200:
                job.accepted_at = time.time()
                return
            self.stopping.wait(self._random.uniform(0.1, 0.5))

    def ask(self, job: Submitted) -> None:
        """Ask for a job's state at any entry."""
        status, body = self._deployment.call(
            "GET", PREFIX + job.job, entry=self._entry()
        )
        if status == 200:
            job.states.append((time.time(), body["state"]))
        elif status == 410:
            job.states.append((time.time(), "gone"))

    def cancel(self, job: Submitted) -> None:
        """Cancel a job that was accepted."""
        if not job.accepted_at or job.cancel_tried:
            return
        job.cancel_tried = True
        status, _ = self._deployment.call(
            "DELETE", PREFIX + job.job, entry=self._entry()
        )
        if status == 200:
            job.cancelled_at = time.time()
