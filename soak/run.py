"""Run the soak: `python -m soak.run --seeds 1-50`; each failure prints its seed."""

import shutil
import sys
import tempfile
import time
from pathlib import Path

import cyclopts

from soak.callers import Caller
from soak.deployment import SoakDeployment
from soak.faults import Faults
from soak.judge import problems

ENTRIES = 2
AGENTS = 2
CALLERS = 2
REFUSALS = "refusals"
"""In the list of seeds: played with zones cut off by refusals."""
STRIKE_SECONDS = 12.0
SETTLE_SECONDS = 40.0
"""After the last fault every accepted job must end in this time: what was under way
at the worst waits for leases to lapse (5.4 s) twice, and there is a backlog."""


def play(
    seed: int,
    folder: Path,
    seconds: float = STRIKE_SECONDS,
    *,
    refusals: bool = False,
) -> list[str]:
    """Play one seed in `folder`; return the promises that were broken.

    Parameters: `refusals` adds zones that are cut off by refused connections, and
    tasks that outlast such a cut.
    """
    deployment = SoakDeployment(folder, entries=ENTRIES, agents=AGENTS)
    try:
        deployment.until_open()
        callers = [
            Caller(deployment, seed, number, long=refusals) for number in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        faults = Faults(deployment, seed, refusals=refusals)
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


def _numbers(seeds: str, refusals: bool) -> list[tuple[int, bool]]:
    first, _, last = seeds.partition("-")
    return [(seed, refusals) for seed in range(int(first), int(last or first) + 1)]


def _listed(path: Path) -> list[tuple[int, bool]]:
    lines = path.read_text().splitlines()
    words = [line.split("|")[0].split() for line in lines if line[:1].isdigit()]
    return [(int(seed), REFUSALS in more) for seed, *more in words]


def main(
    *,
    seeds: str = "1-10",
    seeds_file: Path | None = None,
    keep: Path | None = None,
    seconds: float = STRIKE_SECONDS,
    refusals: bool = False,
) -> int:
    """Play seeds; the exit code is 1 where a promise was broken.

    Parameters: `seeds` such as `1-50`; `seeds_file` names seeds instead, one a line;
    `keep` is a folder for the logs of failed seeds; `seconds` of faults a seed;
    `refusals` cuts zones off by refused connections too.
    """
    failed = []
    chosen = _listed(seeds_file) if seeds_file else _numbers(seeds, refusals)
    for seed, refused in chosen:
        with tempfile.TemporaryDirectory() as name:
            found = play(seed, Path(name), seconds, refusals=refused)
            if found and keep is not None:
                shutil.copytree(name, keep / f"seed-{seed}", dirs_exist_ok=True)
        print(f"seed {seed}: {'; '.join(found) if found else 'ok'}", flush=True)
        failed += [seed] if found else []
    print(f"{len(failed)} failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
