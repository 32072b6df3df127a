"""Run times of tasks, learned from the runs of their step and of their queue.

A submitter's estimate may be off by a factor of several. What a step's tasks take is
predicted from three sources, each with a variance: the estimate, corrected by how far
the queue's estimates have been off; the run times of the queue's other steps; and the
runs of the step itself, which are alike. All values are logarithms of seconds, so that
errors are factors. A queue whose estimates are good keeps them almost unchanged.

The `Scheduler` passes the progress and the ends of runs; `ranking` reads the prediction
from `JobEntry.expected_seconds`.
"""

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median
from typing import NamedTuple

import msgspec

from wagtailcleat.scheduling.job_entry import JobEntry, Task
from wagtailcleat.scheduling.models import Job, Step
from wagtailcleat.scheduling.vms import HostedRun

PERCENT = 100
MIN_GAINED_PERCENT = 20
"""Progress from which a run tells its run time: percentages are whole numbers."""
MIN_SECONDS = 0.01
MAX_SECONDS = 86_400.0
"""Bounds of a run time; an estimate outside of them counts as the nearest one."""
SAMPLES_PER_QUEUE = 40
"""Steps that a queue's figures are averaged over; older ones fade."""
PRIOR_STEPS = 3
"""Number of steps that the initial variances weigh as much as."""
INITIAL_ERROR_VARIANCE = 0.1
"""Variance of an estimate's error before any run: a factor of 1.4."""
INITIAL_SPREAD_VARIANCE = 1.0
"""Variance of run times within a queue before any run: they say nothing."""
MIN_VARIANCE = 0.01
WITHIN_STEP_VARIANCE = 0.06
"""Variance of the run times of one step, with what VMs and neighbours add."""
SAMPLES_PER_STEP = 3
"""Runs after which a step counts in its queue's figures."""
MAX_QUEUES = 200
"""Queues whose figures are kept; the one that was used longest ago is dropped."""


class StoredQueue(msgspec.Struct, array_like=True):
    """A queue's figures as they are stored for the next leader."""

    queue: str
    steps: float
    mean: float
    spread: float
    bias: float
    error: float


class StoredRunTimes(msgspec.Struct, array_like=True):
    """What a leader stores for the next one."""

    queues: list[StoredQueue] = []


class LearntStep(NamedTuple):
    """What was learned from a step whose first runs have ended, for the log."""

    job: str
    step: int
    queue: str
    image: str
    estimate: float
    """Seconds, as the submitter estimated them."""
    predicted: float
    """Seconds, as predicted before any run of the step."""
    seconds: float
    """Median of the runs."""

    def fields(self) -> dict[str, str | float]:
        """Return the fields of the log line."""
        return {
            "job": self.job,
            "step": self.step,
            "queue": self.queue,
            "image": self.image,
            "estimate": round(self.estimate, 3),
            "predicted": round(self.predicted, 3),
            "seconds": round(self.seconds, 3),
        }


@dataclass
class QueueTimes:
    """Means and variances of a queue's run times and of its estimates' errors."""

    steps: float = 0.0
    mean: float = 0.0
    """Mean logarithm of the run times."""
    spread: float = INITIAL_SPREAD_VARIANCE
    """Variance of these logarithms."""
    bias: float = 0.0
    """Mean logarithm of run time by estimate."""
    error: float = INITIAL_ERROR_VARIANCE
    """Variance of these logarithms."""

    def add(self, seconds: float, estimate: float) -> None:
        """Include a step's run time and its estimate, both as logarithms."""
        count = min(self.steps, SAMPLES_PER_QUEUE)
        weight = 1 / (count + 1)
        damped = 1 / (count + 1 + PRIOR_STEPS)
        if count:
            # The first run time is the mean, and says nothing about the spread.
            off = seconds - self.mean
            self.spread += damped * ((1 - weight) * off * off - self.spread)
        self.mean += weight * (seconds - self.mean)
        off = seconds - estimate - self.bias
        self.error += damped * (off * off - self.error)
        # The bias starts at 0, as if estimates had been right before.
        self.bias += damped * off
        self.steps += 1

    def predict(self, estimate: float) -> tuple[float, float]:
        """Return the mean and variance of a step's run time, as logarithms."""
        corrected = estimate + self.bias
        if not self.steps:
            return corrected, self.error
        by_estimate = 1 / max(MIN_VARIANCE, self.error)
        by_queue = 1 / max(MIN_VARIANCE, self.spread)
        precision = by_estimate + by_queue
        mean = (by_estimate * corrected + by_queue * self.mean) / precision
        return mean, 1 / precision


class RunTimes:
    """Predicts the run times of the tasks of open jobs, and learns from their runs."""

    def __init__(self, *, enabled: bool = True) -> None:
        """Start without knowledge; if not `enabled`, estimates stay as they are."""
        self._enabled = enabled
        self._times_by_queue: dict[str, QueueTimes] = {}
        self._changed_queues: set[str] = set()
        self._learnt: list[LearntStep] = []
        self.error_by_predictor: defaultdict[str, float] = defaultdict(float)
        """Sums of the errors of `estimate` and `prediction`, as natural logarithms.

        `steps` has the number of steps that they are sums of.
        """

    def __repr__(self) -> str:
        """Show the number of queues."""
        return f"<RunTimes of {len(self._times_by_queue)} queues>"

    def observe_progress(
        self, entry: JobEntry, hosted: HostedRun, *, slowdown: float = 1.0
    ) -> None:
        """Learn from the progress of a run that was just measured.

        Parameters: `slowdown` is how many times as long tasks take where it runs.
        """
        seconds = hosted.worked_seconds / slowdown
        self._observe(entry, hosted, hosted.percent, seconds)

    def observe_success(
        self, task: Task, hosted: HostedRun, now: float, *, slowdown: float = 1.0
    ) -> None:
        """Learn from a run that has succeeded, by a report at `now`.

        Parameters: `slowdown` as in `observe_progress`.
        """
        if not hosted.listed and task.checkpoint:
            # How much of the task was left is not known.
            return
        seconds = hosted.worked_seconds + hosted.work_share * (
            now - hosted.progressed_at
        )
        self._observe(task.entry, hosted, PERCENT, seconds / slowdown)

    def _observe(
        self, entry: JobEntry, hosted: HostedRun, percent: int, seconds: float
    ) -> None:
        step = hosted.step
        gained = percent - hosted.first_percent
        if not self._enabled or gained < MIN_GAINED_PERCENT or seconds <= 0:
            return
        if step.long_running or step.gang:
            return
        key = hosted.key
        samples = entry.run_samples_by_step.setdefault(key.task.step, {})
        samples[key] = _log_seconds(seconds * PERCENT / gained)
        self._predict_step(entry, key.task.step)
        is_counted = key.task.step in entry.counted_steps
        if not is_counted and len(samples) >= min(SAMPLES_PER_STEP, step.count):
            entry.counted_steps.add(key.task.step)
            self._count_step(entry, key.task.step)

    def _count_step(self, entry: JobEntry, number: int) -> None:
        job, step = entry.job, entry.job.steps[number]
        estimate = _log_seconds(step.estimate_seconds)
        seconds = median(entry.run_samples_by_step[number].values())
        times = self._times(job.queue)
        predicted, _ = times.predict(estimate)
        times.add(seconds, estimate)
        self._changed_queues.add(job.queue)
        self.error_by_predictor["steps"] += 1
        self.error_by_predictor["estimate"] += abs(seconds - estimate)
        self.error_by_predictor["prediction"] += abs(seconds - predicted)
        self._learnt.append(
            LearntStep(
                job.id,
                number,
                job.queue,
                step.image,
                step.estimate_seconds,
                math.exp(predicted),
                math.exp(seconds),
            )
        )

    def _times(self, queue: str) -> QueueTimes:
        times = self._times_by_queue.pop(queue, None) or QueueTimes()
        self._times_by_queue[queue] = times
        if len(self._times_by_queue) > MAX_QUEUES:
            del self._times_by_queue[next(iter(self._times_by_queue))]
        return times

    def predict(self, entry: JobEntry) -> None:
        """Set what the tasks of each of a job's steps are expected to take."""
        if self._enabled:
            for number in range(len(entry.job.steps)):
                self._predict_step(entry, number)

    def refresh(self, entries: Iterable[JobEntry]) -> None:
        """Predict anew for the jobs of the queues of which something was learned."""
        if not self._changed_queues:
            return
        changed, self._changed_queues = self._changed_queues, set()
        for entry in entries:
            if entry.job.queue in changed:
                self.predict(entry)

    def _predict_step(self, entry: JobEntry, number: int) -> None:
        step = entry.job.steps[number]
        if step.long_running or step.gang:
            return
        mean, variance = self._predict_new(entry.job, step)
        samples = entry.run_samples_by_step.get(number)
        if samples:
            own_variance = max(MIN_VARIANCE, WITHIN_STEP_VARIANCE / len(samples))
            weight = variance / (variance + own_variance)
            mean += weight * (median(samples.values()) - mean)
        entry.expect_seconds(number, math.exp(mean))

    def _predict_new(self, job: Job, step: Step) -> tuple[float, float]:
        times = self._times_by_queue.get(job.queue, NO_TIMES)
        return times.predict(_log_seconds(step.estimate_seconds))

    def take_learnt(self) -> list[LearntStep]:
        """Return what was learned since the last call, for the log."""
        learnt, self._learnt = self._learnt, []
        return learnt

    def export(self) -> StoredRunTimes:
        """Return the queues' figures for the next leader."""
        return StoredRunTimes(
            [
                StoredQueue(name, t.steps, t.mean, t.spread, t.bias, t.error)
                for name, t in self._times_by_queue.items()
            ]
        )

    def restore(self, stored: StoredRunTimes) -> None:
        """Take the figures of an earlier leader, unless this one has its own."""
        for kept in stored.queues[-MAX_QUEUES:]:
            figures = (kept.steps, kept.mean, kept.spread, kept.bias, kept.error)
            if kept.queue in self._times_by_queue or not _is_sound(figures):
                continue
            self._times_by_queue[kept.queue] = QueueTimes(*figures)
            self._changed_queues.add(kept.queue)


NO_TIMES = QueueTimes()


def _log_seconds(seconds: float) -> float:
    if not seconds > 0:
        # A missing or negative estimate says nothing; a second is the default.
        seconds = 1.0
    return math.log(min(MAX_SECONDS, max(MIN_SECONDS, seconds)))


def _is_sound(figures: tuple[float, ...]) -> bool:
    """Return whether run times within their bounds may have given these figures."""
    steps, mean, spread, bias, error = figures
    least, most = math.log(MIN_SECONDS), math.log(MAX_SECONDS)
    largest_error = most - least
    return (
        0 <= steps < math.inf
        and least <= mean <= most
        and abs(bias) <= largest_error
        and 0 <= spread <= largest_error**2
        and 0 <= error <= (2 * largest_error) ** 2
    )
