"""Simulates a fleet under the product's scheduler, without network or store.

The fleet has serving jobs with periodic loads; filling jobs that arrive in bursts,
fail, and take more or less time than estimated; pairs of images that interfere;
utilization figures that are noisy and averaged over the last half second; and a change
of leader. All of it is drawn from one seed. `bench.sharing` runs it.
"""

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from wagtailcleat.ids import JobId, NodeId, ServiceName, ZoneName
from wagtailcleat.resources import Resources
from wagtailcleat.scheduling.job_records import record_of
from wagtailcleat.scheduling.models import (
    Ended,
    Job,
    RunEnd,
    RunKey,
    Running,
    Step,
    WorkerInfo,
    WorkerState,
)
from wagtailcleat.scheduling.options import SchedulingOptions
from wagtailcleat.scheduling.scheduler import Scheduler
from wagtailcleat.wire.scheduling import Orders, Report

SERVICE = ServiceName("fleet")
STARTED_AT = 100.0
"""Clock at the start, in seconds."""
TICK_SECONDS = 0.1
TICKS_PER_REPORT = 3
FIGURE_TICKS = 5
"""Ticks whose mean is a reported utilization figure: the last half second."""
LEADERLESS_SECONDS = 2.0
"""Time without a leader at a change of leader."""
LEASE_HORIZON_SECONDS = 5.4
STOP_RETRY_SECONDS = 1.0
IDLE_SECONDS = 0.004
TARGET_SECONDS = 0.018
MEAN_LOAD = 0.42
LOAD_AMPLITUDE = 0.5
NOISE_DEVIATION = 0.07
"""Standard deviation of the noise in utilization."""
NOISE_SECONDS = 0.8
"""Time constant of the noise."""
FAILING_SHARE = 0.02
BURST_BEGINS_AT = 14.0
"""Seconds from the start to the beginning of the burst of filling jobs."""
BURST_ENDS_AT = 20.0
LAST_ARRIVAL_MARGIN_SECONDS = 10.0
"""No filling job is submitted this shortly before the end."""
LATE_WORTH = 0.15
"""Share of its worth that a filling job earns up to three times its objective."""
HARM_FACTOR = 4.0
"""Cost of a serving task over target through others, as a multiple of its worth."""
SERVING_WORTH = 0.6
"""Share of the serving tasks in the fleet's worth."""


@dataclass(frozen=True)
class Shape:
    """Sizes and rates of a fleet and its work; pairs are the bounds of a range."""

    vms: int
    cores: tuple[float, float]
    """Cores of a third of the VMs, and of the others."""
    serving_jobs: int
    serving_tasks: int
    serving_cores: tuple[float, float]
    serving_images: int
    filling_images: int
    filling_cores: tuple[float, float]
    filling_tasks: float
    """Typical number of tasks of a step; the steps of one job differ."""
    max_filling_tasks: int
    filling_jobs_per_second: float
    burst_factor: float
    mean_work_core_seconds: float
    """Work of a filling job whose worth is 1."""
    heavy_share: float
    """Share of the pairs of images that interfere."""
    heavy_added: tuple[float, float]
    """Utilization that a VM full of the filling image adds to such a pair."""
    checkpoint_seconds: float
    restore_seconds: float
    stop_seconds: float
    """Time from the order to stop a run until its end."""
    estimate_deviation: float = 0.0
    """Standard deviation of the logarithm of estimate by run time.

    0: estimates are at most a quarter too high and a fifth too low.
    """


FEW_LARGE_VMS = Shape(
    vms=11,
    cores=(96.0, 64.0),
    serving_jobs=9,
    serving_tasks=6,
    serving_cores=(9.0, 16.0),
    serving_images=5,
    filling_images=9,
    filling_cores=(4.5, 9.5),
    filling_tasks=8.0,
    max_filling_tasks=32,
    filling_jobs_per_second=0.6,
    burst_factor=2.6,
    mean_work_core_seconds=490.0,
    heavy_share=0.5,
    heavy_added=(0.5, 3.0),
    checkpoint_seconds=1.0,
    restore_seconds=0.6,
    stop_seconds=0.9,
)
MANY_SMALL_VMS = Shape(
    vms=52,
    cores=(24.0, 16.0),
    serving_jobs=16,
    serving_tasks=14,
    serving_cores=(2.4, 4.0),
    serving_images=10,
    filling_images=18,
    filling_cores=(1.3, 2.3),
    filling_tasks=20.0,
    max_filling_tasks=80,
    filling_jobs_per_second=1.43,
    burst_factor=1.5,
    mean_work_core_seconds=317.0,
    heavy_share=0.65,
    heavy_added=(0.5, 5.0),
    checkpoint_seconds=0.5,
    restore_seconds=0.1,
    stop_seconds=0.4,
)
BAD_ESTIMATES = replace(
    MANY_SMALL_VMS,
    vms=74,
    cores=(96.0, 64.0),
    serving_jobs=22,
    serving_cores=(9.0, 16.0),
    filling_cores=(4.9, 9.1),
    filling_jobs_per_second=1.62,
    burst_factor=2.4,
    mean_work_core_seconds=1232.0,
    checkpoint_seconds=2.0,
    restore_seconds=0.25,
    stop_seconds=0.2,
    estimate_deviation=0.9,
)
SHAPE_BY_NAME = {
    "few-large": FEW_LARGE_VMS,
    "many-small": MANY_SMALL_VMS,
    "bad-estimates": BAD_ESTIMATES,
}


@dataclass
class _Run:
    """A run on a worker."""

    key: RunKey
    step: Step
    remaining: float
    """Remaining work, in seconds at full pace."""
    restore_seconds_left: float
    pace: float = 1.0
    since_checkpoint: float = 0.0
    stops_at: float = math.inf
    """When a stop that was ordered takes effect."""
    fails_at: float = -1.0
    """Remaining work, in seconds, at which it fails; negative if it succeeds."""


@dataclass
class _Worker:
    """The true state of a VM, and what its agent reports."""

    node: NodeId
    cores: float
    running: dict[RunKey, _Run] = field(default_factory=dict)
    ended: list[Ended] = field(default_factory=list)
    ends: int = 0
    orders_taken: int = 0
    utilization_by_job: dict[JobId, deque[float]] = field(default_factory=dict)
    noise_by_job: dict[JobId, float] = field(default_factory=dict)


@dataclass(frozen=True)
class Outcome:
    """The result of one simulation.

    `worth`, `serving` and `filling` are shares of the greatest possible worth;
    `seconds_over` is the time of serving tasks over target through others.
    """

    worth: float
    serving: float
    filling: float
    seconds_over: float
    stops: int


class Fleet:
    """The simulated workers and jobs, and the leader's scheduler."""

    def __init__(
        self,
        seed: int,
        prepare: Callable[[Scheduler], None],
        *,
        load: float = 1.0,
        shape: Shape = FEW_LARGE_VMS,
    ) -> None:
        """Draw a fleet; `prepare` is called with the scheduler of each new leader."""
        self._random = random.Random(seed)
        self._shape = shape
        self._prepare = prepare
        self._now = STARTED_AT
        self._load = load
        self._workers = {
            NodeId(f"vm-{n}"): _Worker(NodeId(f"vm-{n}"), shape.cores[n % 3 > 0])
            for n in range(shape.vms)
        }
        self._phase_by_job: dict[JobId, tuple[float, float]] = {}
        self._work_by_job: dict[JobId, float] = {}
        self._jobs: list[Job] = []
        self._done_at_by_job: dict[JobId, float] = {}
        self._remaining_by_task: dict[tuple[JobId, int, int, int], float] = {}
        self._serving_seconds = 0.0
        self._over_seconds = 0.0
        self._stops = 0
        self._epoch = 0
        self._added_load_by_images = self._draw_interference()
        self._scheduler = self._new_leader()

    def simulate(self, seconds: float, *, leader_change_at: float) -> Outcome:
        """Simulate `seconds`; the leader changes after `leader_change_at` seconds."""
        for _ in range(self._shape.serving_jobs):
            self._submit(self._serving_job())
        end = self._now + seconds
        leader_change = self._now + leader_change_at
        tick = 0
        while self._now < end:
            self._now += TICK_SECONDS
            tick += 1
            self._draw_arrival(end)
            for worker in self._workers.values():
                self._advance_runs(worker)
            if leader_change <= self._now < leader_change + LEADERLESS_SECONDS:
                continue
            if self._epoch == 1 and self._now >= leader_change:
                self._scheduler = self._new_leader()
            for number, worker in enumerate(self._workers.values()):
                if (tick + number) % TICKS_PER_REPORT == 0:
                    self._send_report(worker)
            self._run_scheduler()
        return self._outcome(end)

    def _draw_interference(self) -> dict[tuple[str, str], float]:
        added_by_images = {}
        for serving in range(self._shape.serving_images):
            for filling in range(self._shape.filling_images):
                is_heavy = self._random.random() < self._shape.heavy_share
                low, high = self._shape.heavy_added if is_heavy else (0.0, 0.1)
                added = self._random.uniform(low, high)
                added_by_images[f"serve-{serving}", f"fill-{filling}"] = added
        return added_by_images

    def _serving_job(self) -> Job:
        number = len(self._jobs)
        image = f"serve-{self._random.randrange(self._shape.serving_images)}"
        size = Resources(self._random.uniform(*self._shape.serving_cores), 1000, 0)
        step = Step(
            self._shape.serving_tasks,
            size,
            1.0,
            long_running=True,
            image=image,
            target_seconds=TARGET_SECONDS,
        )
        job = self._job(f"serving-{number}", (step,), priority=0)
        period = self._random.uniform(8.0, 14.0)
        self._phase_by_job[job.id] = (period, self._random.uniform(0, 2 * math.pi))
        return job

    def _filling_job(self) -> Job:
        number = len(self._jobs)
        image = f"fill-{self._random.randrange(self._shape.filling_images)}"
        seconds = 4.4 * self._random.lognormvariate(-0.1, 0.5)
        estimate = seconds * self._draw_estimate_factor()
        size = Resources(self._random.uniform(*self._shape.filling_cores), 1000, 0)
        steps = []
        for index in range(self._random.choice((1, 2, 2, 3))):
            drawn = self._shape.filling_tasks * self._random.lognormvariate(-0.18, 0.6)
            count = max(1, min(self._shape.max_filling_tasks, round(drawn)))
            after = (index - 1,) if index else ()
            step = Step(
                count,
                size,
                estimate,
                after=after,
                checkpointable=True,
                image=image,
                fills=True,
            )
            steps.append(step)
        job = self._job(f"filling-{number}", tuple(steps), priority=2)
        self._work_by_job[job.id] = seconds
        return job

    def _draw_estimate_factor(self) -> float:
        if self._shape.estimate_deviation:
            return self._random.lognormvariate(0.0, self._shape.estimate_deviation)
        return self._random.uniform(0.8, 1.25)

    def _job(self, name: str, steps: tuple[Step, ...], *, priority: int) -> Job:
        return Job(
            id=JobId(name),
            queue="q",
            service=SERVICE,
            spec="x",
            steps=steps,
            accepted_at=self._now,
            priority=priority,
            attempts=4,
            stretch=2.0,
            target_latency=1.0,
        )

    def _draw_arrival(self, end: float) -> None:
        rate = self._shape.filling_jobs_per_second * self._load
        if BURST_BEGINS_AT < self._now - STARTED_AT < BURST_ENDS_AT:
            rate *= self._shape.burst_factor
        if self._now >= end - LAST_ARRIVAL_MARGIN_SECONDS:
            rate = 0.0
        if self._random.random() < rate * TICK_SECONDS:
            self._submit(self._filling_job())

    def _submit(self, job: Job) -> None:
        self._jobs.append(job)
        self._scheduler.job_table.add(job, now=self._now, wall_now=self._now)

    def _new_leader(self) -> Scheduler:
        """Return the scheduler of a new leader, restored from what is stored."""
        self._epoch += 1
        before = self._scheduler if self._epoch > 1 else None
        scheduler = Scheduler(
            self._epoch,  # type: ignore[arg-type]
            lease_horizon=LEASE_HORIZON_SECONDS,
            stop_retry_seconds=STOP_RETRY_SECONDS,
            options=SchedulingOptions(
                move_seconds=self._shape.stop_seconds + self._shape.restore_seconds
            ),
        )
        self._prepare(scheduler)
        if before is not None:
            stored = before.sharing.interference.export()
            scheduler.sharing.interference.restore(stored)
            self._restore_jobs(before, scheduler)
        return scheduler

    def _restore_jobs(self, before: Scheduler, scheduler: Scheduler) -> None:
        scheduler.unreported_agents = set(self._workers)
        for entry in before.job_table.entry_by_id.values():
            new = scheduler.job_table.add(
                entry.job, now=self._now, wall_now=self._now, record=record_of(entry)
            )
            new.may_start_tasks = False
        for worker in self._workers.values():
            worker.orders_taken = 0

    def _send_report(self, worker: _Worker) -> None:
        info = WorkerInfo(
            f"i-{worker.node}",
            1,
            SERVICE,
            ZoneName("z"),
            WorkerState.READY,
            Resources(worker.cores, 250_000, 0),
        )
        report = Report(
            node=worker.node,
            incarnation=1,
            zone=ZoneName("z"),
            host="h",
            port=1,
            worker=info,
            left=False,
            listed=True,
            running=[self._running(worker, run) for run in worker.running.values()],
            ended=list(worker.ended),
            unsettled=[],
            refused=[],
            silent_seconds=0.0,
            lease_seconds=LEASE_HORIZON_SECONDS,
            orders_taken=worker.orders_taken,
            has_all_ends=True,
        )
        self._scheduler.process_report(report, 1, now=self._now, wall_now=self._now)
        self._scheduler.vm_by_node[worker.node].registered = True

    def _running(self, worker: _Worker, run: _Run) -> Running:
        measurement = (
            run.step.size.cores * run.pace if not run.restore_seconds_left else 0.0
        )
        if run.step.target_seconds:
            samples = worker.utilization_by_job.get(run.key.task.job)
            mean = sum(samples) / len(samples) if samples else 0.0
            measurement = round(IDLE_SECONDS / (1 - min(0.98, mean)), 3)
        percent = 0
        if not run.step.long_running:
            seconds = self._work_by_job[run.key.task.job]
            percent = int(100 * (1 - run.remaining / seconds))
        return Running(run.key, "", percent, measurement)

    def _run_scheduler(self) -> None:
        scheduler = self._scheduler
        scheduler.expire(
            now=self._now, predecessors_until=self._now - LEASE_HORIZON_SECONDS
        )
        scheduler.place(now=self._now, wall_now=self._now)
        for entry in scheduler.job_table.entry_by_id.values():
            scheduler.committed(entry, entry.version)
            if entry.state.final:
                self._done_at_by_job.setdefault(entry.job.id, self._now)
        for vm, orders in scheduler.orders(now=self._now):
            self._deliver_orders(self._workers[vm.node], orders)

    def _deliver_orders(self, worker: _Worker, orders: Orders) -> None:
        worker.orders_taken = orders.number
        for start in orders.starts:
            worker.running[start.key] = self._new_run(start.key)
        for key in orders.stops:
            run = worker.running.get(key)
            if run is not None:
                stops_at = self._now + self._shape.stop_seconds
                run.stops_at = min(run.stops_at, stops_at)
        for pace in orders.paces:
            if pace.key in worker.running:
                worker.running[pace.key].pace = pace.percent / 100
        worker.ended = [e for e in worker.ended if e.number > orders.acknowledged]

    def _new_run(self, key: RunKey) -> _Run:
        job = self._scheduler.job_table.entry_by_id[key.task.job].job
        seconds = self._work_by_job.get(key.task.job, math.inf)
        remaining = self._remaining_by_task.get(key.task, seconds)
        fails = self._random.random() < FAILING_SHARE and remaining < math.inf
        return _Run(
            key,
            job.steps[key.task.step],
            remaining,
            restore_seconds_left=0.0
            if remaining == seconds
            else self._shape.restore_seconds,
            fails_at=self._random.uniform(0, remaining) if fails else -1.0,
        )

    def _end_run(self, worker: _Worker, key: RunKey, run_end: RunEnd) -> None:
        run = worker.running.pop(key, None)
        if run is None:
            return
        if run_end is RunEnd.STOPPED:
            run.since_checkpoint = 0.0
        if run_end is not RunEnd.SUCCEEDED:
            self._remaining_by_task[key.task] = run.remaining + run.since_checkpoint
        self._stops += run_end is RunEnd.STOPPED
        worker.ends += 1
        worker.ended.append(Ended(worker.ends, key, run_end))

    def _advance_runs(self, worker: _Worker) -> None:
        share_by_image: dict[str, float] = {}
        for run in list(worker.running.values()):
            if self._now >= run.stops_at:
                self._end_run(worker, run.key, RunEnd.STOPPED)
                continue
            if not run.step.fills:
                continue
            if run.restore_seconds_left > 0:
                run.restore_seconds_left = max(
                    0.0, run.restore_seconds_left - TICK_SECONDS
                )
                continue
            image = run.step.image
            share = run.step.size.cores * run.pace / worker.cores
            share_by_image[image] = share_by_image.get(image, 0.0) + share
            run.remaining -= TICK_SECONDS * run.pace
            run.since_checkpoint += TICK_SECONDS * run.pace
            if run.since_checkpoint >= self._shape.checkpoint_seconds:
                run.since_checkpoint = 0.0
            if run.remaining <= run.fails_at:
                self._end_run(worker, run.key, RunEnd.FAILED)
            elif run.remaining <= 0:
                self._end_run(worker, run.key, RunEnd.SUCCEEDED)
        self._update_utilization(worker, share_by_image)

    def _update_utilization(
        self, worker: _Worker, share_by_image: dict[str, float]
    ) -> None:
        decay = math.exp(-TICK_SECONDS / NOISE_SECONDS)
        noise_step = NOISE_DEVIATION * math.sqrt(1 - decay**2)
        counts: dict[JobId, tuple[str, int]] = {}
        for run in worker.running.values():
            if run.step.target_seconds:
                job = run.key.task.job
                counts[job] = (run.step.image, counts.get(job, ("", 0))[1] + 1)
        for job, (image, count) in counts.items():
            period, phase = self._phase_by_job[job]
            wave = math.sin(2 * math.pi * self._now / period + phase)
            noise = worker.noise_by_job.get(job, 0.0) * decay
            noise += self._random.gauss(0, noise_step)
            worker.noise_by_job[job] = noise
            added = sum(
                self._added_load_by_images[image, filling] * share
                for filling, share in share_by_image.items()
            )
            own = MEAN_LOAD * (1 + LOAD_AMPLITUDE * wave)
            samples = worker.utilization_by_job.setdefault(
                job, deque(maxlen=FIGURE_TICKS)
            )
            samples.append(min(0.98, max(0.0, own + added + noise)))
            self._serving_seconds += count * TICK_SECONDS
            limit = 1 - IDLE_SECONDS / TARGET_SECONDS
            if added > 0.01 and sum(samples) / len(samples) > limit:
                self._over_seconds += count * TICK_SECONDS

    def _outcome(self, end: float) -> Outcome:
        possible = earned = 0.0
        for job in self._jobs:
            if job.priority == 0:
                continue
            cores = sum(step.count * step.size.cores for step in job.steps)
            worth = 0.3 + 0.7 * min(
                4.0,
                cores * self._work_by_job[job.id] / self._shape.mean_work_core_seconds,
            )
            work = self._work_by_job[job.id] * len(job.steps)
            objective = job.stretch * work + job.target_latency
            taken = self._done_at_by_job.get(job.id, end + 99) - job.accepted_at
            possible += worth
            if taken <= objective:
                earned += worth
            elif taken <= 3 * objective:
                earned += LATE_WORTH * worth
        harm = HARM_FACTOR * self._over_seconds / max(1.0, self._serving_seconds)
        serving = max(0.0, 1 - harm)
        filling = earned / possible if possible else 1.0
        worth = SERVING_WORTH * serving + (1 - SERVING_WORTH) * filling
        return Outcome(worth, serving, filling, self._over_seconds, self._stops)
