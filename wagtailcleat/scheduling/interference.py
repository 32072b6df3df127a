"""A model of how filling tasks slow serving tasks, learned from reports.

`Sharing` updates it with each report and asks it for estimates. A serving task reports
its tail latency. Its load is that latency as a share of its target, and grows without
limit as its processors become busy, like the waiting time of a queue. The model
therefore uses the utilization `1 - idle / load`, where `idle` is the load of a task
without requests. The utilization is a sum of two parts: that of the serving job's tasks
by themselves, which varies over time equally wherever they run, and what each filling
image adds to that serving image, in proportion to the cores that it uses.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from wagtailcleat.ids import JobId

INITIAL_IDLE_LOAD = 0.22
"""Idle load of a serving image before its first report."""
IDLE_LOAD_BOUNDS = (0.02, 0.5)
"""Least and greatest idle load."""
IDLE_SHARE_OF_MIN_LOAD = 0.8
"""Idle load as a share of the least load that was reported."""
MAX_UTILIZATION = 0.98
SATURATED_UTILIZATION = 0.9
"""Utilization from which a report says little: overload latencies are arbitrary."""
INITIAL_OWN_UTILIZATION = 0.42
"""Utilization of a serving task by itself, before the first report."""
MAX_BASE_UTILIZATION = 0.65
"""Upper limit: one slow VM must not distort what is known of an image."""
BASE_WEIGHT = 0.02
"""Weight of one report in an image's mean utilization by itself."""
INITIAL_LEVEL_VARIANCE = 0.03
INITIAL_SLOPE_VARIANCE = 0.02
"""Per second squared."""
OWN_RETENTION_SECONDS = 30.0
"""How long the utilization of a serving job is kept without reports."""
SLOPE_DECAY_SECONDS = 3.0
"""Time constant with which the slope of the utilization decays."""
SLOPE_NOISE_PER_SECOND = 0.015
"""Variance that is added to the slope per second."""
MIN_NOISE = 0.002
"""Least variance of a reported utilization: latencies are whole milliseconds."""
MAX_NOISE = 0.1
"""Greatest variance of a reported utilization."""
NOISE_WEIGHT = 0.03
"""Weight of one report in the noise variance of a serving job's reports."""
MAX_ERROR_DEVIATIONS = 3.0
"""Standard deviations to which an error is limited.

One slow VM must not change the estimates much.
"""
INITIAL_ADDED = 0.5
"""Utilization that an unknown filling image is assumed to add on a VM full of it."""
INITIAL_VARIANCE = 1.0
"""Variance of that assumption."""
MIN_VARIANCE = 0.02
"""Keeps estimates adaptable: what an image adds may change within seconds."""
MIN_RESTORED_VARIANCE = 0.1
"""Least variance of an earlier leader's estimate: it may have changed since."""
MAX_KNOWN_VARIANCE = 0.3
"""Variance up to which the estimate of a pair of images counts as known."""
MAX_ADDED = 6.0
"""Greatest utilization that a filling image can add on a VM full of it."""
MIN_SHARE = 0.003
"""Share of a VM's cores below which nothing is learned about a filling image."""

ImagePair = tuple[str, str]
"""A serving image and a filling image."""


@dataclass
class Estimate:
    """A value estimated from reports, and its variance."""

    mean: float
    variance: float

    @property
    def is_known(self) -> bool:
        """Whether reports have made the estimate reliable."""
        return self.variance <= MAX_KNOWN_VARIANCE

    @property
    def conservative(self) -> float:
        """The mean plus half the deviation of the variance above `MIN_VARIANCE`."""
        return self.mean + 0.5 * math.sqrt(max(0.0, self.variance - MIN_VARIANCE))


UNKNOWN = Estimate(INITIAL_ADDED, INITIAL_VARIANCE)


@dataclass
class OwnUtilization:
    """Utilization of a serving job's tasks by themselves.

    A Kalman filter with a level and a decaying slope; `covariance` holds the variance
    of the level, the covariance, and the variance of the slope.
    """

    level: float
    updated_at: float
    """Time to which the level applies, in seconds."""
    slope: float = 0.0
    """Per second."""
    covariance: tuple[float, float, float] = (
        INITIAL_LEVEL_VARIANCE,
        0.0,
        INITIAL_SLOPE_VARIANCE,
    )
    noise: float = MIN_NOISE
    """Observed variance of the reports."""

    def expected(self, now: float) -> float:
        """Return the predicted level at `now`."""
        return self.level + _effective_slope_seconds(now - self.updated_at) * self.slope

    def advance(self, now: float) -> None:
        """Advance the filter to `now`: its prediction step."""
        seconds = now - self.updated_at
        if seconds <= 0:
            return
        decay = math.exp(-seconds / SLOPE_DECAY_SECONDS)
        effective = _effective_slope_seconds(seconds)
        level, cross, slope = self.covariance
        self.level += effective * self.slope
        self.slope *= decay
        self.updated_at = now
        self.covariance = (
            level
            + 2 * effective * cross
            + effective**2 * slope
            + SLOPE_NOISE_PER_SECOND * seconds**3 / 3,
            decay * (cross + effective * slope)
            + SLOPE_NOISE_PER_SECOND * seconds**2 / 2,
            decay**2 * slope + SLOPE_NOISE_PER_SECOND * seconds,
        )

    def correct(self, error: float, variance: float) -> None:
        """Correct the filter by a prediction error and the variance of that error."""
        level, cross, slope = self.covariance
        level_gain, slope_gain = level / variance, cross / variance
        self.level = min(MAX_UTILIZATION, max(0.0, self.level + level_gain * error))
        self.slope += slope_gain * error
        self.covariance = (
            level * (1 - level_gain),
            cross * (1 - level_gain),
            slope - slope_gain * cross,
        )


def _effective_slope_seconds(seconds: float) -> float:
    return SLOPE_DECAY_SECONDS * (
        1 - math.exp(-max(0.0, seconds) / SLOPE_DECAY_SECONDS)
    )


class StoredEstimates(msgspec.Struct, frozen=True, array_like=True):
    """The part of the model that is stored for the next leader.

    The utilization of serving jobs is not stored: reports restore it within seconds.
    """

    added: list[tuple[str, str, float, float]] = []
    """Rows of serving image, filling image, mean and variance."""
    images: list[tuple[str, float, float]] = []
    """Rows of serving image, idle load and mean utilization by itself."""


@dataclass(frozen=True)
class Reading:
    """Reported load of a serving job's tasks on one VM."""

    job: JobId
    image: str
    load: float
    """Tail latency as a share of the target."""
    share_by_image: Mapping[str, float]
    """Share of the VM's cores that each filling image uses beside them."""
    at: float
    """Time of the report, in seconds."""


@dataclass
class Interference:
    """The estimates by serving job, image and pair of images."""

    added_by_pair: dict[ImagePair, Estimate] = field(default_factory=dict)
    """Utilization that a VM full of a filling image adds to a serving image."""
    own_by_job: dict[JobId, OwnUtilization] = field(default_factory=dict)
    base_by_image: dict[str, float] = field(default_factory=dict)
    """Mean utilization of each serving image by itself."""
    idle_by_image: dict[str, float] = field(default_factory=dict)

    def idle(self, image: str) -> float:
        """Return the load of a serving image without requests."""
        return self.idle_by_image.get(image, INITIAL_IDLE_LOAD)

    def utilization(self, image: str, load: float) -> float:
        """Return the utilization of a serving image that corresponds to a load."""
        if load <= 0:
            return 0.0
        return min(MAX_UTILIZATION, max(0.0, 1 - self.idle(image) / load))

    def base(self, image: str) -> float:
        """Return the mean utilization of a serving image by itself."""
        return self.base_by_image.get(image, INITIAL_OWN_UTILIZATION)

    def expected_own(self, job: JobId, image: str, now: float) -> float:
        """Return the expected utilization of a serving job's tasks by themselves."""
        known = self.own_by_job.get(job)
        return known.expected(now) if known else self.base(image)

    def estimate(self, serving: str, filling: str) -> Estimate:
        """Return what a VM full of a filling image adds to a serving image."""
        return self.added_by_pair.get((serving, filling), UNKNOWN)

    def total_added(self, serving: str, share_by_image: Mapping[str, float]) -> float:
        """Return the utilization that filling images with these shares of a VM add."""
        return sum(
            self.estimate(serving, filling).mean * share
            for filling, share in share_by_image.items()
        )

    def learn(self, reading: Reading) -> float:
        """Update the model with a reading; return its excess over the prediction."""
        image = reading.image
        self._learn_idle(image, reading.load)
        observed = self.utilization(image, reading.load)
        own = self.own_by_job.get(reading.job)
        if own is None:
            own = OwnUtilization(self.base(image), reading.at)
            self.own_by_job[reading.job] = own
        own.advance(reading.at)
        estimates = [
            (self._estimate(image, filling), share)
            for filling, share in reading.share_by_image.items()
            if share >= MIN_SHARE
        ]
        error = (
            observed
            - own.level
            - sum(estimate.mean * share for estimate, share in estimates)
        )
        if observed >= SATURATED_UTILIZATION and (not estimates or error < 0):
            return error
        prediction_variance = own.covariance[0] + sum(
            estimate.variance * share**2 for estimate, share in estimates
        )
        variance = prediction_variance + own.noise
        observed_noise = min(MAX_NOISE, max(MIN_NOISE, error**2 - prediction_variance))
        own.noise += NOISE_WEIGHT * (observed_noise - own.noise)
        error = math.copysign(
            min(abs(error), MAX_ERROR_DEVIATIONS * math.sqrt(variance)), error
        )
        own.correct(error, variance)
        for estimate, share in estimates:
            gain = estimate.variance * share / variance
            estimate.mean = min(MAX_ADDED, max(0.0, estimate.mean + gain * error))
            estimate.variance = max(
                MIN_VARIANCE, estimate.variance * (1 - gain * share)
            )
        base = self.base(image) + BASE_WEIGHT * (own.level - self.base(image))
        self.base_by_image[image] = min(MAX_BASE_UTILIZATION, base)
        return error

    def forget_unreported(self, now: float) -> None:
        """Drop the utilization of serving jobs without recent reports."""
        for job, own in list(self.own_by_job.items()):
            if now - own.updated_at > OWN_RETENTION_SECONDS:
                del self.own_by_job[job]

    def export(self) -> StoredEstimates:
        """Return the part of the model to store for the next leader."""
        added = [
            (serving, filling, round(estimate.mean, 3), round(estimate.variance, 3))
            for (serving, filling), estimate in self.added_by_pair.items()
        ]
        images = [
            (image, round(self.idle(image), 4), round(base, 3))
            for image, base in self.base_by_image.items()
        ]
        return StoredEstimates(added, images)

    def restore(self, stored: StoredEstimates) -> None:
        """Adopt an earlier leader's estimates where they are more certain."""
        for serving, filling, mean, variance in stored.added:
            if not (0 <= mean <= MAX_ADDED and 0 <= variance < math.inf):
                continue
            variance = max(variance, MIN_RESTORED_VARIANCE)
            known = self.added_by_pair.get((serving, filling), UNKNOWN)
            if variance < known.variance:
                self.added_by_pair[serving, filling] = Estimate(mean, variance)
        least, most = IDLE_LOAD_BOUNDS
        for image, idle, base in stored.images:
            if not (least <= idle <= most and 0 <= base <= MAX_BASE_UTILIZATION):
                continue
            self.idle_by_image[image] = min(self.idle(image), idle)
            self.base_by_image.setdefault(image, base)

    def _estimate(self, serving: str, filling: str) -> Estimate:
        return self.added_by_pair.setdefault(
            (serving, filling), Estimate(INITIAL_ADDED, INITIAL_VARIANCE)
        )

    def _learn_idle(self, image: str, load: float) -> None:
        least, most = IDLE_LOAD_BOUNDS
        observed = min(most, max(least, load * IDLE_SHARE_OF_MIN_LOAD))
        self.idle_by_image[image] = min(self.idle(image), observed)
