"""Steps on how much the leader does for one job in one turn of its event loop.

Calls of functions are counted, not seconds: they are the same on a busy machine.
"""

import gc
import sys
import tracemalloc
from collections import Counter
from functools import partial

from behave import given, then, when

from features.steps.scheduling_world import (
    SchedulingWorld,
    SimulatedWorker,
    make_job,
)
from wagtailcleat.resources import Resources
from wagtailcleat.scheduling.job_records import record_of
from wagtailcleat.scheduling.models import RunEnd, Step

JOB = "j"
VMS = 2
TURNS = ("process_report", "place", "orders", "cancel")
FEW_CALLS = 5_000
"""Turns with fewer calls end within milliseconds, whatever they grow with."""
EDGES = 10
INTERVAL_SECONDS = 60.0
MAX_ROUNDS = 40


class _CountedWorld:
    """A scheduler whose turns are counted, and its simulated workers."""

    def __init__(self, vms=VMS):
        workers = [SimulatedWorker(f"vm-{n}") for n in range(vms)]
        self.world = SchedulingWorld(workers)
        self.calls_by_turn = Counter()
        """Most calls of functions in one turn, by the method of the scheduler."""
        self._count_turns()

    def _count_turns(self):
        scheduler = self.world.scheduler
        for name in TURNS:
            work = partial(self._counted, name, getattr(scheduler, name))
            setattr(scheduler, name, work)
        table = scheduler.job_table
        table.add = partial(self._counted, "add", table.add)

    def _counted(self, name, work, *positional, **named):
        calls = 0

        def count(frame, event, argument):
            nonlocal calls
            calls += event in ("call", "c_call")

        sys.setprofile(count)
        try:
            return work(*positional, **named)
        finally:
            sys.setprofile(None)
            self.calls_by_turn[name] = max(self.calls_by_turn[name], calls)

    def lead(self):
        """Start the next leader, with the jobs and their records."""
        before = self.world.scheduler.job_table.entry_by_id
        self.world.lead(self.world.scheduler.epoch + 1)
        self._count_turns()
        world = self.world
        for entry in before.values():
            world.scheduler.job_table.add(
                entry.job,
                now=world.now,
                wall_now=world.wall_now,
                record=record_of(entry),
            )

    def run_all(self, count):
        """Let rounds pass until all tasks run."""
        for _ in range(MAX_ROUNDS):
            if len(self.running()) == count:
                return
            self.world.round()
        raise AssertionError(f"{len(self.running())} of {count} tasks run")

    def running(self):
        """Return the runs in progress, with their workers."""
        workers = self.world.worker_by_node.values()
        return [(worker, key) for worker in workers for key in worker.running]

    def rounds(self, count=3):
        """Let rounds pass."""
        for _ in range(count):
            self.world.round()


def _tiny(count, **more):
    return Step(count, Resources(0.001, 0, 0), 0.1, **more)


def _submit(counted, *steps, name=JOB, **more):
    counted.world.submit(make_job(name, *steps, **more))


def _succeed(counted, count, **more):
    _submit(counted, _tiny(count, **more))
    counted.run_all(count)
    counted.world.end_all(RunEnd.SUCCEEDED)
    counted.rounds()
    assert not counted.world.scheduler.job_table.open_by_id


def _cancel(counted, count):
    world = counted.world
    _submit(counted, _tiny(count))
    counted.run_all(count)
    world.scheduler.cancel(JOB, now=world.now, wall_now=world.wall_now)
    counted.rounds()
    assert not counted.running()


def _fail(counted, count):
    _submit(counted, _tiny(count), attempts=1)
    counted.run_all(count)
    worker, key = counted.running()[0]
    worker.end(key, RunEnd.FAILED)
    counted.rounds()
    assert not counted.running()


def _break_gang(counted, count):
    _submit(counted, _tiny(count, gang=True))
    counted.run_all(count)
    for number, (worker, key) in enumerate(counted.running()):
        worker.end(key, RunEnd.BROKEN if number else RunEnd.FAILED)
    counted.rounds()
    assert len(counted.running()) == count


def _hold_gang(counted, count):
    cores = sum(worker.cores for worker in counted.world.worker_by_node.values())
    size = Resources(cores / (count - 1), 0, 0)
    _submit(counted, Step(count, size, 0.1, gang=True))
    counted.rounds()
    assert not counted.running()


def _run(counted, count, **more):
    _submit(counted, _tiny(count, **more))
    counted.run_all(count)
    counted.rounds()


def _limit_per_vm(counted, count):
    _run(counted, count, max_per_vm=count)


def _depend(counted, count):
    steps = [
        _tiny(1, after=tuple(range(max(0, number - EDGES), number)))
        for number in range(count)
    ]
    _submit(counted, *steps)
    for _ in range(EDGES):
        counted.world.round()
        counted.world.end_all(RunEnd.SUCCEEDED)


def _due_together(counted, count):
    world = counted.world
    for number in range(count):
        job = make_job(
            f"{JOB}{number}", _tiny(1), occurrences=1, first_at=world.wall_now + 0.5
        )
        world.submit(job)
    assert not counted.running()
    counted.run_all(count)


PLAY_BY_NAME = {
    "succeeds": _succeed,
    "is cancelled while all its tasks run": _cancel,
    "fails while all its tasks run": _fail,
    "is a gang that succeeds": partial(_succeed, gang=True),
    "is a gang that ends as one member fails": _break_gang,
    "is a gang without room": _hold_gang,
    "fills idle cores": partial(_run, fills=True, checkpointable=True, image="f"),
    "serves": partial(_run, long_running=True, target_seconds=0.02, image="s"),
    "has a limit for each VM": _limit_per_vm,
    "has a step of 10 edges for each task": _depend,
    "is stored as one job for each task": _due_together,
}


@given("a job of {few:d} tasks, and another of {many:d}, each of which {what}")
def step_jobs(context, few, many, what):
    context.counted = [_CountedWorld(), _CountedWorld()]
    for counted, count in zip(context.counted, (few, many), strict=True):
        PLAY_BY_NAME[what](counted, count)


PLAY_BY_KIND = {
    "a job": _run,
    "a gang": partial(_run, gang=True),
    "a gang without room": _hold_gang,
}


@given(
    "{what} of {few:d} tasks on {few_vms:d} VMs, and another of {many:d} on"
    " {many_vms:d}"
)
def step_vms(context, what, few, few_vms, many, many_vms):
    context.counted = [_CountedWorld(few_vms), _CountedWorld(many_vms)]
    for counted, count in zip(context.counted, (few, many), strict=True):
        PLAY_BY_KIND[what](counted, count)


@then(
    "no turn of the leader takes more than {factor:g} times as many calls for the"
    " larger one"
)
@then(
    "no turn of the leader takes more than {factor:g} times as many calls for the"
    " longer one"
)
def step_calls(context, factor):
    small, large = (counted.calls_by_turn for counted in context.counted)
    assert small and large
    grown = {
        name: (small[name], calls)
        for name, calls in large.items()
        if calls > max(FEW_CALLS, factor * small[name])
    }
    assert not grown, grown


@given(
    "a schedule with {few:d} overdue occurrences, and another with {many:d}",
)
def step_schedules(context, few, many):
    context.occurrences = (few, many)


@when(
    "each is submitted, runs for {count:d} rounds, and is restored by the next leader"
)
def step_run_schedules(context, count):
    context.counted = []
    context.peaks = []
    for occurrences in context.occurrences:
        counted = _CountedWorld()
        gc.collect()
        tracemalloc.start()
        _submit(
            counted,
            _tiny(1),
            occurrences=2 * occurrences,
            first_at=counted.world.wall_now - (occurrences - 0.5) * INTERVAL_SECONDS,
            interval=INTERVAL_SECONDS,
        )
        for _ in range(2):
            for _ in range(count):
                counted.world.round()
                counted.world.end_all(RunEnd.SUCCEEDED)
            counted.lead()
        context.peaks.append(tracemalloc.get_traced_memory()[1])
        tracemalloc.stop()
        assert len(counted.world.starts) > count
        context.counted.append(counted)


@then("it takes no more than {factor:g} times as much memory")
def step_memory(context, factor):
    small, large = context.peaks
    assert large <= factor * small, context.peaks


STEP_BY_NAME = {
    "neither serve nor fill": {},
    "serve": {"long_running": True, "target_seconds": 0.02, "image": "s"},
    "fill": {"fills": True, "checkpointable": True, "image": "f"},
}


@when("a job of {count:d} tasks that {what} is submitted")
def step_large_job(context, count, what):
    context.count = count
    context.world.submit(make_job(JOB, _tiny(count, **STEP_BY_NAME[what])))


@then("no round starts more than {limit:d} of them, and all run after {count:d} rounds")
def step_rounds(context, limit, count):
    world = context.world
    for _ in range(count):
        before = len(world.starts)
        world.round()
        started = len(world.starts) - before
        assert started <= limit, started
    assert len(world.running_nodes(JOB)) == context.count
