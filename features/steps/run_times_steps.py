"""Steps on learned run times, without a network."""

import math
from random import Random

import msgspec
from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings, strategies

from features.steps.scheduling_world import REPORT_SECONDS, make_job, plain
from wagtailcleat.cluster.keys import encode
from wagtailcleat.scheduling.job_entry import JobEntry
from wagtailcleat.scheduling.models import RunEnd, RunKey, TaskKey
from wagtailcleat.scheduling.run_times import (
    MAX_QUEUES,
    QueueTimes,
    RunTimes,
    StoredQueue,
    StoredRunTimes,
)
from wagtailcleat.scheduling.vms import HostedRun

TASKS = 3
SEED = 11


def _job(number, estimate, queue="builds"):
    step = msgspec.structs.replace(plain(TASKS), estimate_seconds=estimate)
    return make_job(f"job-{number}", step, queue=queue)


def _run_step(run_times, entry, seconds):
    """Let all runs of a job's only step succeed after `seconds`."""
    for position in range(TASKS):
        key = RunKey(TaskKey(entry.job.id, 0, 0, position), 1)
        hosted = HostedRun(key, entry.job.steps[0], 0.0, progressed_at=0.0)
        hosted.percent, hosted.worked_seconds = 100, seconds
        run_times.observe_progress(entry, hosted)
    run_times.take_learnt()


def _new_entry(run_times, job):
    entry = JobEntry(job, 0.0)
    run_times.predict(entry)
    return entry


def _draw_steps(shortest, longest, factor, *, bias=1.0):
    random = Random(SEED)
    steps = []
    for _ in range(60):
        seconds = math.exp(random.uniform(math.log(shortest), math.log(longest)))
        off = math.exp(random.uniform(-math.log(factor), math.log(factor)))
        steps.append((seconds, seconds * bias * off))
    return steps


@given(
    "a queue whose steps take {shortest:g} to {longest:g} s, with estimates off by a"
    " factor of up to {factor:g}"
)
def step_queue(context, shortest, longest, factor):
    context.run_times = RunTimes()
    context.drawn_steps = _draw_steps(shortest, longest, factor)


@given(
    "a queue whose steps take {shortest:g} to {longest:g} s, and whose estimates are a"
    " quarter of that"
)
def step_queue_low(context, shortest, longest):
    context.run_times = RunTimes()
    context.drawn_steps = _draw_steps(shortest, longest, 1.05, bias=0.25)


@given("learning is switched off")
def step_off(context):
    context.run_times = RunTimes(enabled=False)


@when("{count:d} of its steps have run")
def step_run(context, count):
    run_times = context.run_times
    for number, (seconds, estimate) in enumerate(context.drawn_steps[:count]):
        entry = _new_entry(run_times, _job(number, estimate))
        _run_step(run_times, entry, seconds)
    context.rest = context.drawn_steps[count:]
    context.predictions = _predictions(run_times, context.rest)


def _predictions(run_times, steps):
    return [
        _new_entry(run_times, _job(f"next-{n}", estimate)).expected_seconds[0]
        for n, (_, estimate) in enumerate(steps)
    ]


def _error(predicted, seconds):
    return abs(math.log(predicted / seconds))


@then("the mean error of the predictions is at most {share:g} of that of the estimates")
def step_better(context, share):
    by_estimate = sum(_error(estimate, s) for s, estimate in context.rest)
    predicted = zip(context.predictions, context.rest, strict=True)
    by_prediction = sum(_error(p, s) for p, (s, _) in predicted)
    assert by_prediction <= share * by_estimate, (by_prediction, by_estimate)


@then("each prediction is within a factor of {factor:g} of the run time")
def step_close(context, factor):
    for predicted, (seconds, _) in zip(context.predictions, context.rest, strict=True):
        assert _error(predicted, seconds) <= math.log(factor), (predicted, seconds)


@then("each step is expected to take what is estimated")
def step_as_estimated(context):
    assert context.predictions == [estimate for _, estimate in context.rest]


@given('job "{name}" of {count:d} task that is estimated at {seconds:g} s')
@given('job "{name}" of {count:d} tasks that are estimated at {seconds:g} s')
def step_job(context, name, count, seconds):
    step = msgspec.structs.replace(plain(count), estimate_seconds=seconds)
    context.entry = context.world.submit(make_job(name, step, queue="builds"))


@given(
    "{count:d} jobs of this queue have shown that tasks take {seconds:g} s whatever is"
    " estimated"
)
def step_history(context, count, seconds):
    run_times = context.world.scheduler.run_times
    for number in range(count):
        estimate = seconds * (9 if number % 2 else 1 / 9)
        entry = _new_entry(run_times, _job(f"earlier-{number}", estimate))
        _run_step(run_times, entry, seconds)


@when("each run gains {points:d} percent in {interval:g} s, for {seconds:g} s")
def step_gain(context, points, interval, seconds):
    _gain(context.world, lambda worker: points / interval, seconds)


@when(
    "each run gains {points:d} percent in {interval:g} s, but on the last VM in"
    " {slow:g} s, for {seconds:g} s"
)
def step_gain_slow(context, points, interval, slow, seconds):
    world = context.world
    last = list(world.worker_by_node.values())[-1]
    _gain(world, lambda w: points / (slow if w is last else interval), seconds)


def _gain(world, rate_of, seconds):
    """Let runs make progress at a rate in percent a second, and succeed at 100."""
    gained = {}
    for _ in range(round(seconds / REPORT_SECONDS)):
        world.round()
        for worker in world.worker_by_node.values():
            for key in list(worker.running):
                done = gained.get(key, 0.0) + rate_of(worker) * REPORT_SECONDS
                gained[key] = done
                worker.percent_by_run[key] = min(100, int(done))
                if done >= 100:
                    worker.end(key, RunEnd.SUCCEEDED)


@then('the tasks of job "{name}" are expected to take between {low:g} and {high:g} s')
def step_expected(context, name, low, high):
    entry = context.world.scheduler.job_table.entry_by_id[name]
    assert low <= entry.expected_seconds[0] <= high, entry.expected_seconds


def _avoided(world):
    vms = world.scheduler.vm_by_node.values()
    return [vm.node for vm in vms if vm.is_avoided(world.now)]


@then("no VM is avoided")
def step_none_avoided(context):
    assert not _avoided(context.world)


@then("only the last VM is avoided")
def step_last_avoided(context):
    last = list(context.world.worker_by_node)[-1]
    assert _avoided(context.world) == [last], _avoided(context.world)


@when("the next leader restores what was stored")
def step_restore(context):
    stored = encode(context.run_times.export())
    context.next = RunTimes()
    context.next.restore(msgspec.msgpack.decode(stored, type=StoredRunTimes))


@then("it predicts the same as the leader before")
def step_same(context):
    assert _predictions(context.next, context.rest) == context.predictions


@when("the next leader restores a queue with {figure} of {value:g}")
def step_unsound(context, figure, value):
    sound = StoredQueue("builds", 5.0, 1.0, 0.2, 0.0, 0.1)
    stored = msgspec.structs.replace(sound, **{figure: value})
    context.next = RunTimes()
    context.next.restore(StoredRunTimes([stored]))


@then("it predicts what is estimated")
def step_estimate(context):
    (predicted,) = _predictions(context.next, [(4.0, 7.0)])
    assert math.isclose(predicted, 7.0), predicted


@when("{count:d} queues have run a step each")
def step_queues(context, count):
    context.run_times = RunTimes()
    for number in range(count):
        job = _job(number, 1.0, queue=f"queue-{number}")
        _run_step(context.run_times, _new_entry(context.run_times, job), 2.0)


@then("what is stored has at most {queues:d} queues and {size:d} bytes")
def step_bounded(context, queues, size):
    stored = context.run_times.export()
    assert len(stored.queues) <= queues <= MAX_QUEUES
    assert len(encode(stored)) <= size, len(encode(stored))


@then(
    "predictions lie between the corrected estimate and the mean, for {count:d}"
    " histories"
)
def step_property(context, count):
    logs = strategies.floats(-4.0, 10.0)

    @settings(max_examples=count, database=None, derandomize=True)
    @drawn(strategies.lists(strategies.tuples(logs, logs)), logs)
    def check(history, estimate):
        times = QueueTimes()
        for seconds, estimated in history:
            times.add(seconds, estimated)
        mean, variance = times.predict(estimate)
        corrected = estimate + times.bias
        low, high = sorted((corrected, times.mean if history else corrected))
        assert low - 1e-9 <= mean <= high + 1e-9
        assert 0 < variance < math.inf

    check()
