"""Steps on submissions whose write is carried out after their cancellation."""

from types import SimpleNamespace

from behave import given, then, when

from features.steps.leader_world import LeaderWorld
from features.steps.scheduling_world import make_job, plain
from wagtailcleat.cluster import tombstones
from wagtailcleat.cluster.job_states import NoSuchJob, NotAnswered
from wagtailcleat.cluster.keys import JOB_PREFIX, job_key
from wagtailcleat.cluster.leadership import NO_LEADER
from wagtailcleat.cluster.submissions import Acceptance, Submissions
from wagtailcleat.ids import JobId
from wagtailcleat.scheduling.models import JobState
from wagtailcleat.storage import Conflict
from wagtailcleat.wire.scheduling import (
    CancelSteps,
    JobStored,
    Leads,
    StoreJob,
    Submitted,
)

JOB = JobId("ab" * 8)
DEADLINE_SECONDS = 0.4
ANSWER_BY_NAME = {"no such job": NoSuchJob(), "cancelled": JobState.CANCELLED}


def _entry(world):
    return Submissions(
        store=world.store,
        peers=None,
        leadership=SimpleNamespace(leader=NO_LEADER, leads=True),
        leader=lambda: None,
        clock=world.loop.time,
    )


@given("a store that carries the write of a submission out late, and two entries")
def step_store(context):
    world = context.leader_world = LeaderWorld()
    context.add_cleanup(world.close)
    context.entries = [_entry(world), _entry(world)]


class _LeaderPeers:
    """Calls to the leader's entry, which carries them out."""

    def __init__(self, context):
        self._context = context

    async def call(self, host, port, message, *, timeout):
        """Return the answer of the leader's entry."""
        leader = self._context.leader_world.leader
        if isinstance(message, CancelSteps):
            return await leader.cancel(message, timeout)
        if isinstance(message, StoreJob):
            own = self._context.entry_by_name["the leader's entry"]
            outcome = await own.store(message.id, message.job)
            return JobStored(outcome.value)
        assert isinstance(message, Submitted), message
        return await leader.submitted(message)


def _entry_beside(context, *, leads=False, knows_leader=True):
    world = context.leader_world
    leader = Leads(2, "entry-1", 1, "127.0.0.1", 1) if knows_leader else NO_LEADER
    return Submissions(
        store=world.store,
        peers=_LeaderPeers(context),
        leadership=SimpleNamespace(leader=leader, leads=leads),
        leader=lambda: world.leader if leads else None,
        clock=world.loop.time,
    )


@given(
    "a leader, other entries, and a store that carries the writes of a submission out"
    " late"
)
def step_leader_store(context):
    world = context.leader_world = LeaderWorld()
    context.add_cleanup(world.close)
    world.lead()
    world.until(lambda: world.leader.ready)
    world.rounds(1)
    context.entry_by_name = {
        "the leader's entry": _entry_beside(context, leads=True),
        "an entry that follows it": _entry_beside(context),
        "another entry that follows it": _entry_beside(context),
        "an entry that knows no leader": _entry_beside(context, knows_leader=False),
    }


@when(
    "a submission to {first} gets no answer, and is cancelled at {second}",
)
def step_cancelled_at(context, first, second):
    by_name = context.entry_by_name
    context.entries = [by_name[first], by_name[second]]
    _submit_in_doubt(context)
    _cancel(context)


@when(
    "the next leader has led for {seconds:d} s, and the writes of the submission are"
    " carried out"
)
def step_next_leader(context, seconds):
    world = context.leader_world
    _next_leader(world)
    check, tombstones.CHECK_SECONDS = tombstones.CHECK_SECONDS, 0.01
    context.add_cleanup(setattr, tombstones, "CHECK_SECONDS", check)
    world.now += seconds
    for _ in range(20):
        world.pause()
    assert world.store.apply_delayed()


def _next_leader(world):
    world.work.cancel()
    world.until(world.work.done)
    world.lead(world.leader.lease.epoch + 1)
    world.until(lambda: world.leader.ready)


@then("neither this leader nor the next one starts it")
def step_neither_starts(context):
    world = context.leader_world
    for _ in range(2):
        world.rounds(2)
        assert not world.runs(JOB)
        _next_leader(world)


def _run(context, work):
    return context.leader_world.loop.run_until_complete(work)


def _submit(context):
    deadline = context.leader_world.loop.time() + DEADLINE_SECONDS
    job = make_job(JOB, plain(1))
    return _run(context, context.entries[0].submit(job, deadline=deadline))


def _submit_in_doubt(context):
    store = context.leader_world.store
    store.delays_writes = True
    assert _submit(context) is Acceptance.UNKNOWN
    store.delays_writes = False


def _cancel(context):
    deadline = context.leader_world.loop.time() + DEADLINE_SECONDS
    work = context.entries[1].cancel(JOB, deadline=deadline)
    context.answer = _run(context, work)


@when("the submission gets no answer, and is cancelled at the other entry")
def step_cancelled(context):
    _submit_in_doubt(context)
    _cancel(context)


@when("the submission gets no answer, and is cancelled while the store is silent")
def step_cancelled_silent(context):
    _submit_in_doubt(context)
    context.leader_world.store.is_silent = True
    _cancel(context)


@when("the submission gets no answer, and is stored while it is being cancelled")
def step_stored_meanwhile(context):
    _submit_in_doubt(context)
    store = context.leader_world.store
    get = store.get

    async def get_then_store(key):
        found = await get(key)
        if key == job_key(JOB):
            store.apply_delayed()
        return found

    store.get = get_then_store
    _cancel(context)
    store.get = get


@when("the write of the submission is carried out")
def step_carried_out(context):
    assert context.leader_world.store.apply_delayed()


@when("the submission is sent again")
def step_sent_again(context):
    begun_at = context.leader_world.loop.time()
    context.outcome = _submit(context)
    context.seconds = context.leader_world.loop.time() - begun_at


@when("a leader has led for {seconds:d} s")
def step_led(context, seconds):
    world = context.leader_world
    check, tombstones.CHECK_SECONDS = tombstones.CHECK_SECONDS, 0.01
    context.add_cleanup(setattr, tombstones, "CHECK_SECONDS", check)
    world.lead()
    world.until(lambda: world.leader.ready)
    world.now += seconds
    for _ in range(20):
        world.pause()


@then('the cancellation is answered with "{name}"')
def step_answered(context, name):
    assert context.answer == ANSWER_BY_NAME[name], context.answer


@then("the cancellation is not answered")
def step_not_answered(context):
    assert isinstance(context.answer, NotAnswered), context.answer


@then("the job is not in the store")
def step_not_stored(context):
    assert job_key(JOB) not in context.leader_world.store.found_by_key


@then("no leader starts it")
def step_not_started(context):
    world = context.leader_world
    world.lead()
    world.until(lambda: world.leader.ready)
    for _ in range(3):
        world.rounds()
        world.wait_rounds()
    started = [key for worker in world.workers for key in worker.running]
    assert not started, started


@then("it is refused at once as not stored")
def step_refused(context):
    assert context.outcome is Acceptance.NOT_STORED, context.outcome
    assert context.seconds < DEADLINE_SECONDS / 4, context.seconds


@then("the store holds no key of the job")
def step_no_key(context):
    keys = context.leader_world.store.found_by_key
    assert not [key for key in keys if key.startswith(JOB_PREFIX + JOB)], keys


@given("a store that refuses a condition, and names no key, {count:d} time")
@given("a store that refuses a condition, and names no key, {count:d} times")
def step_names_no_key(context, count):
    step_store(context)
    store = context.leader_world.store
    left = [Conflict(())] * count
    write = store.write

    async def write_after_refusals(txn):
        return left.pop() if left else await write(txn)

    store.write = write_after_refusals


@when("the submission is sent")
def step_sent(context):
    context.outcome = _submit(context)


@then("it is accepted, and in the store")
def step_accepted(context):
    assert context.outcome is Acceptance.ACCEPTED, context.outcome
    assert job_key(JOB) in context.leader_world.store.found_by_key


@then("it is not known whether it is stored")
def step_not_accepted(context):
    assert context.outcome is Acceptance.UNKNOWN, context.outcome
