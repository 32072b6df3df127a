"""Run the soak test: `python -m soak.run --seeds 1-50`; prints a line per seed."""

import shutil
import signal
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import cyclopts

from soak.callers import Caller, Submitted
from soak.checker import find_violations
from soak.connections import ConnectionCaller
from soak.deployment import SoakDeployment, find_crashed_parts
from soak.emphasis import Emphasis
from soak.faults import Faults
from soak.lost import FinalAnswer, find_cut_answers, find_idle, find_unanswered
from soak.shutdowns import GRACE_SECONDS
from standins.platform_cluster import PREFIX
from standins.processes import let_children_receive_signals
from standins.stored_jobs import store_ended_jobs

ENTRIES = 2
UNEVEN_SPEEDS = (2.0, 1.0, 1.0)
"""Speeds of the entries where faults aim at leaders."""
AGENTS = 2
MORE_ENTRIES = 3
MORE_AGENTS = 3
"""With shutdowns or odd entries: some of them go on while others stop."""
SHORT_GRACE_SECONDS = 4.0
CALLERS = 2
FINISH_SECONDS = 14.0
"""So long after the end of the traffic, each entry is asked for the jobs."""
MOST_QUESTIONS = 60
MOST_SHOWN = 2
"""Violations of one kind that are printed for a seed."""
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
    answers adds many ended jobs to the store, and one on shutdowns or odd entries adds
    callers that keep their connections, and lasting tasks.
    """
    let_children_receive_signals()
    speeds = UNEVEN_SPEEDS if emphasis is Emphasis.LEADERS else ()
    more = emphasis in (Emphasis.SHUTDOWNS, Emphasis.ODD_ENTRIES)
    deployment = SoakDeployment(
        folder,
        entries=len(speeds) or (MORE_ENTRIES if more else ENTRIES),
        agents=MORE_AGENTS if more else AGENTS,
        speeds=speeds,
        grace=GRACE_SECONDS if more else SHORT_GRACE_SECONDS,
    )
    try:
        deployment.wait_until_ready()
        if emphasis is Emphasis.SLOW_ANSWERS:
            store_ended_jobs(deployment.store, ENDED_JOBS, ENDED_JOB_BYTES)
        callers = [
            Caller(
                deployment,
                seed,
                number,
                long=emphasis in (Emphasis.REFUSALS, Emphasis.SHUTDOWNS),
                restricted=emphasis is Emphasis.KINDS,
                poison=emphasis is Emphasis.POISON,
            )
            for number in range(1 if more else CALLERS)
        ]
        connections = [
            ConnectionCaller(deployment, seed, entry, keep=keep)
            for entry in range(len(deployment.entries) if more else 0)
            for keep in (True, False)
        ]
        faults = Faults(deployment, seed, emphasis)
        observed = _play(deployment, faults, callers, connections, seconds)
        jobs = [job for thread in [*callers, *connections] for job in thread.jobs]
        lines = [f"{at:.3f} {what}" for at, what in sorted(faults.log)]
        (folder / "faults.txt").write_text("\n".join(lines))
        (folder / "jobs.txt").write_text("\n".join(map(str, jobs)))
        seen = [str(each) for c in connections for each in [*c.cuts, *c.silent]]
        (folder / "connections.txt").write_text("\n".join(seen))
        rows = [row for w in deployment.workers for row in deployment.rows_of(w)]
        killed = [(at, name.replace("worker", "i")) for at, name in faults.killed]
        violations = find_violations(jobs, rows, killed, deployment.cores)
        rows = sorted(
            rows + [["gone", at, name, "", 0, ""] for at, name in killed],
            key=lambda row: row[1],
        )
        cuts = [cut for connection in connections for cut in connection.cuts]
        violations += find_cut_answers(cuts, faults.spans)
        violations += find_unanswered(observed.answers)
        entries = frozenset(entry.name for entry in deployment.entries)
        violations += find_idle(jobs, rows, faults.spans, observed.until, entries)
        violations += [error for c in connections for error in c.errors]
        violations += faults.broken + observed.broken
        return violations + [
            f"ended by itself: {p.name}" for p in deployment.processes if not p.alive
        ]
    finally:
        deployment.close()


@dataclass
class _Observed:
    """What was observed after the traffic of a seed had ended."""

    answers: list[FinalAnswer]
    until: float
    """Wall clock seconds at which lasting jobs were cancelled at last."""
    broken: list[str]


def _play(
    deployment: SoakDeployment,
    faults: Faults,
    callers: list[Caller],
    connections: list[ConnectionCaller],
    seconds: float,
) -> _Observed:
    """Run the callers beside the faults, then ask for every job."""
    threads = [*callers, *connections]
    for thread in threads:
        thread.start()
    faults.inject_random(seconds)
    for thread in threads:
        thread.stopping.set()
    for thread in threads:
        thread.join()
    traffic_end = time.monotonic()
    jobs = [job for thread in threads for job in thread.jobs if job.accepted_at]
    _wait_for_jobs(
        callers[0],
        [job for job in jobs if not job.is_lasting],
        traffic_end + FINISH_SECONDS,
    )
    time.sleep(max(traffic_end + FINISH_SECONDS - time.monotonic(), 0.0))
    answers = [
        _ask(deployment, job.job, entry)
        for job in jobs[-MOST_QUESTIONS:]
        for entry in range(len(deployment.entries))
    ]
    until = time.time()
    _wait_for_jobs(callers[0], jobs, traffic_end + SETTLE_SECONDS)
    broken = find_crashed_parts(deployment) + faults.find_unfollowed()
    return _Observed(answers, until, broken)


def _ask(deployment: SoakDeployment, job: str, entry: int) -> FinalAnswer:
    began = time.monotonic()
    status, _ = deployment.call("GET", PREFIX + job, entry=entry)
    seconds = time.monotonic() - began
    return FinalAnswer(job, deployment.entries[entry].name, status, seconds)


def _wait_for_jobs(caller: Caller, jobs: list[Submitted], end: float) -> None:
    """Poll until all jobs have ended, or a moment of the steady clock."""
    left = jobs
    while left and time.monotonic() < end:
        for job in left:
            if job.is_endless:
                caller.cancel(job)
            caller.poll(job)
        left = [
            job
            for job in left
            if not job.states or job.states[-1][1] not in ("done", "cancelled")
        ]


def _summary(violations: list[str]) -> str:
    """Return the first violations of each kind, and how many more there are."""
    by_kind: dict[str, list[str]] = {}
    for line in violations:
        by_kind.setdefault(line.partition(":")[0], []).append(line)
    shown = []
    for lines in by_kind.values():
        shown += lines[:MOST_SHOWN]
        if len(lines) > MOST_SHOWN:
            shown.append(f"{len(lines) - MOST_SHOWN} more of these")
    return "; ".join(shown)


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
    # The processes of a seed end with it, also when this one is told to stop.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))
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
                (Path(name) / "violations.txt").write_text("\n".join(violations))
                shutil.copytree(name, keep / f"seed-{seed}", dirs_exist_ok=True)
        print(f"seed {seed}: {_summary(violations) or 'ok'}", flush=True)
        failed += [seed] if violations else []
    print(f"{len(failed)} failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
