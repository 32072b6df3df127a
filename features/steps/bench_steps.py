"""Steps on the bench, and on the decisions it measures."""

import os
import subprocess
import sys
from dataclasses import replace

from behave import given, then, when

from bench import faults
from bench.policies import policy_named
from bench.profiles import TATRASTART
from bench.services import run_services
from standins.processes import ROOT
from wagtailcleat.agent.interference import (
    Evict,
    InterferenceController,
    LatencySummary,
    Neighbour,
    Throttle,
)
from wagtailcleat.batch.usage_estimates import MIN_SAMPLES, Sample, UsageEstimates
from wagtailcleat.ids import AttemptId, ServiceName, TeamName
from wagtailcleat.resources import Resources
from wagtailcleat.routing.latency import EndpointRecord
from wagtailcleat.wire.requests import Load

SERVICE = ServiceName("booking-core")
TEAM = TeamName("travel-desk")
ANSWERS = 200


def product(load, seconds=5.0, seed=7, broken=None):
    policy = policy_named("product")
    return run_services(
        TATRASTART, policy, load=load, seconds=seconds, seed=seed, faults=broken
    )


@when('the bench is run with "{arguments}"')
def step_run(context, arguments):
    command = [sys.executable, "-m", "bench.run", *arguments.split()]
    environment = os.environ | {"PYTHONPATH": str(ROOT)}
    context.ended = subprocess.run(
        command, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=30
    )


@then('it ends with code {code:d} and says "{message}"')
def step_says(context, code, message):
    assert context.ended.returncode == code, context.ended
    assert message in context.ended.stderr, context.ended.stderr


@when("the steady scenario is run twice with seed {seed:d}")
def step_twice(context, seed):
    context.runs = [product(0.7, seconds=4.0, seed=seed) for _ in range(2)]


@then("both runs give the same figures")
def step_same(context):
    assert context.runs[0] == context.runs[1], context.runs


@when("one endpoint fails at once at {load:g} of the capacity")
def step_failing(context, load):
    context.run = product(load, broken=faults.failing_endpoint)


@then("less than {count:d} of 1000 requests end in an error")
def step_errors(context, count):
    assert context.run["error_share"] < count / 1000, context.run


@given(
    "an endpoint with {count:d} requests in flight and an average latency of {ms:d} ms"
)
def step_endpoint(context, count, ms):
    context.quiet = _record(count, ms / 1000)
    context.other = _record(2 * count, ms / 1000)


@when("nothing is heard from it for {seconds:g} s")
def step_nothing_heard(context, seconds):
    context.now = 10.0 + seconds
    context.other.record_load(Load(6, 0, 8), context.now)


@then("it costs more than an endpoint with 6 requests that answered just now")
def step_costs_more(context):
    quiet, other = context.quiet.cost(context.now), context.other.cost(context.now)
    assert quiet > other, (quiet, other)


def _record(in_flight, latency):
    record = EndpointRecord(latency=latency, updated_at=10.0)
    for _ in range(in_flight):
        record.sent(10.0)
    record.record_load(Load(in_flight, 0, 8), 10.0)
    return record


@when("twice the capacity arrives")
def step_twice_capacity(context):
    context.run = product(2.0, seconds=4.0)


@then("answers in time reach {share:g} of the capacity")
def step_goodput(context, share):
    assert context.run["goodput_of_capacity"] >= share, context.run


@then("retries are less than a tenth of the requests")
def step_retries(context):
    assert context.run["retries_share"] < 0.1, context.run


# ---- interference


def neighbours(*classes):
    return [
        Neighbour(AttemptId(f"{name}/{index}"), name, cores=6.0, used_cores=6.0)
        for index, name in enumerate(classes)
    ]


def tail(median, over=0, count=ANSWERS):
    return {SERVICE: LatencySummary(count, over, median)}


@given("a VM with a service of {ms:d} ms, and no neighbours for {count:d} intervals")
def step_vm(context, ms, count):
    context.median = ms / 1000
    context.control = InterferenceController()
    context.beside = []
    context.steps = []
    for _ in range(count):
        context.control.step(tail(context.median), [])


@given('tasks of class "{name}" beside it for {count:d} intervals')
def step_beside(context, name, count):
    context.beside = neighbours(name, name)
    for _ in range(count):
        context.control.step(tail(context.median), context.beside)


@when('tasks of class "{name}" join and double its latency')
def step_join(context, name):
    joined = neighbours(name, name)
    context.now_median = 2 * context.median
    # The usage lags: the first interval beside them shows no use of theirs yet.
    unseen = [replace(neighbour, used_cores=0.0) for neighbour in joined]
    seen = tail(context.now_median, over=20)
    context.steps += context.control.step(seen, [*context.beside, *unseen])
    context.beside = [*context.beside, *joined]


def _go_on(context, intervals):
    for _ in range(intervals):
        seen = tail(context.now_median, over=20)
        context.steps += context.control.step(seen, context.beside)


@then('within {count:d} intervals only tasks of class "{name}" are throttled')
def step_throttled(context, count, name):
    _go_on(context, count)
    throttled = [s for s in context.steps if isinstance(s, Throttle)]
    assert throttled, context.steps
    assert all(s.attempt.startswith(name) for s in context.steps), context.steps


@then('within {count:d} more intervals only tasks of class "{name}" are evicted')
def step_evicted(context, count, name):
    _go_on(context, count)
    evicted = [s for s in context.steps if isinstance(s, Evict)]
    assert evicted, context.steps
    assert all(s.attempt.startswith(name) for s in evicted), evicted


def _refusal(context, name):
    held = neighbours("index")
    return context.control.refusal([SERVICE], held, name, 6.0)


@then('one more task of class "{name}" is refused')
def step_refused(context, name):
    assert name in _refusal(context, name), context.control.score_by_pair


@then('one more task of class "{name}" is taken')
def step_taken(context, name):
    assert not _refusal(context, name), context.control.score_by_pair


@when("{over:d} of {count:d} answers an interval is over target for {n:d} intervals")
def step_chance(context, over, count, n):
    beside = neighbours("index", "render")
    for _ in range(n):
        seen = tail(context.median, over, count)
        context.steps += context.control.step(seen, beside)


@then("nothing was throttled or evicted")
def step_nothing(context):
    assert not context.steps, context.steps


# ---- learned sizes


@given(
    "a class that declared {declared:d} cores and used {used:d} at its peak"
    " in {count:d} tasks"
)
def step_class(context, declared, used, count):
    context.declared = Resources(declared, 1000)
    context.usage_estimates = UsageEstimates()
    _use(context, used, count)


@when("its next {count:d} tasks use {used:d} core")
def step_next(context, count, used):
    _use(context, used, count)


@when("a task uses {used:d} cores")
def step_uses(context, used):
    _use(context, used, 10 * MIN_SAMPLES)


def _use(context, used, count):
    for _ in range(count):
        sample = Sample(Resources(used, 1000), 5.0)
        context.usage_estimates.add(TEAM, "ledger", sample)


@then("{cores:d} cores are reserved for its next task")
def step_reserved(context, cores):
    size = context.usage_estimates.estimate_size(TEAM, "ledger", context.declared)
    assert size.cores == cores, size


@then("at most {cores:d} cores are reserved for its next task")
def step_at_most(context, cores):
    size = context.usage_estimates.estimate_size(TEAM, "ledger", context.declared)
    assert context.declared.cores < size.cores <= cores, size
