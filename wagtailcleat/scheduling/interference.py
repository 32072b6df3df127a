"""What tasks that fill add to the load of tasks that serve, learnt from reports.

A serving task reports the tail latency of its users. Its load is that latency as a
share of its target, and grows without limit as its processors become busy, like the
waiting time of a queue. What is learnt is therefore its utilization,
`1 - idle / load`, in which `idle` is the load of a task without users. Utilization is
a sum: what the tasks of one serving job have by themselves, which swings in time alike
wherever they run, and what each filling image adds beside that serving image, in
proportion to the cores that it uses.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from wagtailcleat.ids import JobId

FIRST_IDLE = 0.22
"""Load of a serving task without users, before any was reported."""
IDLE_BOUNDS = (0.02, 0.5)
QUIET_SHARE = 0.8
"""Idle load as a share of the least that was reported."""
MAX_UTILIZATION = 0.98
SATURATED = 0.9
"""Utilization from which a report says little: latencies of overload are arbitrary."""
FIRST_OWN = 0.42
"""Utilization of a serving task by itself, before any was reported."""
MAX_BASE = 0.65
"""Bound: a VM that is slow by itself must not spoil what is known of an image."""
BASE_WEIGHT = 0.02
"""Weight of one report in an image's mean utilization."""
FIRST_LEVEL_VARIANCE = 0.03
FIRST_SLOPE_VARIANCE = 0.02
"""Per second squared."""
FORGET_SECONDS = 30.0
"""How long the load of a serving job that reports nothing is kept."""
SLOPE_SECONDS = 3.0
"""Time constant with which a swing in load is taken to end."""
SLOPE_NOISE = 0.015
"""Variance that the slope gains in a second."""
LEAST_NOISE = 0.002
"""Variance of a report's utilization: tail latencies are whole milliseconds."""
MOST_NOISE = 0.1
NOISE_WEIGHT = 0.03
"""Weight of one report in the noise of a serving job's reports."""
OUTLIER = 3.0
"""Standard deviations to which an error is cut: one slow VM must not teach much."""
FIRST_ADDED = 0.5
"""Utilization that an unknown filling image adds on a VM full of it."""
FIRST_VARIANCE = 1.0
LEAST_VARIANCE = 0.02
"""Keeps estimates open to change: what an image adds may differ within seconds."""
RESTORED_VARIANCE = 0.1
"""Least variance of what an earlier leader learnt: it may have changed since."""
KNOWN_VARIANCE = 0.3
"""Below this a pair of images counts as known."""
MAX_ADDED = 6.0
LEAST_SHARE = 0.003
"""Share of a VM's cores below which a filling image teaches nothing."""

ImagePair = tuple[str, str]
"""A serving image and a filling image."""


@dataclass
class Estimate:
    """A value learnt from reports, and its variance."""

    mean: float
    variance: float

    @property
    def known(self) -> bool:
        """Whether reports have told it."""
        return self.variance <= KNOWN_VARIANCE

    @property
    def cautious(self) -> float:
        """The mean, and half a deviation more until it is known as well as can be."""
        return self.mean + 0.5 * math.sqrt(max(0.0, self.variance - LEAST_VARIANCE))


UNKNOWN = Estimate(FIRST_ADDED, FIRST_VARIANCE)


@dataclass
class OwnLoad:
    """Utilization of a serving job's tasks by themselves: a level and its slope.

    A Kalman filter with a slope that decays; `covariance` holds the variance of the
    level, the covariance, and the variance of the slope.
    """

    level: float
    at: float
    """Seconds at which the level held."""
    slope: float = 0.0
    """Per second."""
    covariance: tuple[float, float, float] = (
        FIRST_LEVEL_VARIANCE,
        0.0,
        FIRST_SLOPE_VARIANCE,
    )
    noise: float = LEAST_NOISE
    """Variance of the reports, as observed."""

    def expected(self, now: float) -> float:
        """Return the level to expect at a time after the last report."""
        return self.level + _slope_seconds(now - self.at) * self.slope

    def advance(self, now: float) -> None:
        """Move on to the present."""
        seconds = now - self.at
        if seconds <= 0:
            return
        lasting = math.exp(-seconds / SLOPE_SECONDS)
        lever = _slope_seconds(seconds)
        level, both, slope = self.covariance
        self.level += lever * self.slope
        self.slope *= lasting
        self.at = now
        self.covariance = (
            level + 2 * lever * both + lever**2 * slope + SLOPE_NOISE * seconds**3 / 3,
            lasting * (both + lever * slope) + SLOPE_NOISE * seconds**2 / 2,
            lasting**2 * slope + SLOPE_NOISE * seconds,
        )

    def correct(self, error: float, variance: float) -> None:
        """Take in a prediction's error, whose variance is given."""
        level, both, slope = self.covariance
        level_gain, slope_gain = level / variance, both / variance
        self.level = min(MAX_UTILIZATION, max(0.0, self.level + level_gain * error))
        self.slope += slope_gain * error
        self.covariance = (
            level * (1 - level_gain),
            both * (1 - level_gain),
            slope - slope_gain * both,
        )


def _slope_seconds(seconds: float) -> float:
    return SLOPE_SECONDS * (1 - math.exp(-max(0.0, seconds) / SLOPE_SECONDS))


class Learnt(msgspec.Struct, frozen=True, array_like=True):
    """What outlasts a leader; the loads of serving jobs are told anew in seconds."""

    added: list[tuple[str, str, float, float]] = []
    """Rows of serving image, filling image, mean and variance."""
    images: list[tuple[str, float, float]] = []
    """Rows of serving image, idle load and mean utilization by itself."""


@dataclass(frozen=True)
class Reading:
    """Load of a serving job's tasks on one VM, as reported at a time."""

    job: JobId
    image: str
    load: float
    """Tail latency as a share of the target."""
    share_by_image: Mapping[str, float]
    """Share of the VM's cores that each filling image uses beside them."""
    at: float


@dataclass
class Interference:
    """All that was learnt, by serving job, image and pair of images."""

    added_by_pair: dict[ImagePair, Estimate] = field(default_factory=dict)
    own_by_job: dict[JobId, OwnLoad] = field(default_factory=dict)
    base_by_image: dict[str, float] = field(default_factory=dict)
    """Mean utilization of each serving image by itself."""
    idle_by_image: dict[str, float] = field(default_factory=dict)

    def idle(self, image: str) -> float:
        """Return the load of a serving image without users."""
        return self.idle_by_image.get(image, FIRST_IDLE)

    def utilization(self, image: str, load: float) -> float:
        """Return the utilization of a serving image at a load."""
        if load <= 0:
            return 0.0
        return min(MAX_UTILIZATION, max(0.0, 1 - self.idle(image) / load))

    def base(self, image: str) -> float:
        """Return the mean utilization of a serving image by itself."""
        return self.base_by_image.get(image, FIRST_OWN)

    def own(self, job: JobId, image: str, now: float) -> float:
        """Return the utilization to expect of a serving job's tasks by themselves."""
        known = self.own_by_job.get(job)
        return known.expected(now) if known else self.base(image)

    def added(self, serving: str, filling: str) -> Estimate:
        """Return what a VM full of a filling image adds to a serving image."""
        return self.added_by_pair.get((serving, filling), UNKNOWN)

    def adds(self, serving: str, share_by_image: Mapping[str, float]) -> float:
        """Return what filling images with given shares of a VM's cores add."""
        return sum(
            self.added(serving, filling).mean * share
            for filling, share in share_by_image.items()
        )

    def learn(self, reading: Reading) -> float:
        """Take in a reading; return by how much it exceeds what was expected."""
        image = reading.image
        self._learn_idle(image, reading.load)
        seen = self.utilization(image, reading.load)
        own = self.own_by_job.get(reading.job)
        if own is None:
            own = OwnLoad(self.base(image), reading.at)
            self.own_by_job[reading.job] = own
        own.advance(reading.at)
        parts = [
            (self._estimate(image, filling), share)
            for filling, share in reading.share_by_image.items()
            if share >= LEAST_SHARE
        ]
        error = seen - own.level - sum(part.mean * share for part, share in parts)
        if seen >= SATURATED and (not parts or error < 0):
            return error
        unsure = own.covariance[0] + sum(
            part.variance * share**2 for part, share in parts
        )
        variance = unsure + own.noise
        observed = min(MOST_NOISE, max(LEAST_NOISE, error**2 - unsure))
        own.noise += NOISE_WEIGHT * (observed - own.noise)
        error = math.copysign(min(abs(error), OUTLIER * math.sqrt(variance)), error)
        own.correct(error, variance)
        for part, share in parts:
            gain = part.variance * share / variance
            part.mean = min(MAX_ADDED, max(0.0, part.mean + gain * error))
            part.variance = max(LEAST_VARIANCE, part.variance * (1 - gain * share))
        base = self.base(image) + BASE_WEIGHT * (own.level - self.base(image))
        self.base_by_image[image] = min(MAX_BASE, base)
        return error

    def forget_unreported(self, now: float) -> None:
        """Drop what is kept of serving jobs that have not reported for long."""
        for job, own in list(self.own_by_job.items()):
            if now - own.at > FORGET_SECONDS:
                del self.own_by_job[job]

    def learnt(self) -> Learnt:
        """Return what the next leader should know."""
        added = [
            (serving, filling, round(part.mean, 3), round(part.variance, 3))
            for (serving, filling), part in self.added_by_pair.items()
        ]
        images = [
            (image, round(self.idle(image), 4), round(base, 3))
            for image, base in self.base_by_image.items()
        ]
        return Learnt(added, images)

    def restore(self, learnt: Learnt) -> None:
        """Take over what an earlier leader learnt, where nothing is known yet."""
        for serving, filling, mean, variance in learnt.added:
            variance = max(variance, RESTORED_VARIANCE)
            known = self.added_by_pair.get((serving, filling), UNKNOWN)
            if variance < known.variance:
                self.added_by_pair[serving, filling] = Estimate(mean, variance)
        for image, idle, base in learnt.images:
            self.idle_by_image[image] = min(self.idle(image), idle)
            self.base_by_image.setdefault(image, base)

    def _estimate(self, serving: str, filling: str) -> Estimate:
        return self.added_by_pair.setdefault(
            (serving, filling), Estimate(FIRST_ADDED, FIRST_VARIANCE)
        )

    def _learn_idle(self, image: str, load: float) -> None:
        least, most = IDLE_BOUNDS
        seen = min(most, max(least, load * QUIET_SHARE))
        self.idle_by_image[image] = min(self.idle(image), seen)
