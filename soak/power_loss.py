"""Kill everything at once, and ask for each job while all of it starts again.

`python -m soak.power_loss --rounds 30 --seed 1`; prints a line per round.
"""

import os
import random
import secrets
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

import cyclopts

from soak.deployment import SoakDeployment
from standins.platform_cluster import PREFIX, Program
from standins.processes import Process
from standins.stored_jobs import store_ended_jobs

ENTRIES = 3
AGENTS = 2
JOBS_PER_ROUND = 6
SUBMIT_ATTEMPTS = 10
DEADLINE_SECONDS = 3.0
VISIBLE_SECONDS = 3.0
"""How long after its acceptance a job may still be told to be unknown."""
MAX_START_DELAY_SECONDS = 3.0
ASK_PAUSE_SECONDS = 0.02
SETTLE_SECONDS = 14.0
"""How long after the fault every question must be answered."""
ASKED_AFTER_SECONDS = 3.0
FROZEN_SECONDS = 6.0
STORE_DELAY_SECONDS = 0.45
"""For each way."""
ENDED_JOBS = 400
ENDED_JOB_BYTES = 3_000


class Fault(Enum):
    """What happens in a round."""

    POWER = "power"
    """Every entry, agent and worker is killed, and started again."""
    LEADER = "leader"
    """The leader is killed, and started again."""
    LEADER_SLOW_STORE = "leader, slow store"
    """The same, and the store answers one of the others late."""
    FROZEN_SLOW_STORE = "frozen leader, slow store"
    """The leader stands still, and the store answers one of the others late."""


@dataclass
class Question:
    """A question for the state of a job."""

    job: str
    entry: str
    status: int
    """HTTP status; 0 for no answer."""
    seconds: float
    job_age: float
    """Seconds since the job was accepted, when it was answered."""
    since_fault: float

    @property
    def in_time(self) -> bool:
        """Whether the job was told to be known within the deadline."""
        return self.status == 200 and self.seconds <= DEADLINE_SECONDS


@dataclass
class Round:
    """The questions of one round."""

    fault: Fault
    questions: list[Question] = field(default_factory=list)

    def violations(self) -> list[str]:
        """Return a line for each answer that must not be given."""
        found = []
        for asked in self.questions:
            is_gone = asked.status == 410 and asked.job_age > VISIBLE_SECONDS
            is_late = asked.since_fault > SETTLE_SECONDS and not asked.in_time
            if is_gone or is_late:
                found.append(f"{asked}")
        return found

    def summary(self) -> str:
        """Return the numbers of answers by status, and the slowest one."""
        counts = Counter(
            str(asked.status) if asked.seconds <= DEADLINE_SECONDS else "late"
            for asked in self.questions
        )
        slowest = max((asked.seconds for asked in self.questions), default=0.0)
        return f"{self.fault.value}: {dict(sorted(counts.items()))}, {slowest:.2f} s"


class PowerLoss:
    """Rounds of faults on one deployment."""

    def __init__(self, deployment: SoakDeployment, seed: int) -> None:
        """Start without jobs."""
        self._deployment = deployment
        self._random = random.Random(f"power/{seed}")
        self._accepted_at_by_job: dict[str, float] = {}

    def play(self, fault: Fault) -> Round:
        """Submit jobs, inject a fault, and ask for all jobs until it is long over."""
        played = Round(fault)
        self._submit_jobs()
        time.sleep(self._random.uniform(0.0, 0.3))
        deployment = self._deployment
        leader = deployment.find_leader() or deployment.entries[0]
        is_all = fault is Fault.POWER
        hit: list[Process] = [leader]
        if is_all:
            hit = [*deployment.entries, *deployment.agents, *deployment.workers]
        links = []
        if fault in (Fault.LEADER_SLOW_STORE, Fault.FROZEN_SLOW_STORE):
            others = [entry for entry in deployment.entries if entry is not leader]
            name = self._random.choice(others).name
            links = [deployment.links[f"{name}>store"]]
        for link in links:
            link.faults(delay_seconds=STORE_DELAY_SECONDS)
        is_frozen = fault is Fault.FROZEN_SLOW_STORE
        for process in hit:
            os.kill(process.pid, signal.SIGSTOP if is_frozen else signal.SIGKILL)
        for process in hit:
            process.freeze() if is_frozen else process.kill()
        down = set(hit)
        fault_at = time.monotonic()
        begin = self._thaw if is_frozen else self._start
        starting = [threading.Thread(target=begin, args=(p, down)) for p in hit]
        self._random.shuffle(starting)
        asking = [
            threading.Thread(
                target=self._ask, args=(number, entry, played, fault_at, down)
            )
            for number, entry in enumerate(deployment.entries)
        ]
        for thread in [*starting, *asking]:
            thread.start()
        for thread in [*starting, *asking]:
            thread.join()
        for link in links:
            link.faults(delay_seconds=0.0)
        return played

    def _start(self, process: Process, down: set[Process]) -> None:
        delay = random.Random(f"{process.name}/{time.time()}").choice([0.0, 1.0])
        time.sleep(delay * random.uniform(0.0, MAX_START_DELAY_SECONDS))
        process.start()
        down.discard(process)

    def _thaw(self, process: Process, down: set[Process]) -> None:
        time.sleep(FROZEN_SECONDS)
        process.thaw()
        down.discard(process)

    def _submit_jobs(self) -> None:
        for _ in range(JOBS_PER_ROUND):
            job = secrets.token_hex(8)
            steps = [{"count": 2, "cpu": 500, "memMb": 64, "estMs": 500}]
            steps.append({"count": 1, "cpu": 500, "memMb": 64, "after": [0]})
            seconds = self._random.choice([0.1, 0.6, 2.0])
            body = {"spec": f'{{"seconds": {seconds}}}', "steps": steps}
            for _ in range(SUBMIT_ATTEMPTS):
                entry = self._random.randrange(len(self._deployment.entries))
                status, _ = self._deployment.call(
                    "POST", PREFIX + job, body, entry=entry
                )
                if status == 200:
                    self._accepted_at_by_job[job] = time.monotonic()
                    break

    def _ask(
        self,
        number: int,
        entry: Program,
        played: Round,
        fault_at: float,
        down: set[Process],
    ) -> None:
        choice = random.Random(f"{entry.name}/{len(self._accepted_at_by_job)}")
        jobs = list(self._accepted_at_by_job)
        end = fault_at + SETTLE_SECONDS + ASKED_AFTER_SECONDS
        while time.monotonic() < end:
            was_down = entry in down
            job = choice.choice(jobs[-4 * JOBS_PER_ROUND :])
            began_at = time.monotonic()
            status, _ = self._deployment.call("GET", PREFIX + job, entry=number)
            now = time.monotonic()
            if was_down and not status:
                time.sleep(ASK_PAUSE_SECONDS)
                continue
            played.questions.append(
                Question(
                    job,
                    entry.name,
                    status,
                    round(now - began_at, 3),
                    round(now - self._accepted_at_by_job[job], 3),
                    round(began_at - fault_at, 3),
                )
            )
            time.sleep(ASK_PAUSE_SECONDS)


def main(
    *,
    rounds: int = 30,
    seed: int = 1,
    ended_jobs: int = ENDED_JOBS,
    fault: Fault | None = None,
) -> int:
    """Play rounds; the exit code is 1 if a job was told to be unknown, or not in time.

    Parameters: `ended_jobs` are stored before the first round; `fault` is the only one
    that is injected, if given.
    """
    failed = 0
    choice = random.Random(seed)
    with tempfile.TemporaryDirectory() as name:
        deployment = SoakDeployment(Path(name), entries=ENTRIES, agents=AGENTS)
        try:
            deployment.wait_until_ready()
            store_ended_jobs(deployment.store, ended_jobs, ENDED_JOB_BYTES)
            power_loss = PowerLoss(deployment, seed)
            for number in range(1, rounds + 1):
                played = power_loss.play(fault or choice.choice([Fault.POWER, *Fault]))
                violations = played.violations()
                failed += bool(violations)
                print(f"round {number}: {played.summary()}", flush=True)
                for violation in violations[:5]:
                    print(f"  {violation}", flush=True)
        finally:
            deployment.close()
    print(f"{failed} of {rounds} rounds failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
