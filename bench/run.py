"""Runs a scenario on virtual time under several policies and seeds, and compares them.

python -m bench.run --profile tatrastart --scenario steady --seeds 5
"""

import sys
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Annotated

import cyclopts

from bench.errors import BadValueError, check_range
from bench.policies import policy_named
from bench.profiles import profile_named
from bench.report import commit, spread, text_table, write_json
from bench.scenario import Measures, RunParameters
from bench.scenarios import scenario_named

EXIT_BAD_VALUE = 2
MAX_SEEDS = 100
SECONDS_RANGE = (4.0, 3600.0)
PROCESSES_RANGE = (1, 8)

Option = cyclopts.Parameter


def run_one(scenario: str, profile: str, policy: str, seconds: float, seed: int):  # type: ignore[no-untyped-def]
    """Run a scenario once; all is passed by name, to be sent to another process."""
    parameters = RunParameters(
        profile_named(profile), policy_named(policy), seconds, seed
    )
    return scenario_named(scenario).run(parameters)


def run_all(
    scenario: str,
    profile: str,
    policies: list[str],
    seeds: list[int],
    *,
    seconds: float,
    processes: int,
) -> dict[str, list[Measures]]:
    """Run every policy with every seed; return the measures by policy.

    The policies of one seed are started one after the other.
    """
    runs_by_policy: dict[str, list[Measures]] = {policy: [] for policy in policies}
    with ProcessPoolExecutor(processes) as pool:
        policy_by_run = {
            pool.submit(run_one, scenario, profile, policy, seconds, seed): policy
            for seed in seeds
            for policy in policies
        }
        for done, run in enumerate(as_completed(policy_by_run), start=1):
            runs_by_policy[policy_by_run[run]].append(run.result())
            progress = f"\r{scenario} {profile}: {done} of {len(policy_by_run)} runs"
            print(progress, end="", file=sys.stderr, flush=True)
    print(file=sys.stderr)
    return runs_by_policy


def main(
    *,
    profile: Annotated[str, Option(help="Deployment to simulate.")] = "tatrastart",
    scenario: Annotated[str, Option(help="Scenario to run.")] = "steady",
    policy: Annotated[
        list[str] | None, Option(help="Policies; by default the scenario's own.")
    ] = None,
    seed: Annotated[int, Option(help="First seed.")] = 1,
    seeds: Annotated[int, Option(help="Number of consecutive seeds.")] = 5,
    seconds: Annotated[float, Option(help="Length in virtual seconds.")] = 8.0,
    processes: Annotated[int, Option(help="Number of parallel runs.")] = 3,
    json: Annotated[Path | None, Option(help="File for the report as JSON.")] = None,
) -> int:
    """Run a scenario; print the median and range over the seeds."""
    try:
        check_range("--seeds", seeds, 1, MAX_SEEDS)
        check_range("--seed", seed, 0, 2**31)
        check_range("--seconds", seconds, *SECONDS_RANGE)
        check_range("--processes", processes, *PROCESSES_RANGE)
        profile_named(profile)
        policies = policy or list(scenario_named(scenario).policies)
        for name in policies:
            policy_named(name)
    except BadValueError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_VALUE
    numbers = list(range(seed, seed + seeds))
    runs = run_all(
        scenario, profile, policies, numbers, seconds=seconds, processes=processes
    )
    rows = {name: spread(measures) for name, measures in runs.items()}
    print(f"{scenario} ({scenario_named(scenario).about}), {profile}, at {commit()}")
    print(text_table(rows))
    if json is not None:
        report = {
            "scenario": scenario,
            "profile": profile,
            "commit": commit(),
            "seeds": numbers,
            "seconds": seconds,
            "policies": rows,
        }
        write_json(json, report)
    return 0


if __name__ == "__main__":
    app = cyclopts.App(help=__doc__)
    app.default(main)
    sys.exit(app())
