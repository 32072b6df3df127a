"""A fleet on virtual time under the platform's scheduler: no network, no store.

Serving jobs whose loads swing, filling jobs that arrive, burst, fail and run off their
estimates, pairs of images that interfere, figures that are noisy and of the half second
before, and a change of leader. All is drawn from one seed.
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
TICK = 0.1
"""Seconds."""
TICKS_PER_REPORT = 3
FIGURE_TICKS = 5
"""A figure is the mean of the last half second."""
CHANGE_PAUSE = 2.0
"""Seconds without a leader at a change of leader."""
HORIZON = 5.4
STOP_AGAIN = 1.0
SERVING_IMAGES = 5
FILLING_IMAGES = 9
IDLE_SECONDS = 0.004
TARGET_SECONDS = 0.018
MEAN_LOAD = 0.42
SWING = 0.5
NOISE = 0.07
"""Standard deviation of utilization, with `NOISE_SECONDS` as time constant."""
NOISE_SECONDS = 0.8
FAIL_SHARE = 0.02
CHECKPOINT_SECONDS = 1.0
RESTORE_SECONDS = 0.6
LATE_WORTH = 0.15
HARM_FACTOR = 4.0
"""A serving task that is over target through others costs so many times its worth."""
SERVING_WORTH = 0.6
"""Share of the fleet's worth that its serving tasks have."""


@dataclass
class _Run:
    """A run at a worker."""

    key: RunKey
    step: Step
    left: float
    """Seconds of work at full pace."""
    restoring: float
    pace: float = 1.0
    since_checkpoint: float = 0.0
    fails_at: float = -1.0
    """Seconds of work left at which it fails; negative: it succeeds."""


@dataclass
class _Worker:
    """A VM as it is, and its agent."""

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
    """What a day of the fleet was worth, as shares of what was owed."""

    worth: float
    serving: float
    filling: float
    seconds_over: float
    stops: int


class Fleet:
    """Workers, what runs on them, and the scheduler that orders them."""

    def __init__(
        self,
        seed: int,
        prepare: Callable[[Scheduler], None],
        *,
        load: float = 1.0,
        vms: int = 11,
    ) -> None:
        """Draw a fleet; `prepare` is given each leader's scheduler."""
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
        self._left_by_task: dict[tuple[JobId, int, int, int], float] = {}
        self._serving_seconds = 0.0
        self._over_seconds = 0.0
        self._stops = 0
        self._epoch = 0
        self._pairs = self._draw_pairs()
        self._scheduler = self._lead()

    def play(self, seconds: float, *, change_at: float) -> Outcome:
        """Let a day pass, with a new leader at `change_at`."""
        for _ in range(9):
            self._submit(self._serving_job())
        end = self._now + seconds
        changes = self._now + change_at
        tick = 0
        while self._now < end:
            self._now += TICK
            tick += 1
            self._arrive(end)
            for worker in self._workers.values():
                self._work(worker)
            if changes <= self._now < changes + CHANGE_PAUSE:
                continue
            if self._epoch == 1 and self._now >= changes:
                self._scheduler = self._lead()
            for number, worker in enumerate(self._workers.values()):
                if (tick + number) % TICKS_PER_REPORT == 0:
                    self._report(worker)
            self._decide()
        return self._outcome(end)

    # ---- what is drawn

    def _draw_pairs(self) -> dict[tuple[str, str], float]:
        pairs = {}
        for serving in range(SERVING_IMAGES):
            for filling in range(FILLING_IMAGES):
                heavy = self._random.random() < 0.5
                least, most = (0.5, 3.0) if heavy else (0.0, 0.1)
                added = self._random.uniform(least, most)
                pairs[f"serve-{serving}", f"fill-{filling}"] = added
        return pairs

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
        for place in range(self._random.choice((1, 2, 2, 3))):
            count = max(1, min(32, round(8 * self._random.lognormvariate(-0.18, 0.6))))
            after = (place - 1,) if place else ()
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

    def _arrive(self, end: float) -> None:
        rate = 0.6 * self._load
        if 14.0 < self._now - 100.0 < 20.0:
            rate *= 2.6
        if self._random.random() < rate * TICK and self._now < end - 10.0:
            self._submit(self._filling_job())

    def _submit(self, job: Job) -> None:
        self._jobs.append(job)
        self._scheduler.job_table.add(job, now=self._now, wall_now=self._now)

    # ---- the leader

    def _lead(self) -> Scheduler:
        """Return the scheduler of a new leader, which knows what is stored."""
        self._epoch += 1
        before = self._scheduler if self._epoch > 1 else None
        scheduler = Scheduler(
            self._epoch,  # type: ignore[arg-type]
            lease_horizon=HORIZON,
            stop_retry_seconds=STOP_AGAIN,
        )
        self._prepare(scheduler)
        if before is not None:
            stored = before.sharing.interference.export()
            scheduler.sharing.interference.restore(stored)
            self._hand_over(before, scheduler)
        return scheduler

    def _hand_over(self, before: Scheduler, scheduler: Scheduler) -> None:
        scheduler.unreported_agents = set(self._workers)
        for entry in before.job_table.entry_by_id.values():
            new = scheduler.job_table.add(
                entry.job, now=self._now, wall_now=self._now, record=record_of(entry)
            )
            new.may_start_tasks = False
        for worker in self._workers.values():
            worker.orders_taken = 0

    def _report(self, worker: _Worker) -> None:
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
            lease_seconds=HORIZON,
            orders_taken=worker.orders_taken,
            has_all_ends=True,
        )
        self._scheduler.process_report(report, 1, now=self._now, wall_now=self._now)
        self._scheduler.vm_by_node[worker.node].registered = True

    def _running(self, worker: _Worker, run: _Run) -> Running:
        measurement = run.step.size.cores * run.pace if not run.restoring else 0.0
        if run.step.target_seconds:
            seen = worker.utilization_by_job.get(run.key.task.job)
            mean = sum(seen) / len(seen) if seen else 0.0
            measurement = round(IDLE_SECONDS / (1 - min(0.98, mean)), 3)
        return Running(run.key, "", 0, measurement)

    def _decide(self) -> None:
        scheduler = self._scheduler
        scheduler.expire(now=self._now, predecessors_until=self._now - HORIZON)
        scheduler.place(now=self._now, wall_now=self._now)
        for entry in scheduler.job_table.entry_by_id.values():
            scheduler.committed(entry, entry.version)
            if entry.state.final:
                self._done_at_by_job.setdefault(entry.job.id, self._now)
        for vm, orders in scheduler.orders(now=self._now):
            self._take(self._workers[vm.node], orders)

    def _take(self, worker: _Worker, orders: Orders) -> None:
        worker.orders_taken = orders.number
        for start in orders.starts:
            worker.running[start.key] = self._begin(start.key)
        for key in orders.stops:
            self._end(worker, key, RunEnd.STOPPED)
        for pace in orders.paces:
            if pace.key in worker.running:
                worker.running[pace.key].pace = pace.percent / 100
        worker.ended = [e for e in worker.ended if e.number > orders.acknowledged]

    # ---- the workers

    def _begin(self, key: RunKey) -> _Run:
        job = self._scheduler.job_table.entry_by_id[key.task.job].job
        seconds = self._work_by_job.get(key.task.job, math.inf)
        left = self._left_by_task.get(key.task, seconds)
        fails = self._random.random() < FAIL_SHARE and left < math.inf
        return _Run(
            key,
            job.steps[key.task.step],
            left,
            restoring=0.0 if left == seconds else RESTORE_SECONDS,
            fails_at=self._random.uniform(0, left) if fails else -1.0,
        )

    def _end(self, worker: _Worker, key: RunKey, how: RunEnd) -> None:
        run = worker.running.pop(key, None)
        if run is None:
            return
        if how is not RunEnd.SUCCEEDED:
            self._left_by_task[key.task] = run.left + run.since_checkpoint
        self._stops += how is RunEnd.STOPPED
        worker.ends += 1
        worker.ended.append(Ended(worker.ends, key, how))

    def _work(self, worker: _Worker) -> None:
        share_by_image: dict[str, float] = {}
        for run in list(worker.running.values()):
            if not run.step.fills:
                continue
            if run.restoring > 0:
                run.restoring = max(0.0, run.restoring - TICK)
                continue
            image = run.step.image
            share = run.step.size.cores * run.pace / worker.cores
            share_by_image[image] = share_by_image.get(image, 0.0) + share
            run.left -= TICK * run.pace
            run.since_checkpoint += TICK * run.pace
            if run.since_checkpoint >= CHECKPOINT_SECONDS:
                run.since_checkpoint = 0.0
            if run.left <= run.fails_at:
                self._end(worker, run.key, RunEnd.FAILED)
            elif run.left <= 0:
                self._end(worker, run.key, RunEnd.SUCCEEDED)
        self._serve(worker, share_by_image)

    def _serve(self, worker: _Worker, share_by_image: dict[str, float]) -> None:
        lasting = math.exp(-TICK / NOISE_SECONDS)
        fresh = NOISE * math.sqrt(1 - lasting**2)
        counts: dict[JobId, tuple[str, int]] = {}
        for run in worker.running.values():
            if run.step.target_seconds:
                job = run.key.task.job
                counts[job] = (run.step.image, counts.get(job, ("", 0))[1] + 1)
        for job, (image, count) in counts.items():
            period, phase = self._phase_by_job[job]
            turn = math.sin(2 * math.pi * self._now / period + phase)
            noise = worker.noise_by_job.get(job, 0.0) * lasting
            noise += self._random.gauss(0, fresh)
            worker.noise_by_job[job] = noise
            added = sum(
                self._pairs[image, filling] * share
                for filling, share in share_by_image.items()
            )
            own = MEAN_LOAD * (1 + SWING * turn)
            seen = worker.utilization_by_job.setdefault(job, deque(maxlen=FIGURE_TICKS))
            seen.append(min(0.98, max(0.0, own + added + noise)))
            self._serving_seconds += count * TICK
            limit = 1 - IDLE_SECONDS / TARGET_SECONDS
            if added > 0.01 and sum(seen) / len(seen) > limit:
                self._over_seconds += count * TICK

    # ---- the outcome

    def _outcome(self, end: float) -> Outcome:
        owed = earned = 0.0
        for job in self._jobs:
            if job.priority == 0:
                continue
            cores = sum(step.count * step.size.cores for step in job.steps)
            worth = 0.3 + 0.7 * min(4.0, cores * self._work_by_job[job.id] / 490)
            work = self._work_by_job[job.id] * len(job.steps)
            objective = job.stretch * work + job.target_latency
            taken = self._done_at_by_job.get(job.id, end + 99) - job.accepted_at
            owed += worth
            if taken <= objective:
                earned += worth
            elif taken <= 3 * objective:
                earned += LATE_WORTH * worth
        harm = HARM_FACTOR * self._over_seconds / max(1.0, self._serving_seconds)
        serving = max(0.0, 1 - harm)
        filling = earned / owed if owed else 1.0
        worth = SERVING_WORTH * serving + (1 - SERVING_WORTH) * filling
        return Outcome(worth, serving, filling, self._over_seconds, self._stops)
