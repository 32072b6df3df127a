"""Run the soak test: `python -m soak.run --seeds 1-50`; prints a line per seed."""

import shutil
import sys
import tempfile
import time
from pathlib import Path

import cyclopts

from soak.callers import Caller
from soak.checker import find_violations
from soak.deployment import SoakDeployment
from soak.faults import Emphasis, Faults
from standins.stored_jobs import store_ended_jobs

ENTRIES = 2
UNEVEN_SPEEDS = (2.0, 1.0, 1.0)
"""Speeds of the entries where faults aim at leaders."""
AGENTS = 2
CALLERS = 2
ENDED_JOBS = 300
ENDED_JOB_BYTES = 3_000
"""Stored before a seed with slow answers, so that a list takes seconds to arrive."""
FAULT_SECONDS = 12.0
SETTLE_SECONDS = 40.0
"""How long after the last fault all accepted jobs must have ended: in the worst case a
run waits twice for leases to lapse (5.4 s each), and there is a backlog."""


def run_seed(
    seed: int,
    folder: Path,
    seconds: float = FAULT_SECONDS,
    *,
    emphasis: Emphasis = Emphasis.NONE,
) -> list[str]:
    """Run one seed with its files in `folder`; return the violations.

    Parameters: an `emphasis` on refusals adds tasks that outlast a cut, one on slow
    answers adds many ended jobs to the store.
    """
    speeds = UNEVEN_SPEEDS if emphasis is Emphasis.LEADERS else ()
    deployment = SoakDeployment(
        folder, entries=len(speeds) or ENTRIES, agents=AGENTS, speeds=speeds
    )
    long = emphasis is Emphasis.REFUSALS
    try:
        deployment.wait_until_ready()
        if emphasis is Emphasis.SLOW_ANSWERS:
            store_ended_jobs(deployment.store, ENDED_JOBS, ENDED_JOB_BYTES)
        restricted = emphasis is Emphasis.KINDS
        callers = [
            Caller(
                deployment,
                seed,
                number,
                long=long,
                restricted=restricted,
                poison=emphasis is Emphasis.POISON,
            )
            for number in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        faults = Faults(deployment, seed, emphasis)
        faults.inject(seconds)
        for caller in callers:
            caller.stopping.set()
            caller.join()
        _wait_for_jobs(callers)
        jobs = [job for caller in callers for job in caller.jobs]
        rows = [row for w in deployment.workers for row in deployment.rows_of(w)]
        killed = [(at, name.replace("worker", "i")) for at, name in faults.killed]
        violations = find_violations(jobs, rows, killed, deployment.cores)
        violations += [
            f"ended by itself: {p.name}" for p in deployment.processes if not p.alive
        ]
        lines = [f"{at:.3f} {what}" for at, what in faults.log]
        (folder / "faults.txt").write_text("\n".join(lines))
        (folder / "jobs.txt").write_text("\n".join(map(str, jobs)))
        return violations
    finally:
        deployment.close()


def _wait_for_jobs(callers: list[Caller]) -> None:
    end = time.monotonic() + SETTLE_SECONDS
    left = [(c, job) for c in callers for job in c.jobs if job.accepted_at]
    while left and time.monotonic() < end:
        for caller, job in left:
            if job.is_endless:
                caller.cancel(job)
            caller.poll(job)
        left = [
            (caller, job)
            for caller, job in left
            if not job.states or job.states[-1][1] not in ("done", "cancelled")
        ]


def _parse_seed_range(seeds: str, emphasis: Emphasis) -> list[tuple[int, Emphasis]]:
    first, _, last = seeds.partition("-")
    return [(seed, emphasis) for seed in range(int(first), int(last or first) + 1)]


def _read_seeds_file(path: Path) -> list[tuple[int, Emphasis]]:
    lines = path.read_text().splitlines()
    words = [line.split("|")[0].split() for line in lines if line[:1].isdigit()]
    return [(int(seed), Emphasis(" ".join(more))) for seed, *more in words]


def main(
    *,
    seeds: str = "1-10",
    seeds_file: Path | None = None,
    keep: Path | None = None,
    seconds: float = FAULT_SECONDS,
    emphasis: Emphasis = Emphasis.NONE,
) -> int:
    """Run seeds; the exit code is 1 if a guarantee was violated.

    Parameters: `seeds` such as `1-50`; `seeds_file` lists seeds instead, one per line;
    `keep` is a folder for the logs of failed seeds; `seconds` of faults per seed;
    `emphasis` makes one kind of fault frequent.
    """
    failed = []
    chosen = (
        _read_seeds_file(seeds_file)
        if seeds_file
        else _parse_seed_range(seeds, emphasis)
    )
    for seed, chosen_emphasis in chosen:
        with tempfile.TemporaryDirectory() as name:
            violations = run_seed(seed, Path(name), seconds, emphasis=chosen_emphasis)
            if violations and keep is not None:
                shutil.copytree(name, keep / f"seed-{seed}", dirs_exist_ok=True)
        print(
            f"seed {seed}: {'; '.join(violations) if violations else 'ok'}", flush=True
        )
        failed += [seed] if violations else []
    print(f"{len(failed)} failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
