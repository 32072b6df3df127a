"""Compares policies for sharing VMs between serving and filling tasks.

Every policy runs the product's scheduler on the same simulated fleets, one per seed,
and differences are taken seed by seed.

python -m bench.sharing --seeds 30 --json sharing.json
"""

import contextlib
import json
import math
import sys
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import fmean, stdev
from types import ModuleType
from typing import Annotated
from unittest.mock import patch

import cyclopts

from bench.errors import BadValueError, check_range
from bench.report import commit
from bench.sharing_fleet import SHAPE_BY_NAME, Fleet, Outcome
from wagtailcleat.scheduling import pacing, sharing
from wagtailcleat.scheduling.ranking import Lateness
from wagtailcleat.scheduling.scheduler import Scheduler

SIMULATED_SECONDS = 45.0
LEADER_CHANGE_AT_SECONDS = 20.0
"""Seconds from the start to the change of leader."""
EXIT_BAD_VALUE = 2
MAX_SEEDS = 200
PROCESSES_RANGE = (1, 8)
CONFIDENCE_STANDARD_ERRORS = 1.96
"""Standard errors on either side of the mean: an interval of 95 % confidence."""

Prepare = Callable[[Scheduler], None]


def _as_is(scheduler: Scheduler) -> None:
    """Leave the scheduler unchanged."""


def _nothing_beside(scheduler: Scheduler) -> None:
    """Keep filling tasks off VMs that run serving tasks."""
    scheduler.sharing.admits = (  # type: ignore[method-assign]
        lambda vm, step, now, lateness=Lateness.IN_TIME: not vm.serving_runs
    )
    scheduler.sharing.stays_within = (  # type: ignore[method-assign]
        lambda vm, step, most: not vm.serving_runs
    )


def _never_move(scheduler: Scheduler) -> None:
    """Throttle filling runs, and evict them only if a target is missed for long."""
    scheduler._may_move = lambda hosted, evicted: False  # type: ignore[method-assign]


def _estimates_only(scheduler: Scheduler) -> None:
    """Expect tasks to take what their submitters estimate."""
    scheduler.run_times._enabled = False


@contextlib.contextmanager
def _with_bound(max_added: float) -> Iterator[Prepare]:
    bounds = dict.fromkeys(Lateness, max_added)
    with patch.object(sharing, "MOST_ADDED", bounds):
        yield _as_is


@contextlib.contextmanager
def _with_constant(module: ModuleType, name: str, value: float) -> Iterator[Prepare]:
    with patch.object(module, name, value):
        yield _as_is


@contextlib.contextmanager
def _with_aim_0_8() -> Iterator[Prepare]:
    with patch.object(sharing, "AIM_LOAD", 0.8), patch.object(pacing, "AIM_LOAD", 0.8):
        yield _as_is


POLICIES: dict[str, Callable[[], contextlib.AbstractContextManager[Prepare]]] = {
    "as-is": lambda: contextlib.nullcontext(_as_is),
    "estimates-only": lambda: contextlib.nullcontext(_estimates_only),
    "nothing-beside": lambda: contextlib.nullcontext(_nothing_beside),
    "bound-0.04": lambda: _with_bound(0.04),
    "bound-0.12": lambda: _with_bound(0.12),
    "bound-0.30": lambda: _with_bound(0.30),
    "no-residual": lambda: _with_constant(sharing, "RESIDUAL_LASTING", 0.0),
    "stop-at-once": lambda: _with_constant(pacing, "STOP_SECONDS", 0.0),
    "never-move": lambda: contextlib.nullcontext(_never_move),
    "tight-3-s": lambda: _with_constant(pacing, "TIGHT_SECONDS", 3.0),
    "aim-0.8": _with_aim_0_8,
}


def run_one(policy: str, seed: int, load: float, shape: str = "few-large") -> Outcome:
    """Simulate one fleet of a named shape under a policy; return its outcome."""
    with POLICIES[policy]() as prepare:
        fleet = Fleet(seed, prepare, load=load, shape=SHAPE_BY_NAME[shape])
        return fleet.simulate(
            SIMULATED_SECONDS, leader_change_at=LEADER_CHANGE_AT_SECONDS
        )


def compare(
    outcomes_by_policy: dict[str, list[Outcome]],
) -> dict[str, dict[str, float]]:
    """Return the means of each policy, by policy.

    `difference` is the mean over the seeds of its worth minus the first policy's, and
    `plus_minus` half of that mean's confidence interval.
    """
    rows = {}
    first = next(iter(outcomes_by_policy.values()))
    for policy, outcomes in outcomes_by_policy.items():
        differences = [
            one.worth - other.worth for one, other in zip(outcomes, first, strict=True)
        ]
        standard_error = (
            stdev(differences) / math.sqrt(len(differences))
            if len(differences) > 1
            else 0.0
        )
        rows[policy] = {
            "worth": fmean(o.worth for o in outcomes),
            "serving": fmean(o.serving for o in outcomes),
            "filling": fmean(o.filling for o in outcomes),
            "seconds_over": fmean(o.seconds_over for o in outcomes),
            "stops": fmean(o.stops for o in outcomes),
            "difference": fmean(differences),
            "plus_minus": CONFIDENCE_STANDARD_ERRORS * standard_error,
        }
    return rows


def main(
    *,
    policies: Annotated[
        tuple[str, ...], cyclopts.Parameter(consume_multiple=True)
    ] = tuple(POLICIES),
    seeds: int = 30,
    load: float = 1.0,
    shape: str = "few-large",
    processes: int = 4,
    json_file: Annotated[Path | None, cyclopts.Parameter(name="--json")] = None,
) -> int:
    """Simulate each policy with each seed; the first policy is the baseline."""
    try:
        check_range("--seeds", seeds, 1, MAX_SEEDS)
        check_range("--processes", processes, *PROCESSES_RANGE)
        for policy in policies:
            if policy not in POLICIES:
                raise BadValueError("--policies", policy, POLICIES)
        if shape not in SHAPE_BY_NAME:
            raise BadValueError("--shape", shape, SHAPE_BY_NAME)
    except BadValueError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_VALUE
    with ProcessPoolExecutor(processes) as pool:
        futures = {
            policy: [pool.submit(run_one, policy, n, load, shape) for n in range(seeds)]
            for policy in policies
        }
        outcomes = {p: [f.result() for f in runs] for p, runs in futures.items()}
    rows = compare(outcomes)
    print("policy           worth  difference       serving filling  over s  stops")
    for policy, row in rows.items():
        print(
            f"{policy:15s}  {row['worth']:.3f}  {row['difference']:+.3f} "
            f"+-{row['plus_minus']:.3f}  {row['serving']:.3f}   {row['filling']:.3f}  "
            f"{row['seconds_over']:6.1f}  {row['stops']:5.1f}"
        )
    if json_file is not None:
        report = {"commit": commit(), "seeds": seeds, "load": load}
        report |= {"shape": shape, "policies": rows}
        json_file.write_text(json.dumps(report, indent=2) + "\n")
    return 0


if __name__ == "__main__":
    app = cyclopts.App(help=__doc__)
    app.default(main)
    sys.exit(app())
