"""Steps on stored values that can't be decoded."""

import asyncio
import logging
from types import SimpleNamespace

from behave import given, then, when

from features.steps.leader_world import LeaderWorld, PretendedStore
from features.steps.scheduling_world import make_job, plain
from wagtailcleat.cluster.job_states import NotAnswered
from wagtailcleat.cluster.keys import AGENT_PREFIX, JOB_PREFIX, encode, record_key
from wagtailcleat.cluster.leadership import NO_LEADER
from wagtailcleat.cluster.submissions import Submissions
from wagtailcleat.scheduling.models import RunKey, Start, TaskKey

UNREADABLE = b"\xc1 of another version"
OTHER = "bad-1"
ASKED_AT = 100.0
WAIT_SECONDS = 3.0
KEY_BY_NAME = {
    "a job": JOB_PREFIX + OTHER,
    "the record of another job": record_key(OTHER),
    "an agent": AGENT_PREFIX + "vm-1",
}


def _capture(context):
    context.lines = lines = []
    handler = logging.Handler()
    handler.emit = lambda record: lines.append(record.getMessage())
    for part in ("leader", "store"):
        logger = logging.getLogger(f"wagtailcleat.{part}")
        logger.addHandler(handler)
        context.add_cleanup(logger.removeHandler, handler)


@given("a store with {count:d} jobs, and {what} that can't be decoded")
def step_store(context, count, what):
    _capture(context)
    world = context.leader_world = LeaderWorld()
    context.add_cleanup(world.close)
    # The unreadable value is listed before the others.
    context.key = KEY_BY_NAME[what]
    if "record" in what:
        world.store_job(make_job(OTHER, plain(1)))
    world.store.put(context.key, UNREADABLE)
    for number in range(count):
        world.store_job(make_job(f"job-{number}", plain(1)))


def _lead(context, epoch=2):
    world = context.leader_world
    world.lead(epoch)
    world.until(lambda: world.leader.ready or world.work.done())
    assert not world.work.done(), world.work.exception()


def _report_all(context):
    world = context.leader_world
    for _ in range(4):
        world.rounds()
        world.wait_rounds()


@when("a leader begins, and its agents report")
def step_lead(context):
    _lead(context)
    _report_all(context)


@when("the job is stored again so that it can be decoded, and the next leader begins")
def step_next_version(context):
    world = context.leader_world
    world.store_job(make_job(OTHER, plain(1)))
    world.work.cancel()
    world.pause()
    _lead(context, epoch=3)
    _report_all(context)


@when("a leader begins, and a worker lists a run of that job")
def step_lists_run(context):
    world = context.leader_world
    context.run = RunKey(TaskKey(OTHER, 0, 0, 0), 1)
    context.worker = world.workers[0]
    context.worker.running[context.run] = Start(context.run, "")
    _lead(context)
    _report_all(context)


@then("the tasks of the {count:d} jobs run")
def step_run(context, count):
    world = context.leader_world
    jobs = {
        key.task.job
        for worker in world.workers
        for key in worker.running
        if key != getattr(context, "run", None)
    }
    assert len(jobs) == count, jobs


@then("{count:d} log line names what is unreadable")
def step_logged(context, count):
    found = [line for line in context.lines if line.endswith("is unreadable")]
    assert len(found) == count, context.lines


@then("the store still holds the unreadable value")
def step_kept(context):
    found = context.leader_world.store.found_by_key[context.key]
    assert found.value == UNREADABLE


@then("the run of the unreadable job is ordered to stop")
def step_stopped(context):
    assert context.run not in context.worker.running


@given("an entry that reaches no leader, and a store with such a record")
def step_entry(context):
    store = PretendedStore()
    store.put(JOB_PREFIX + OTHER, encode(make_job(OTHER, plain(1))))
    store.put(record_key(OTHER), UNREADABLE)
    context.submissions = Submissions(
        store=store,
        peers=None,
        leadership=SimpleNamespace(leader=NO_LEADER, leads=False),
        leader=lambda: None,
        clock=lambda: ASKED_AT,
    )


@then("the state of that job is not answered")
def step_not_answered(context):
    asked = context.submissions.state(OTHER, deadline=ASKED_AT + WAIT_SECONDS)
    state = asyncio.run(asked)
    assert isinstance(state, NotAnswered), state
