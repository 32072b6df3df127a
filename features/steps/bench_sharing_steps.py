"""Steps for the bench that compares policies for sharing VMs."""

import os
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from behave import then, when

from bench.sharing import run_one

PROCESSES = 2
ROOT = Path(__file__).resolve().parent.parent.parent


@when("the fleet of seed {seed:d} is simulated twice with the product's policy")
def step_twice(context, seed):
    context.outcomes = [run_one("as-is", seed, 1.0) for _ in range(2)]


@then("both simulations have the same outcome")
def step_same(context):
    first, second = context.outcomes
    assert first == second, context.outcomes


@when(
    "the fleet of seed {seed:d} is simulated with the product's policy,"
    " and without sharing"
)
def step_two_policies(context, seed):
    context.outcomes = [
        run_one(name, seed, 1.0) for name in ("as-is", "nothing-beside")
    ]


@then("the second has fewer seconds over target, and less filling work done")
def step_fewer(context):
    first, second = context.outcomes
    assert second.seconds_over < first.seconds_over, context.outcomes
    assert second.filling < first.filling, context.outcomes


@when(
    "{count:d} fleets of many small VMs are simulated,"
    " moving tasks and only throttling them"
)
def step_many_small(context, count):
    # One fleet earns up to 0.15 more or less by chance, so that a mean is compared.
    with ProcessPoolExecutor(PROCESSES) as pool:
        context.outcomes_by_policy = {
            policy: [
                pool.submit(run_one, policy, seed, 1.0, "many-small")
                for seed in range(count)
            ]
            for policy in ("as-is", "never-move")
        }


@then("with moves more filling work is done, and no more is over target")
def step_moves_better(context):
    moves, throttles = (
        [outcome.result() for outcome in outcomes]
        for outcomes in context.outcomes_by_policy.values()
    )
    assert sum(o.filling for o in moves) > sum(o.filling for o in throttles)
    assert sum(o.seconds_over for o in moves) <= sum(o.seconds_over for o in throttles)


@when('the bench of sharing is run with "{arguments}"')
def step_run(context, arguments):
    command = [sys.executable, "-m", "bench.sharing", *arguments.split()]
    environment = os.environ | {"PYTHONPATH": str(ROOT)}
    context.ended = subprocess.run(
        command, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=30
    )
