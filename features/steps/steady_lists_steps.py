"""Steps on what a list of a worker shows of the time before it."""

from behave import given, then, when

from wagtailcleat.cluster.worker_incarnation import WorkerIncarnation, answers_steadily
from wagtailcleat.platform.runs import RunList
from wagtailcleat.scheduling.models import RunKey, Running, TaskKey

LEASE_SECONDS = 4.8
RUN = Running(RunKey(TaskKey("00ff00ff00ff00ff", 0, 0, 0), 1), "", 0)


def _list(incarnation, now):
    answer = RunList(now, [RUN], [], incarnation.born, True)
    incarnation.take_list(answer, fence=1, now=now, lease=LEASE_SECONDS)


@given("a worker that has listed a run each {pause:g} s from {start:g} s to {end:g} s")
def step_listed(context, pause, start, end):
    context.incarnation = WorkerIncarnation(None, 1, "127.0.0.1:1", "i-1")
    _list(context.incarnation, start)
    assert not answers_steadily(context.incarnation, start)
    for number in range(1, round((end - start) / pause) + 1):
        _list(context.incarnation, start + number * pause)


@when("it lists the run again at {now:g} s")
def step_again(context, now):
    _list(context.incarnation, now)
    context.is_shown = answers_steadily(context.incarnation, now)


@then("that list shows that the run was in progress before it")
def step_shows(context):
    assert context.is_shown


@then("that list does not show that the run was in progress before it")
def step_does_not_show(context):
    assert not context.is_shown
