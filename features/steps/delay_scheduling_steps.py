"""Steps on racks that hold the data of jobs, without a network."""

from random import Random
from typing import NamedTuple

import msgspec
from behave import given, then, when

from features.steps.scheduling_world import (
    SchedulingWorld,
    SimulatedWorker,
    make_job,
    plain,
    serving,
)
from wagtailcleat.scheduling.job_entry import TaskState
from wagtailcleat.scheduling.models import RunEnd, WorkerState

FIRST_RACK = "r1"
LOOK_SECONDS = 0.1
RUN_SECONDS = 1.2
STRETCH = 1.5
TARGET_LATENCY = 0.3
TOLERANCE = 1e-6
SEED = 5


class RackWorld(SchedulingWorld):
    """Racks of VMs whose runs take longer away from their data."""

    def __init__(self, racks, vms, cores, far_factor):
        """Start `racks` racks of `vms` VMs each."""
        self.far = far_factor
        self.started_at = {}
        self.finished_at = {}
        self.hangs = False
        self.done_by_run = {}
        workers = [
            SimulatedWorker(f"vm-{rack}-{vm}", rack=f"r{rack}", cores=float(cores))
            for rack in range(1, racks + 1)
            for vm in range(1, vms + 1)
        ]
        super().__init__(workers, far_factor=far_factor)

    def advance(self):
        """Let 0.1 s pass: end runs, report, place, and carry out orders."""
        self.now += LOOK_SECONDS
        for worker in self.worker_by_node.values():
            if not self.hangs:
                self._end_due(worker)
            self.report(worker)
        for node, orders in self.decide():
            worker = self.worker_by_node[node]
            for start in orders.starts:
                self.started_at[start.key] = self.now
            worker.take(orders)
        self.commit()
        for entry in self.scheduler.job_table.entry_by_id.values():
            if entry.state.final:
                self.finished_at.setdefault(entry.job.id, self.now)

    def _end_due(self, worker):
        for key in list(worker.running):
            step = self.job_of(key.task).steps[key.task.step]
            if step.long_running:
                continue
            far = step.affinity_rack and worker.rack != step.affinity_rack
            seconds = step.estimate_seconds * (self.far if far else 1.0)
            done = self.done_by_run.get(key, 0.0) + LOOK_SECONDS / seconds
            self.done_by_run[key] = done
            worker.percent_by_run[key] = min(100, int(100 * done))
            if done >= 1 - TOLERANCE:
                worker.end(key, RunEnd.SUCCEEDED)

    def pass_time(self, seconds):
        """Let time pass."""
        for _ in range(round(seconds / LOOK_SECONDS)):
            self.advance()

    def submit_near(self, name, count, rack=FIRST_RACK, seconds=RUN_SECONDS):
        """Submit a job whose data is on a rack, or anywhere if `rack` is empty."""
        step = msgspec.structs.replace(
            plain(count, cores=1.0), affinity_rack=rack, estimate_seconds=seconds
        )
        job = make_job(
            name,
            step,
            accepted_at=self.wall_now,
            stretch=STRETCH,
            target_latency=TARGET_LATENCY,
        )
        return self.submit(job)


@given(
    "{racks:d} racks of {vms:d} VM with {cores:d} cores, and tasks that take"
    " {factor:g} times as long away from their data"
)
@given(
    "{racks:d} racks of {vms:d} VMs with {cores:d} cores, and tasks that take"
    " {factor:g} times as long away from their data"
)
def step_racks(context, racks, vms, cores, factor):
    context.shape = (racks, vms, cores)
    context.world = RackWorld(racks, vms, cores, factor)


@given("a job that lasts takes all cores of the first rack")
def step_lasting(context):
    world = context.world
    step = msgspec.structs.replace(serving(8, cores=1.0), affinity_rack=FIRST_RACK)
    world.submit(make_job("lasting", step))
    world.advance()
    assert set(_racks(world, "lasting")) == {FIRST_RACK}


@given("a job of {count:d} tasks of {seconds:g} s runs on the first rack")
def step_runs(context, count, seconds):
    world = context.world
    assert seconds == RUN_SECONDS
    world.submit_near("before", count)
    world.advance()
    assert _racks(world, "before") == [FIRST_RACK] * count
    world.hangs = True


def _racks(world, job):
    return [world.worker_by_node[node].rack for node in world.running_nodes(job)]


class BurstJob(NamedTuple):
    """A drawn job of a burst."""

    at: float
    count: int
    seconds: float
    rack: str


def _draw_burst(seconds, jobs_per_second, share, seed):
    random = Random(seed)
    jobs = []
    at = random.expovariate(jobs_per_second)
    while at < seconds:
        count = max(1, min(24, round(6 * random.lognormvariate(-0.2, 0.7))))
        run_seconds = RUN_SECONDS * random.lognormvariate(-0.1, 0.45)
        rack = FIRST_RACK if random.random() < share else ""
        jobs.append(BurstJob(at, count, run_seconds, rack))
        at += random.expovariate(jobs_per_second)
    return jobs


def _play_burst(world, jobs):
    """Return for each job of a burst whether it is in time."""
    begin = world.now
    entries = []
    while len(entries) < len(jobs):
        for job in jobs[len(entries) :]:
            if job.at > world.now - begin:
                break
            name = f"job-{len(entries)}"
            entries.append(world.submit_near(name, job.count, job.rack, job.seconds))
        world.advance()
    world.pass_time(20.0)
    return [
        world.finished_at[entry.job.id] - entry.learned_at
        <= STRETCH * job.seconds + TARGET_LATENCY
        for entry, job in zip(entries, jobs, strict=True)
    ]


@when(
    "for {seconds:g} s, {rate:g} jobs a second come, of which {share:g} name the first"
    " rack"
)
def step_burst(context, seconds, rate, share):
    jobs = _draw_burst(seconds, rate, share, SEED)
    context.jobs = jobs
    context.in_time = _play_burst(_new_world(context), jobs)
    context.in_time_without = _play_burst(_new_world(context, waits=False), jobs)


def _new_world(context, *, waits=True):
    world = RackWorld(*context.shape, context.world.far)
    if not waits:
        world.scheduler.delay_scheduling.waits = lambda *arguments: False
    return world


def _count(jobs, in_time, rack):
    return sum(ok for job, ok in zip(jobs, in_time, strict=True) if job.rack == rack)


@then("at least {factor:g} times as many of these are in time as if no job had waited")
def step_more(context, factor):
    now = _count(context.jobs, context.in_time, FIRST_RACK)
    without = _count(context.jobs, context.in_time_without, FIRST_RACK)
    assert now >= factor * without, (now, without)


@then("no fewer of the others")
def step_others(context):
    now = _count(context.jobs, context.in_time, "")
    without = _count(context.jobs, context.in_time_without, "")
    assert now >= without, (now, without)


@then("all jobs are in time")
def step_all_in_time(context):
    assert all(context.in_time), context.in_time


@when("a job of {count:d} tasks names the first rack")
def step_submit(context, count):
    context.count = count
    context.submitted_at = context.world.now
    context.world.submit_near("near", count)
    context.world.advance()


@when('a job of {count:d} tasks names rack "{rack}"')
def step_submit_rack(context, count, rack):
    context.count = count
    context.world.submit_near("near", count, rack=rack)
    context.world.advance()


@when(
    "a job of {count:d} tasks names the first rack, and the rack's VM drains"
    " {seconds:g} s later"
)
def step_submit_drain(context, count, seconds):
    step_submit(context, count)
    context.started_at_once = _racks(context.world, "near")
    context.world.pass_time(seconds)
    worker = next(iter(context.world.worker_by_node.values()))
    worker.state = WorkerState.DRAINING


@then("its tasks start at once on the second rack")
def step_second_rack(context):
    assert _racks(context.world, "near") == ["r2"] * context.count


@then("its tasks start at once")
def step_at_once(context):
    assert len(_racks(context.world, "near")) == context.count


@then("{count:d} of its tasks start at once on the second rack")
def step_some(context, count):
    assert _racks(context.world, "near") == ["r2"] * count


@then("its tasks start within {seconds:g} s on the second rack, and not at once")
def step_within(context, seconds):
    world = context.world
    started_at_once = getattr(context, "started_at_once", _racks(world, "near"))
    assert started_at_once == [], started_at_once
    while len(_racks(world, "near")) < context.count:
        assert world.now - context.submitted_at <= seconds + LOOK_SECONDS
        world.advance()
    assert _racks(world, "near") == ["r2"] * context.count
    entry = world.scheduler.job_table.entry_by_id["near"]
    assert all(task.state is TaskState.PLACED for task in entry.tasks())
