"""What tasks of a job class really take: learned from lagged usage, and forgotten.

Declared sizes and run times are off by several times either way. What is reserved
is the larger of what was declared and a high percentile of what earlier tasks of
the class took, so that a VM's commitments cover what really runs on it.
"""

from collections import deque
from dataclasses import dataclass, field
from math import ceil

from wagtailcleat.ids import TeamName
from wagtailcleat.resources import Resources

PERCENTILE = 0.9
MIN_SAMPLES = 3
MAX_SAMPLES = 50
"""A class is judged by its last tasks alone: so it forgets."""
MAX_SIZE_FACTOR = 5.0
"""What is learned never exceeds the declared size so many times: a task that takes
all it is given would otherwise grow from one attempt to the next."""
MAX_CLASSES = 2_000


@dataclass(frozen=True)
class Sample:
    """What one ended attempt took at its peak, and how long it ran."""

    used: Resources
    run_seconds: float


@dataclass
class UsageEstimates:
    """The latest samples of each job class of each team."""

    samples_by_class: dict[tuple[TeamName, str], deque[Sample]] = field(
        default_factory=dict
    )

    def add(self, team: TeamName, job_class: str, sample: Sample) -> None:
        """Take in what an attempt took; the class least lately seen is dropped."""
        key = (team, job_class)
        samples = self.samples_by_class.pop(key, None) or deque(maxlen=MAX_SAMPLES)
        samples.append(sample)
        self.samples_by_class[key] = samples
        if len(self.samples_by_class) > MAX_CLASSES:
            del self.samples_by_class[next(iter(self.samples_by_class))]

    def estimate_size(
        self, team: TeamName, job_class: str, declared: Resources
    ) -> Resources:
        """Return what to reserve: the larger of declared and learned."""
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
        """Return how long a task will likely run: declared until there are samples."""
        samples = self.samples_by_class.get((team, job_class), ())
        if len(samples) < MIN_SAMPLES:
            return declared
        return _high_percentile([s.run_seconds for s in samples])


def _high_percentile(values: list[float] | list[int]) -> float:
    ordered = sorted(values)
    return float(ordered[min(len(ordered) - 1, int(len(ordered) * PERCENTILE))])
