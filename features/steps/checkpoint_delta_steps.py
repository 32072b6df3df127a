"""Steps on the checkpoints in an agent's reports."""

import msgspec
from behave import given, then, when

from features.steps.scheduling_world import (
    SchedulingWorld,
    SimulatedWorker,
    make_job,
    plain,
)
from wagtailcleat.cluster.checkpoint_delta import CheckpointDelta
from wagtailcleat.scheduling.models import RunEnd

QUICK_SECONDS = 0.01
MAX_REPORTS = 30


@given("an agent with {count:d} runs that have a checkpoint of {size:d} bytes each")
def step_agent(context, count, size):
    context.world = SchedulingWorld([SimulatedWorker("n1")])
    context.worker = context.world.worker_by_node["n1"]
    context.world.submit(make_job("job", plain(count, cores=0.1)))
    context.world.round()
    assert len(context.worker.running) == count
    context.keys = list(context.worker.running)
    context.size = size
    context.changes = 0
    context.delta = CheckpointDelta()
    context.epoch = 7
    context.reported = []
    context.reports = []
    _change(context)


def _change(context, keys=None):
    context.changes += 1
    for key in keys or context.keys:
        checkpoint = f"{context.changes:06d}".ljust(context.size, "x")
        context.worker.checkpoint_by_run[key] = checkpoint


def _report(context):
    whole = msgspec.structs.replace(
        context.worker.report(), epoch=context.epoch, number=len(context.reports) + 1
    )
    context.report = context.delta.shorten(whole)
    context.reports.append(context.report)
    context.reported += [run.key for run in context.report.running if run.checkpoint]


def _answered(context):
    context.delta.answered(context.report, seconds=QUICK_SECONDS)


@when("it reports to the leader of epoch {epoch:d}")
def step_reports_to(context, epoch):
    context.epoch = epoch
    _report(context)
    _answered(context)


@when("it reports again")
def step_reports(context):
    _report(context)
    _answered(context)


@when("its report to the leader of epoch {epoch:d} is lost")
def step_lost(context, epoch):
    context.epoch = epoch
    _report(context)
    context.delta.lost()


@when("one run has a new checkpoint, and the agent reports again")
def step_one_changes(context):
    _change(context, context.keys[:1])
    step_reports(context)


@then("the report carries {count:d} checkpoints and lists {runs:d} runs")
def step_carries_and_lists(context, count, runs):
    step_carries(context, count)
    assert len(context.report.running) == runs


@then("the report carries {count:d} checkpoint")
@then("the report carries {count:d} checkpoints")
def step_carries(context, count):
    carried = [run.key for run in context.report.running if run.checkpoint]
    assert len(carried) == count, carried


def _end_all(context, how, checkpoint_by_run):
    for key in list(context.worker.running):
        context.worker.end(key, RunEnd(how), checkpoint_by_run.get(key, ""))


@when('all its runs end as "{how}", and it reports to the leader of epoch {epoch:d}')
def step_all_end(context, how, epoch):
    _end_all(context, how, {})
    step_reports_to(context, epoch)


@when(
    'its worker begins a new incarnation, in which {count:d} runs end as "{how}"'
    " with {size:d} bytes"
)
def step_new_incarnation(context, count, how, size):
    context.worker.restart()
    for key in context.keys[:count]:
        context.worker.running[key] = key
        context.worker.end(key, RunEnd(how), "x" * size)


@then("the report lists {count:d} ends with a checkpoint")
def step_ends(context, count):
    ends = [ended for ended in context.report.ended if ended.checkpoint]
    assert len(ends) == count, context.report.ended


@when("each run has a new checkpoint every second report, {count:d} reports long")
def step_change_often(context, count):
    for number in range(count):
        if number % 2:
            _change(context)
        step_reports(context)


@when("the agent reports {count:d} times")
def step_report_often(context, count):
    for _ in range(count):
        step_reports(context)


@then("no report was longer than twice the one before it or {least:d} bytes")
def step_growth(context, least):
    before = 0
    for report in context.reports:
        size = sum(len(run.checkpoint) for run in report.running)
        assert size <= max(least, 2 * before + context.size), (size, before)
        before = max(before, size)


@then("each run's checkpoint was reported {count:d} times at least")
def step_reported(context, count):
    reported = {key: context.reported.count(key) for key in context.keys}
    assert min(reported.values()) >= count, reported


@given("a leader that has handled its report")
def step_leader(context):
    _handle_report(context)


def _handle_report(context):
    _report(context)
    world = context.world
    world.scheduler.process_report(
        context.report, context.worker.session, now=world.now, wall_now=world.wall_now
    )
    _answered(context)


@when('all its runs end as "{how}"')
def step_end_with_checkpoints(context, how):
    # The leader has at most the checkpoints before these.
    _change(context)
    context.checkpoints = {
        key.task: checkpoint
        for key, checkpoint in context.worker.checkpoint_by_run.items()
    }
    _end_all(context, how, context.worker.checkpoint_by_run)


@when("the agent reports until nothing is omitted")
def step_until_reported(context):
    vm = context.world.scheduler.vm_by_node["n1"]
    context.released = []
    for _ in range(MAX_REPORTS):
        _handle_report(context)
        reported = {ended.key for ended in context.report.ended}
        hosted = set(vm.hosted_by_run)
        context.released += [k for k in context.keys if k not in reported | hosted]
        if len(reported) == len(context.keys):
            return
    raise AssertionError("ends were omitted from all reports")


@then("after each report a run that is not reported as ended keeps its resources")
def step_keeps_resources(context):
    assert not context.released, context.released
    assert any(report.unsettled for report in context.reports)


@then("each task continues from its checkpoint")
def step_continues(context):
    job_table = context.world.scheduler.job_table
    for key in context.keys:
        task = job_table.find_task(key.task)
        assert task.checkpoint == context.checkpoints[key.task]
