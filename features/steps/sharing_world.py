"""A simulated fleet of serving tasks with varying load, slowed by filling tasks."""

import math

from features.steps.scheduling_world import (
    REPORT_SECONDS,
    SchedulingWorld,
    SimulatedWorker,
    filling,
    make_job,
    serving,
)
from wagtailcleat.scheduling.models import RunEnd

VMS = 10
CORES = 32.0
SERVING_IMAGES = ("watch-a", "watch-b", "watch-c")
TOLERANT = "watch-c"
"""This image is not slowed by any filling task."""
LIGHT_IMAGES = ("fill-0", "fill-1", "fill-2")
FILLING_IMAGES = tuple(f"fill-{number}" for number in range(9))
IDLE = 0.22
LOAD = 0.42
SWING = 0.5
SWING_SECONDS = 10.0
ADDED = 1.2
"""Utilization that a VM full of an interfering image adds."""
TASK_SECONDS = 3.4
TARGET = 0.02


class VaryingLoadFleet:
    """VMs with serving tasks on nine tenths of their cores, and a filling burst."""

    def __init__(self) -> None:
        """Start the serving tasks, then submit the burst."""
        workers = [SimulatedWorker(f"vm-{n}", cores=CORES) for n in range(1, VMS + 1)]
        self.world = SchedulingWorld(workers)
        self.done = 0
        self.over = 0
        self.reports = 0
        self._left_by_run: dict = {}
        for number, image in enumerate(SERVING_IMAGES):
            step = serving(15, cores=6.0, image=image)
            self.world.submit(make_job(f"serving-{number}", step))
        for _ in range(4):
            self.world.round()
        for number in range(30):
            image = FILLING_IMAGES[number % len(FILLING_IMAGES)]
            step = filling(8, cores=3.5, image=image)
            self.world.submit(make_job(f"burst-{number}", step, priority=2))

    @property
    def over_share(self) -> float:
        """Share of all reports of serving tasks that were over their target."""
        return self.over / self.reports

    def play(self, *, seconds: float) -> None:
        """Let time pass in rounds."""
        for _ in range(round(seconds / REPORT_SECONDS)):
            for number, worker in enumerate(self.world.worker_by_node.values()):
                self._report_figures(worker, phase=number)
                self._work(worker)
            self.world.round()

    def _report_figures(self, worker: SimulatedWorker, phase: int) -> None:
        turn = 2 * math.pi * (self.world.now / SWING_SECONDS + phase / VMS)
        own = LOAD * (1 + SWING * math.sin(turn))
        for key in worker.running:
            step = self._step(key)
            if not step.target_seconds:
                continue
            utilization = min(0.98, own + self._added(worker, step.image))
            load = IDLE / (1 - utilization)
            worker.figure_by_run[key] = load * TARGET
            self.reports += 1
            self.over += load > 1

    def _added(self, worker: SimulatedWorker, serving_image: str) -> float:
        if serving_image == TOLERANT:
            return 0.0
        share = 0.0
        for key in worker.running:
            step = self._step(key)
            if step.fills and step.image not in LIGHT_IMAGES:
                pace = worker.pace_by_run.get(key, 100) / 100
                share += step.size.cores * pace / CORES
        return ADDED * share

    def _work(self, worker: SimulatedWorker) -> None:
        for key in list(worker.running):
            if not self._step(key).fills:
                continue
            pace = worker.pace_by_run.get(key, 100) / 100
            left = self._left_by_run.get(key.task, TASK_SECONDS) - pace * REPORT_SECONDS
            self._left_by_run[key.task] = left
            if left <= 0:
                worker.end(key, RunEnd.SUCCEEDED)
                self.done += 1

    def _step(self, key):
        return self.world.scheduler.job_table.entry_by_id[key.task.job].job.steps[
            key.task.step
        ]
