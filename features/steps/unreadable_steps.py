"""Steps on stored values that can't be decoded."""

import asyncio
import itertools
import logging
import math
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from features.steps.leader_world import LeaderWorld, PretendedStore
from features.steps.scheduling_world import make_job, plain
from wagtailcleat.cluster.job_states import NotAnswered
from wagtailcleat.cluster.keys import (
    AGENT_PREFIX,
    JOB_PREFIX,
    LEADER_KEY,
    cancel_key,
    encode,
    held_ends_key,
    record_key,
)
from wagtailcleat.cluster.leadership import NO_LEADER
from wagtailcleat.cluster.submissions import Submissions
from wagtailcleat.resources import Resources
from wagtailcleat.scheduling.interference import (
    Interference,
    Reading,
    StoredEstimates,
)
from wagtailcleat.scheduling.job_entry import JobEntry
from wagtailcleat.scheduling.models import (
    Ended,
    JobRecord,
    JobState,
    RunEnd,
    RunKey,
    Start,
    TaskKey,
    TaskRecord,
)
from wagtailcleat.scheduling.run_times import RunTimes, StoredQueue, StoredRunTimes
from wagtailcleat.wire.scheduling import Leads

UNREADABLE = b"\xc1 of another version"
OTHER = "bad-1"
ASKED_AT = 100.0
WAIT_SECONDS = 3.0
ENDS = [-1.7e308, -1e300, -1.0, 0.0, 5e-324, 1.0, 1e3, 1e154, 1e300, 1.7e308]
KEY_BY_NAME = {
    "a job": JOB_PREFIX + OTHER,
    "the record of another job": record_key(OTHER),
    "the stored ends of another job": record_key(OTHER) + "/ends",
    "an agent": AGENT_PREFIX + "vm-1",
}
ENDED_RUNS = {
    "succeeded": (RunEnd.SUCCEEDED, 1),
    "failed": (RunEnd.FAILED, 1),
    "failed twice": (RunEnd.FAILED, 2),
}
ATTEMPTS = 2
CHECKPOINT_BYTES = 100
EXPIRED_SECONDS = 5000.0


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
    if "of another job" in what:
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


def _lead_next(context):
    world = context.leader_world
    world.work.cancel()
    world.pause()
    for worker in world.workers:
        worker.orders_taken = 0
    _lead(context, epoch=world.leader.lease.epoch + 1)


@when("a leader begins, and its agents report")
def step_lead(context):
    _lead(context)
    _report_all(context)


@when("the job is stored again so that it can be decoded, and the next leader begins")
def step_next_version(context):
    world = context.leader_world
    world.store_job(make_job(OTHER, plain(1), attempts=ATTEMPTS))
    if context.key == record_key(OTHER):
        world.store.put(context.key, encode(JobRecord(JobState.RUNNING)))
    _lead_next(context)
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


def _list_ends(context, ends):
    worker = context.worker = context.leader_world.workers[0]
    for how, checkpoint in ends:
        worker.ends += 1
        run = RunKey(TaskKey(OTHER, 0, 0, 0), worker.ends)
        worker.ended.append(Ended(worker.ends, run, how, checkpoint))
    _report_all(context)


@when("a leader begins, and a worker lists that runs of that job {how}")
def step_lists_ends(context, how):
    kind, count = ENDED_RUNS[how]
    _lead(context)
    _list_ends(context, [(kind, "")] * count)


@when("the next leader begins, and a worker lists that runs of that job {how}")
def step_lists_more_ends(context, how):
    kind, count = ENDED_RUNS[how]
    _lead_next(context)
    _list_ends(context, [(kind, "")] * count)


@when("a leader begins, and a worker lists {count:d} long checkpoints of that job")
def step_lists_checkpoints(context, count):
    _lead(context)
    _list_ends(context, [(RunEnd.STOPPED, "c" * CHECKPOINT_BYTES)] * count)


def _store_schedule(world):
    job = make_job(OTHER, plain(1, cores=0.01), occurrences=200, interval=1.0)
    world.store_job(job)


@given("a store with a schedule")
def step_schedule(context):
    _capture(context)
    world = context.leader_world = LeaderWorld()
    context.add_cleanup(world.close)
    _store_schedule(world)


@when("a leader begins, and a worker lists the success of its occurrence {number:d}")
def step_lists_later(context, number):
    _lead(context)
    worker = context.worker = context.leader_world.workers[0]
    context.ahead = RunKey(TaskKey(OTHER, number, 0, 0), 1)
    worker.ends += 1
    worker.ended.append(Ended(worker.ends, context.ahead, RunEnd.SUCCEEDED, ""))
    _report_all(context)
    assert not worker.ended, worker.ended
    assert held_ends_key(OTHER) in context.leader_world.store.found_by_key


@when("the schedule is cancelled, its time is over, and it is deleted and {how}")
def step_expired(context, how):
    world = context.leader_world
    store = world.store
    store.delays_deletes = "not" in how
    store.put(cancel_key(OTHER), b"")
    _report_all(context)
    world.wall_now += EXPIRED_SECONDS
    _report_all(context)
    if store.delays_deletes:
        world.until(lambda: store.delayed_writes)
        store.apply_delayed()
    world.until(lambda: not [key for key in store.found_by_key if OTHER in key])
    if not store.delays_deletes:
        table = world.leader.scheduler.job_table
        world.until(lambda: OTHER not in table.entry_by_id)


@when("a schedule is stored under the same id")
def step_stored_again(context):
    for worker in context.leader_world.workers:
        worker.running.clear()
    _store_schedule(context.leader_world)
    _report_all(context)


@then("its occurrences run until {count:d} are done, and also that one")
def step_all_run(context, count):
    world = context.leader_world
    started = set()
    for _ in range(count):
        for worker in world.workers:
            for run in list(worker.running):
                started.add(run.task)
                worker.end(run, RunEnd.SUCCEEDED)
        world.rounds(1)
        entry = world.leader.scheduler.job_table.entry_by_id[OTHER]
        if entry.occurrences_done >= count:
            break
    assert entry.occurrences_done >= count, entry.occurrences_done
    missing = [n for n in range(count) if TaskKey(OTHER, n, 0, 0) not in started]
    assert not missing, missing


@given("a store that takes values of {limit:d} bytes")
def step_small_values(context, limit):
    world = context.leader_world
    world.max_value_bytes = world.store.max_write_bytes = limit
    world.store.limits_single_writes = True


@when("another entry has claimed, and a worker lists that a run of that job succeeded")
def step_other_claims(context):
    world = context.leader_world
    claim = Leads(world.leader.lease.epoch + 1, "other", 1, "10.0.0.9", 1)
    world.store.put(LEADER_KEY, encode(claim))
    apply, context.held_writes = world.store.apply, []

    def count_writes(txn):
        if held_ends_key(OTHER) in txn.puts:
            context.held_writes.append(txn)
        return apply(txn)

    world.store.apply = count_writes
    worker = context.worker = world.workers[0]
    worker.ends += 1
    run = RunKey(TaskKey(OTHER, 0, 0, 0), 1)
    worker.ended.append(Ended(worker.ends, run, RunEnd.SUCCEEDED, ""))
    world.report(worker)


async def _change_records(world, interval):
    table = world.leader.scheduler.job_table
    for number in itertools.count():
        table.entry_by_id[f"job-{number % 3}"].mark_changed()
        world.leader._records.dirty.set()
        await asyncio.sleep(interval)


@given(
    "a leader whose store takes {write:g} s for a write, while a record changes each"
    " {interval:g} s"
)
def step_busy_records(context, write, interval):
    world = context.leader_world
    _lead(context)
    _report_all(context)
    write_at_once = world.store.write

    async def write_slowly(txn):
        await asyncio.sleep(write)
        return await write_at_once(txn)

    world.store.write = write_slowly
    work = world.loop.create_task(_change_records(world, interval))
    context.add_cleanup(work.cancel)
    world.rounds(1)


@when("a worker lists that a run of that job succeeded")
def step_lists_end(context):
    world = context.leader_world
    worker = world.workers[0]
    worker.ends += 1
    run = RunKey(TaskKey(OTHER, 0, 0, 0), 1)
    worker.ended.append(Ended(worker.ends, run, RunEnd.SUCCEEDED, ""))
    world.report(worker)


@then("the ends are stored within {seconds:g} s")
def step_stored_soon(context, seconds):
    world = context.leader_world
    ends_at = world.loop.time() + seconds
    while held_ends_key(OTHER) not in world.store.found_by_key:
        assert world.loop.time() < ends_at, "the ends are not stored"
        world.pause()


@then("the leader steps down after {count:d} such write")
def step_steps_down(context, count):
    world = context.leader_world
    world.until(lambda: len(context.held_writes) >= count)
    world.pause()
    assert len(context.held_writes) == count, len(context.held_writes)
    assert world.leader.lease.stepped_down.is_set()


@when("the store answers no write")
def step_silent_store(context):
    context.leader_world.store.is_silent = True


@when("the store answers writes again")
def step_answers_writes(context):
    world = context.leader_world
    world.store.is_silent = False
    ends_at = world.loop.time() + WAIT_SECONDS
    while context.worker.ended and world.loop.time() < ends_at:
        world.rounds()


@then("these ends are acknowledged")
def step_acknowledged(context):
    assert not context.worker.ended, context.worker.ended


@then("these ends are not acknowledged")
def step_not_acknowledged(context):
    assert context.worker.ended


@then("no task of that job runs, and it has {state}")
def step_has_ended(context, state):
    world = context.leader_world
    assert not world.runs(OTHER), world.runs(OTHER)
    entry = world.leader.scheduler.job_table.entry_by_id[OTHER]
    assert entry.durable_state is JobState(state), entry.durable_state


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


JOB = make_job(OTHER, plain(2))
REPEATED = msgspec.structs.replace(
    make_job(OTHER, plain(2)), occurrences=2**50, interval=1e6
)
DEEP = b"\x81\xa1x" + b"\x91" * 100_000 + b"\xc0"


def _with_step(**changes):
    step = msgspec.structs.replace(JOB.steps[0], **changes)
    return msgspec.structs.replace(JOB, steps=(step,))


def _replaced(**changes):
    return msgspec.structs.replace(JOB, **changes)


ODD_JOBS = {
    "another id than its key": _replaced(id="bad-2"),
    "no steps": _replaced(steps=()),
    "a step of 10^15 tasks": _with_step(count=10**15),
    "a step of -1 tasks": _with_step(count=-1),
    "a step that depends on itself": _with_step(after=(0,)),
    "a stretch that is infinite": _replaced(stretch=math.inf),
    "an estimate that is no number": _with_step(estimate_seconds=math.nan),
    "-1 occurrences": _replaced(occurrences=-1),
    "cores that are no number": _with_step(size=Resources(math.nan)),
}
RUNNING = JobState.RUNNING
ODD_RECORDS = {
    "a step that does not exist": JobRecord(RUNNING, [(0, 7, [0])]),
    "a position that does not exist": JobRecord(RUNNING, [(0, 0, [7])]),
    "a position that is named twice": JobRecord(RUNNING, [(0, 0, [0, 0])]),
    "a step that is named twice": JobRecord(RUNNING, [(0, 0, [0]), (0, 0, [0])]),
    "10^15 occurrences done": JobRecord(RUNNING, occurrences_done=10**15),
    "a task of occurrence 10^15": JobRecord(
        RUNNING, tasks=[TaskRecord(10**15, 0, 0, [])]
    ),
    "a task at position -1": JobRecord(RUNNING, tasks=[TaskRecord(0, 0, -1, [1])]),
    "10^15 failed runs": JobRecord(RUNNING, tasks=[TaskRecord(0, 0, 0, 10**15)]),
    "a run of number 2^63": JobRecord(RUNNING, tasks=[TaskRecord(0, 0, 0, [2**63])]),
    "an end at no number": JobRecord(RUNNING, ended_at=math.nan),
}


@given("a store with {count:d} jobs, and {what} with {odd}")
def step_odd_store(context, count, what, odd):
    _capture(context)
    world = context.leader_world = LeaderWorld()
    context.add_cleanup(world.close)
    context.key = KEY_BY_NAME[what]
    if "record" in what:
        job = REPEATED if "of occurrence" in odd else JOB
        world.store.put(JOB_PREFIX + OTHER, encode(job))
        world.store.put(context.key, encode(ODD_RECORDS[odd]))
    else:
        value = encode(ODD_JOBS[odd]) if odd in ODD_JOBS else DEEP
        world.store.put(context.key, value)
    for number in range(count):
        world.store_job(make_job(f"job-{number}", plain(1)))


@then("learnt interference with such numbers is passed over")
def step_learnt(context):
    model = Interference()
    model.restore(
        StoredEstimates(
            [("a", "b", math.nan, 1e-9), ("a", "c", math.inf, math.nan)],
            [("a", math.nan, 1.0), ("b", 0.1, math.inf)],
        )
    )
    exported = model.export()
    numbers = [n for row in [*exported.added, *exported.images] for n in row[-2:]]
    assert all(math.isfinite(number) for number in numbers), exported


@given(
    "a store with {count:d} jobs, and a job due {times:d} times each {interval:g} s"
    " from {first:g}"
)
def step_interval(context, count, times, interval, first):
    world = context.leader_world = LeaderWorld()
    context.add_cleanup(world.close)
    times_of_job = {"occurrences": times, "interval": interval, "first_at": first}
    # It is listed before the others.
    world.store_job(make_job(OTHER, plain(1, cores=0.5), **times_of_job))
    for number in range(count):
        world.store_job(make_job(f"job-{number}", plain(1)))


@then("the tasks of the {count:d} jobs run, and {due:d} times those of the other")
def step_run_times(context, count, due):
    world = context.leader_world
    jobs = [key.task.job for worker in world.workers for key in worker.running]
    assert jobs.count(OTHER) == due, jobs
    assert len(set(jobs) - {OTHER}) == count, jobs


@then("a leader that takes over any such run times predicts finite ones")
def step_run_times_learnt(context):
    for figures in itertools.product(ENDS, repeat=5):
        run_times = RunTimes()
        job = make_job("job-1", plain(1))
        stored = StoredRunTimes([StoredQueue(job.queue, *figures)])
        run_times.restore(stored)
        entry = JobEntry(job, ASKED_AT)
        run_times.predict(entry)
        assert math.isfinite(entry.expected_seconds[0]), figures


@then("one that takes over any such interference learns from reports")
def step_interference_learnt(context):
    for mean, variance, idle, base in itertools.product(ENDS, repeat=4):
        interference = Interference()
        stored = StoredEstimates([("s", "f", mean, variance)], [("s", idle, base)])
        interference.restore(stored)
        for second in range(3):
            reading = Reading("job-1", "s", 0.5, {"f": 0.5}, ASKED_AT + second)
            error = interference.learn(reading)
            assert math.isfinite(error), stored
        assert 0 <= interference.utilization("s", 0.5) <= 1, stored
