"""Steps on the bench of sharing VMs."""

import os
import subprocess
import sys
from pathlib import Path

from behave import then, when

from bench.sharing import run_one

ROOT = Path(__file__).resolve().parent.parent.parent


@when("the fleet of seed {seed:d} is played twice as it is")
def step_twice(context, seed):
    context.days = [run_one("as-is", seed, 1.0) for _ in range(2)]


@then("both days have the same outcome")
def step_same(context):
    first, second = context.days
    assert first == second, context.days


@when(
    "the fleet of seed {seed:d} is played as it is, and with nothing beside what serves"
)
def step_two_policies(context, seed):
    context.days = [run_one(name, seed, 1.0) for name in ("as-is", "nothing-beside")]


@then("the second has fewer seconds over target, and less filling work done")
def step_fewer(context):
    first, second = context.days
    assert second.seconds_over < first.seconds_over, context.days
    assert second.filling < first.filling, context.days


@when('the bench of sharing is run with "{arguments}"')
def step_run(context, arguments):
    command = [sys.executable, "-m", "bench.sharing", *arguments.split()]
    environment = os.environ | {"PYTHONPATH": str(ROOT)}
    context.ended = subprocess.run(
        command, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=30
    )
