"""Estimates of what tasks of a job class use, from the usage of earlier tasks.

Declared sizes and run times are wrong by several times in either direction. The
placer reserves the larger of the declared size and a high percentile of what earlier
tasks of the class used, so that a VM's reservations cover what really runs on it.
Usage is reported with a lag.
"""

from collections import deque
from dataclasses import dataclass, field
from math import ceil

from wagtailcleat.ids import TeamName
from wagtailcleat.resources import Resources

PERCENTILE = 0.9
MIN_SAMPLES = 3
MAX_SAMPLES = 50
"""Only the latest tasks of a class count, so that old usage is forgotten."""
MAX_SIZE_FACTOR = 5.0
"""Limit of an estimate as a multiple of the declared size. Without it, the estimate
for a task that uses all it is given would grow with each attempt."""
MAX_CLASSES = 2_000


@dataclass(frozen=True)
class Sample:
    """The peak usage of one ended attempt, and how long it ran."""

    used: Resources
    run_seconds: float


@dataclass
class UsageEstimates:
    """The latest samples of each job class of each team."""

    samples_by_class: dict[tuple[TeamName, str], deque[Sample]] = field(
        default_factory=dict
    )

    def add(self, team: TeamName, job_class: str, sample: Sample) -> None:
        """Add a sample; beyond `MAX_CLASSES`, drop the least recently used class."""
        key = (team, job_class)
        samples = self.samples_by_class.pop(key, None) or deque(maxlen=MAX_SAMPLES)
        samples.append(sample)
        self.samples_by_class[key] = samples
        if len(self.samples_by_class) > MAX_CLASSES:
            del self.samples_by_class[next(iter(self.samples_by_class))]

    def estimate_size(
        self, team: TeamName, job_class: str, declared: Resources
    ) -> Resources:
        """Return the larger of the declared size and the estimate, per resource.

        Return the declared size while there are fewer than `MIN_SAMPLES` samples.
        """
        samples = self.samples_by_class.get((team, job_class), ())
        if len(samples) < MIN_SAMPLES:
            return declared
        cores = _high_percentile([s.used.cores for s in samples])
        memory = _high_percentile([s.used.memory_mb for s in samples])
        return Resources(
            min(max(cores, declared.cores), declared.cores * MAX_SIZE_FACTOR),
            ceil(
                min(
                    max(memory, declared.memory_mb),
                    declared.memory_mb * MAX_SIZE_FACTOR,
                )
            ),
            declared.accelerators,
        )

    def estimate_run_seconds(
        self, team: TeamName, job_class: str, declared: float
    ) -> float:
        """Return a high estimate of the run time in seconds.

        Return the declared one while there are fewer than `MIN_SAMPLES` samples.
        """
        samples = self.samples_by_class.get((team, job_class), ())
        if len(samples) < MIN_SAMPLES:
            return declared
        return _high_percentile([s.run_seconds for s in samples])


def _high_percentile(values: list[float] | list[int]) -> float:
    ordered = sorted(values)
    return float(ordered[min(len(ordered) - 1, int(len(ordered) * PERCENTILE))])
