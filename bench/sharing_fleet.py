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
from dataclasses import dataclass, field

from wagtailcleat.ids import JobId, NodeId, ServiceName, ZoneName
from wagtailcleat.resources import Resources
from wagtailcleat.scheduling.job_table import record_of
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
from wagtailcleat.scheduling.scheduler import Scheduler
from wagtailcleat.wire.scheduling import Orders, Report

SERVICE = ServiceName("fleet")
TICK_SECONDS = 0.1
TICKS_PER_REPORT = 3
FIGURE_TICKS = 5
"""Ticks whose mean is a reported utilization figure: the last half second."""
LEADERLESS_SECONDS = 2.0
"""Time without a leader at a change of leader."""
LEASE_HORIZON_SECONDS = 5.4
STOP_RETRY_SECONDS = 1.0
SERVING_IMAGES = 5
FILLING_IMAGES = 9
IDLE_SECONDS = 0.004
TARGET_SECONDS = 0.018
MEAN_LOAD = 0.42
LOAD_AMPLITUDE = 0.5
NOISE_DEVIATION = 0.07
"""Standard deviation of the noise in utilization."""
NOISE_SECONDS = 0.8
"""Time constant of the noise."""
FAILING_SHARE = 0.02
CHECKPOINT_SECONDS = 1.0
RESTORE_SECONDS = 0.6
LATE_WORTH = 0.15
"""Share of its worth that a filling job earns up to three times its objective."""
HARM_FACTOR = 4.0
"""Cost of a serving task over target through others, as a multiple of its worth."""
SERVING_WORTH = 0.6
"""Share of the serving tasks in the fleet's worth."""


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
        vms: int = 11,
    ) -> None:
        """Draw a fleet; `prepare` is called with the scheduler of each new leader."""
        self._random = random.Random(seed)
        self._prepare = prepare
        self._now = 100.0
        self._load = load
        self._workers = {
            NodeId(f"vm-{n}"): _Worker(NodeId(f"vm-{n}"), 64.0 if n % 3 else 96.0)
            for n in range(vms)
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
        for _ in range(9):
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
        for serving in range(SERVING_IMAGES):
            for filling in range(FILLING_IMAGES):
                is_heavy = self._random.random() < 0.5
                low, high = (0.5, 3.0) if is_heavy else (0.0, 0.1)
                added = self._random.uniform(low, high)
                added_by_images[f"serve-{serving}", f"fill-{filling}"] = added
        return added_by_images

    def _serving_job(self) -> Job:
        number = len(self._jobs)
        image = f"serve-{self._random.randrange(SERVING_IMAGES)}"
        size = Resources(self._random.uniform(9.0, 16.0), 1000, 0)
        step = Step(
            6, size, 1.0, long_running=True, image=image, target_seconds=TARGET_SECONDS
        )
        job = self._job(f"serving-{number}", (step,), priority=0)
        period = self._random.uniform(8.0, 14.0)
        self._phase_by_job[job.id] = (period, self._random.uniform(0, 2 * math.pi))
        return job

    def _filling_job(self) -> Job:
        number = len(self._jobs)
        image = f"fill-{self._random.randrange(FILLING_IMAGES)}"
        seconds = 4.4 * self._random.lognormvariate(-0.1, 0.5)
        estimate = seconds * self._random.uniform(0.8, 1.25)
        size = Resources(self._random.uniform(4.5, 9.5), 1000, 0)
        steps = []
        for index in range(self._random.choice((1, 2, 2, 3))):
            count = max(1, min(32, round(8 * self._random.lognormvariate(-0.18, 0.6))))
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
        rate = 0.6 * self._load
        if 14.0 < self._now - 100.0 < 20.0:
            rate *= 2.6
        if self._random.random() < rate * TICK_SECONDS and self._now < end - 10.0:
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
        return Running(run.key, "", 0, measurement)

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
            self._end_run(worker, key, RunEnd.STOPPED)
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
            restore_seconds_left=0.0 if remaining == seconds else RESTORE_SECONDS,
            fails_at=self._random.uniform(0, remaining) if fails else -1.0,
        )

    def _end_run(self, worker: _Worker, key: RunKey, run_end: RunEnd) -> None:
        run = worker.running.pop(key, None)
        if run is None:
            return
        if run_end is not RunEnd.SUCCEEDED:
            self._remaining_by_task[key.task] = run.remaining + run.since_checkpoint
        self._stops += run_end is RunEnd.STOPPED
        worker.ends += 1
        worker.ended.append(Ended(worker.ends, key, run_end))

    def _advance_runs(self, worker: _Worker) -> None:
        share_by_image: dict[str, float] = {}
        for run in list(worker.running.values()):
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
            if run.since_checkpoint >= CHECKPOINT_SECONDS:
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
            worth = 0.3 + 0.7 * min(4.0, cores * self._work_by_job[job.id] / 490)
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
