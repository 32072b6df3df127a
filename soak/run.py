"""Run the soak: `python -m soak.run --seeds 1-50`; each failure prints its seed."""

import shutil
import sys
import tempfile
import time
from pathlib import Path

import cyclopts

from soak.callers import Caller
from soak.deployment import SoakDeployment
from soak.faults import Emphasis, Faults
from soak.judge import problems
from standins.stored_jobs import store_ended_jobs

ENTRIES = 2
AGENTS = 2
CALLERS = 2
ENDED_JOBS = 300
ENDED_JOB_BYTES = 3_000
"""Stored before a seed with slow answers, so that a list takes seconds to arrive."""
STRIKE_SECONDS = 12.0
SETTLE_SECONDS = 40.0
"""After the last fault every accepted job must end in this time: what was under way
at the worst waits for leases to lapse (5.4 s) twice, and there is a backlog."""


def play(
    seed: int,
    folder: Path,
    seconds: float = STRIKE_SECONDS,
    *,
    emphasis: Emphasis = Emphasis.NONE,
) -> list[str]:
    """Play one seed in `folder`; return the promises that were broken.

    Parameters: an `emphasis` on refusals comes with tasks that outlast a cut, one on
    slow answers with many jobs that have ended.
    """
    deployment = SoakDeployment(folder, entries=ENTRIES, agents=AGENTS)
    long = emphasis is Emphasis.REFUSALS
    try:
        deployment.until_open()
        if emphasis is Emphasis.SLOW_ANSWERS:
            store_ended_jobs(deployment.store, ENDED_JOBS, ENDED_JOB_BYTES)
        callers = [
            Caller(deployment, seed, number, long=long) for number in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        faults = Faults(deployment, seed, emphasis)
        faults.play(seconds)
        for caller in callers:
            caller.stopping.set()
            caller.join()
        _settle(callers)
        jobs = [job for caller in callers for job in caller.jobs]
        rows = [row for w in deployment.workers for row in deployment.rows_of(w)]
        killed = [(at, name.replace("worker", "i")) for at, name in faults.killed]
        found = problems(jobs, rows, killed, deployment.cores)
        found += [
            f"ended by itself: {p.name}" for p in deployment.processes if not p.alive
        ]
        lines = [f"{at:.3f} {what}" for at, what in faults.log]
        (folder / "faults.txt").write_text("\n".join(lines))
        (folder / "jobs.txt").write_text("\n".join(map(str, jobs)))
        return found
    finally:
        deployment.close()


def _settle(callers: list[Caller]) -> None:
    end = time.monotonic() + SETTLE_SECONDS
    left = [(c, job) for c in callers for job in c.jobs if job.accepted_at]
    while left and time.monotonic() < end:
        for caller, job in left:
            caller.ask(job)
        left = [
            (caller, job)
            for caller, job in left
            if not job.states or job.states[-1][1] not in ("done", "cancelled")
        ]


def _numbers(seeds: str, emphasis: Emphasis) -> list[tuple[int, Emphasis]]:
    first, _, last = seeds.partition("-")
    return [(seed, emphasis) for seed in range(int(first), int(last or first) + 1)]


def _listed(path: Path) -> list[tuple[int, Emphasis]]:
    lines = path.read_text().splitlines()
    words = [line.split("|")[0].split() for line in lines if line[:1].isdigit()]
    return [(int(seed), Emphasis(" ".join(more))) for seed, *more in words]


def main(
    *,
    seeds: str = "1-10",
    seeds_file: Path | None = None,
    keep: Path | None = None,
    seconds: float = STRIKE_SECONDS,
    emphasis: Emphasis = Emphasis.NONE,
) -> int:
    """Play seeds; the exit code is 1 where a promise was broken.

    Parameters: `seeds` such as `1-50`; `seeds_file` names seeds instead, one a line;
    `keep` is a folder for the logs of failed seeds; `seconds` of faults a seed;
    `emphasis` makes one kind of fault frequent.
    """
    failed = []
    chosen = _listed(seeds_file) if seeds_file else _numbers(seeds, emphasis)
    for seed, chosen_emphasis in chosen:
        with tempfile.TemporaryDirectory() as name:
            found = play(seed, Path(name), seconds, emphasis=chosen_emphasis)
            if found and keep is not None:
                shutil.copytree(name, keep / f"seed-{seed}", dirs_exist_ok=True)
        print(f"seed {seed}: {'; '.join(found) if found else 'ok'}", flush=True)
        failed += [seed] if found else []
    print(f"{len(failed)} failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
