"""Steps for the bench's commands, and for the decisions it measures."""

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
    Neighbour,
    Throttle,
)
from wagtailcleat.agent.latency_window import LatencySummary
from wagtailcleat.batch.usage_estimates import MIN_SAMPLES, Sample, UsageEstimates
from wagtailcleat.ids import AttemptId, ServiceName, TeamName
from wagtailcleat.resources import Resources
from wagtailcleat.routing.latency import EndpointRecord
from wagtailcleat.wire.requests import Load

SERVICE = ServiceName("booking-core")
TEAM = TeamName("travel-desk")
ANSWERS = 200


def run_product(load, seconds=5.0, seed=7, inject_faults=None):
    policy = policy_named("product")
    return run_services(
        TATRASTART, policy, load=load, seconds=seconds, seed=seed, faults=inject_faults
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
    context.runs = [run_product(0.7, seconds=4.0, seed=seed) for _ in range(2)]


@then("both runs give the same measures")
def step_same(context):
    assert context.runs[0] == context.runs[1], context.runs


@when(
    "one endpoint fails every request at once under a load of {load:g} of the capacity"
)
def step_failing(context, load):
    context.run = run_product(load, inject_faults=faults.failing_endpoint)


@then("less than {count:d} of 1000 requests end in an error")
def step_errors(context, count):
    assert context.run["error_share"] < count / 1000, context.run


@given(
    "an endpoint with {count:d} requests in flight and an average latency of {ms:d} ms"
)
def step_endpoint(context, count, ms):
    context.silent = _record(count, ms / 1000)
    context.other = _record(2 * count, ms / 1000)


@when("nothing is received from it for {seconds:g} s")
def step_nothing_received(context, seconds):
    context.now = 10.0 + seconds
    context.other.record_load(Load(6, 0, 8), context.now)


@then("its cost is higher than that of one with 6 requests that has just answered")
def step_costs_more(context):
    silent, other = context.silent.cost(context.now), context.other.cost(context.now)
    assert silent > other, (silent, other)


def _record(in_flight, latency):
    record = EndpointRecord(latency=latency, updated_at=10.0)
    for _ in range(in_flight):
        record.sent(10.0)
    record.record_load(Load(in_flight, 0, 8), 10.0)
    return record


@when("twice the capacity arrives")
def step_twice_capacity(context):
    context.run = run_product(2.0, seconds=4.0)


@then("answers in time reach {share:g} of the capacity")
def step_goodput(context, share):
    assert context.run["goodput_of_capacity"] >= share, context.run


@then("retries are less than a tenth of the requests")
def step_retries(context):
    assert context.run["retries_share"] < 0.1, context.run


def neighbours(*classes):
    return [
        Neighbour(AttemptId(f"{name}/{index}"), name, cores=6.0, used_cores=6.0)
        for index, name in enumerate(classes)
    ]


def latency_summaries(median, over=0, count=ANSWERS):
    return {SERVICE: LatencySummary(count, over, median)}


@given("a VM with a service of {ms:d} ms, and no neighbours for {count:d} intervals")
def step_vm(context, ms, count):
    context.median = ms / 1000
    context.control = InterferenceController()
    context.neighbours = []
    context.actions = []
    for _ in range(count):
        context.control.step(latency_summaries(context.median), [])


@given('tasks of class "{name}" beside it for {count:d} intervals')
def step_neighbours(context, name, count):
    context.neighbours = neighbours(name, name)
    for _ in range(count):
        context.control.step(latency_summaries(context.median), context.neighbours)


@when('tasks of class "{name}" join and double its latency')
def step_join(context, name):
    joined = neighbours(name, name)
    context.now_median = 2 * context.median
    # Usage is reported late: in the first interval they do not show any use yet.
    unreported = [replace(neighbour, used_cores=0.0) for neighbour in joined]
    summary = latency_summaries(context.now_median, over=20)
    context.actions += context.control.step(summary, [*context.neighbours, *unreported])
    context.neighbours = [*context.neighbours, *joined]


def _run_intervals(context, intervals):
    for _ in range(intervals):
        summary = latency_summaries(context.now_median, over=20)
        context.actions += context.control.step(summary, context.neighbours)


@then('within {count:d} intervals only tasks of class "{name}" are throttled')
def step_throttled(context, count, name):
    _run_intervals(context, count)
    throttled = [a for a in context.actions if isinstance(a, Throttle)]
    assert throttled, context.actions
    assert all(a.attempt.startswith(name) for a in context.actions), context.actions


@then('within {count:d} more intervals only tasks of class "{name}" are evicted')
def step_evicted(context, count, name):
    _run_intervals(context, count)
    evicted = [a for a in context.actions if isinstance(a, Evict)]
    assert evicted, context.actions
    assert all(a.attempt.startswith(name) for a in evicted), evicted


def _refusal(context, name):
    present = neighbours("index")
    return context.control.refusal([SERVICE], present, name, 6.0)


@then('one more task of class "{name}" is refused')
def step_refused(context, name):
    assert name in _refusal(context, name), context.control.score_by_pair


@then('one more task of class "{name}" is accepted')
def step_accepted(context, name):
    assert not _refusal(context, name), context.control.score_by_pair


@when("{over:d} of {count:d} answers an interval is over target for {n:d} intervals")
def step_chance(context, over, count, n):
    present = neighbours("index", "render")
    for _ in range(n):
        summary = latency_summaries(context.median, over, count)
        context.actions += context.control.step(summary, present)


@then("nothing was throttled or evicted")
def step_nothing(context):
    assert not context.actions, context.actions


@given(
    "a class that declared {declared:d} cores and used {used:d} at its peak"
    " in {count:d} tasks"
)
def step_class(context, declared, used, count):
    context.declared = Resources(declared, 1000)
    context.usage_estimates = UsageEstimates()
    _add_samples(context, used, count)


@when("its next {count:d} tasks use {used:d} core")
def step_next(context, count, used):
    _add_samples(context, used, count)


@when("a task uses {used:d} cores")
def step_uses(context, used):
    _add_samples(context, used, 10 * MIN_SAMPLES)


def _add_samples(context, used, count):
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
