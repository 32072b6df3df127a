"""What this VM does when batch tasks slow a service down, and what it learns of it.

Interference shows only in lagged usage and in the services' own latencies, so one
step is taken a lag interval: throttle the class of tasks that hurts most, then
evict its largest, then offer less. Each interval also teaches a score for the pair
of service and job class: the slowdown that one used core causes. Reservations read
the scores, so that a pair known to be bad is not made again.
"""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import accumulate
from math import sqrt

from hdrh.histogram import HdrHistogram

from wagtailcleat.ids import AttemptId, ServiceName

MICROSECONDS = 1_000_000
TAIL_SHARE = 0.01
CHANCE_DEVIATIONS = 2.0
MIN_COUNT = 20
NOISE_OF_ONE = 0.8
"""Variance of the relative error of a median, times the answers it is taken from."""
FIRST_VARIANCE = 0.03**2
TOLD_VARIANCE = 0.01**2
DRIFT_VARIANCE = 0.002**2
CHANGE_NOISE = 0.02
"""How far the slowdown is in doubt for each core of use that came or went."""
FORGET_WEIGHT = 0.03
FIRST_SCORE = 0.01
MAX_SCORE = 2.0
CALM_WEIGHT = 0.2
CALM_DOWN_WEIGHT = 0.1
ALLOWED_EXCESS = 0.17
MIN_SHARE = 0.4
LEAST_STEP = 0.4
RELEASE_FACTOR = 1.6
RELEASE_AFTER_CALM = 2
EVICT_AFTER_BREACHES = 2
MIN_OFFER = 0.25
OFFER_STEP = 0.75
IDLE_CORES = 0.5


@dataclass(frozen=True)
class Neighbour:
    """A batch attempt beside the services; `used` is its lagged usage in cores."""

    attempt: AttemptId
    job_class: str
    cores: float
    used: float
    share: float = 1.0
    urgent: bool = False


@dataclass(frozen=True)
class Tail:
    """A service's answers over one interval."""

    count: int
    over_target: int
    median: float

    @property
    def breached(self) -> bool:
        """Tell whether more answers were over the target than chance explains.

        The 99th percentile of some hundred answers is little more than their
        maximum; a control that acts on it evicts for noise.
        """
        expected = self.count * TAIL_SHARE
        limit = expected + CHANCE_DEVIATIONS * sqrt(max(expected, 0.5))
        return self.count >= MIN_COUNT and self.over_target > limit


@dataclass(frozen=True)
class Throttle:
    """Hold an attempt to a share of its cores."""

    attempt: AttemptId
    share: float


@dataclass(frozen=True)
class Evict:
    """Checkpoint and stop an attempt, so that it goes on elsewhere."""

    attempt: AttemptId
    reason: str


Step = Throttle | Evict


class TailWindow:
    """Reads what a histogram recorded since the last look."""

    def __init__(self, histogram: HdrHistogram) -> None:
        """Start from what the histogram holds now."""
        self.histogram = histogram
        self._before = self._counts()

    def look(self, target_seconds: float) -> Tail:
        """Return the answers since the last look."""
        counts = self._counts()
        # The counts only grow at their end as larger values come.
        before = self._before + [0] * (len(counts) - len(self._before))
        new = [now - then for now, then in zip(counts, before, strict=True)]
        self._before = counts
        total = sum(new)
        return Tail(total, self._over(new, target_seconds), self._median(new, total))

    def _counts(self) -> list[int]:
        # Up to the largest value: the rest of the array, most of it, is empty.
        largest = self.histogram.get_max_value()
        last = self.histogram.get_counts_array_index(int(largest))
        return list(self.histogram.counts[: last + 1])

    def _over(self, new: list[int], target_seconds: float) -> int:
        value = int(target_seconds * MICROSECONDS)
        first = self.histogram.get_counts_array_index(value)
        return sum(new[first + 1 :])

    def _median(self, new: list[int], total: int) -> float:
        if not total:
            return 0.0
        middle = bisect_left(list(accumulate(new)), total / 2)
        value: int = self.histogram.get_value_from_index(middle)
        return value / MICROSECONDS


@dataclass
class Interference:
    """The scores and the throttles of one VM; one `step` a lag interval."""

    score_by_pair: dict[tuple[ServiceName, str], float] = field(default_factory=dict)
    share_by_attempt: dict[AttemptId, float] = field(default_factory=dict)
    calm_median_by_service: dict[ServiceName, float] = field(default_factory=dict)
    offer: float = 1.0
    variance_by_pair: dict[tuple[ServiceName, str], float] = field(default_factory=dict)
    throttles: int = 0
    evictions: int = 0
    _breaches: int = 0
    _calm: int = 0
    _last_tail_by_service: dict[ServiceName, Tail] = field(default_factory=dict)
    _last_used_by_class: dict[str, float] = field(default_factory=dict)

    def score(self, service: ServiceName, job_class: str) -> float:
        """Return the slowdown that one core of a job class causes to a service."""
        return self.score_by_pair.get((service, job_class), FIRST_SCORE)

    def excess(
        self, services: Iterable[ServiceName], cores_by_class: Mapping[str, float]
    ) -> float:
        """Return the greatest slowdown foreseen of any service, above 1."""
        return max(
            (
                sum(self.score(s, c) * cores for c, cores in cores_by_class.items())
                for s in services
            ),
            default=0.0,
        )

    def refusal(
        self,
        services: list[ServiceName],
        neighbours: list[Neighbour],
        job_class: str,
        cores: float,
    ) -> str:
        """Return why one more task is not taken beside the services, or nothing."""
        held = _cores_by_class(neighbours)
        if self.offer < 1.0 and held:
            return "this VM offers less: its services are slow"
        known = [s for s in services if (s, job_class) in self.score_by_pair]
        after = held | {job_class: held.get(job_class, 0.0) + cores}
        hurt = [
            s
            for s in known
            if self.excess([s], after) > ALLOWED_EXCESS
            and self.score(s, job_class) > FIRST_SCORE
        ]
        if hurt:
            return f"tasks of class '{job_class}' slow {', '.join(sorted(hurt))} down"
        return ""

    def penalty(self, services: Iterable[ServiceName], job_class: str) -> float:
        """Return the worst score of a job class beside the services."""
        return max((self.score(s, job_class) for s in services), default=0.0)

    def known_penalty(
        self, services: Iterable[ServiceName], job_class: str
    ) -> float | None:
        """Return the worst score of a job class, if any service has one."""
        scores = [
            score
            for s in services
            if (score := self.score_by_pair.get((s, job_class))) is not None
        ]
        return max(scores, default=None)

    def tell(
        self, services: Iterable[ServiceName], job_class: str, score: float
    ) -> None:
        """Take a score learned elsewhere for pairs not known here."""
        for service in services:
            if (service, job_class) not in self.score_by_pair:
                self.score_by_pair[service, job_class] = score
                self.variance_by_pair[service, job_class] = TOLD_VARIANCE

    def step(
        self,
        tail_by_service: Mapping[ServiceName, Tail],
        neighbours: list[Neighbour],
    ) -> list[Step]:
        """Learn from one lag interval, and return what to do now.

        The usage of `neighbours` is a lag old: it stood while the tails of the
        step before this one were measured, and is matched with those.
        """
        self._forget_ended(neighbours)
        self._learn(neighbours)
        self._last_tail_by_service = dict(tail_by_service)
        breached = [name for name, tail in tail_by_service.items() if tail.breached]
        if breached:
            self._calm = 0
            self._breaches += 1
            return self._tighten(breached, neighbours)
        self._breaches = 0
        self._calm += 1
        if self._calm > RELEASE_AFTER_CALM:
            return self._release(list(tail_by_service), neighbours)
        return []

    # ---- learning

    def _learn(self, neighbours: list[Neighbour]) -> None:
        # The usage read now stood at the end of the interval that the last tails
        # come from, the one read before at its start.
        now: dict[str, float] = defaultdict(float)
        for neighbour in neighbours:
            now[neighbour.job_class] += neighbour.used
        before, self._last_used_by_class = self._last_used_by_class, dict(now)
        classes = set(now) | set(before)
        used_by_class = {c: (now.get(c, 0) + before.get(c, 0)) / 2 for c in classes}
        changed = sum(abs(now.get(c, 0) - before.get(c, 0)) / 2 for c in classes)
        doubt = (CHANGE_NOISE * changed) ** 2
        alone = sum(used_by_class.values()) < IDLE_CORES
        for service, tail in self._last_tail_by_service.items():
            if tail.count >= MIN_COUNT:
                self._learn_calm(service, tail.median, alone)
                if not alone:
                    self._learn_scores(service, tail, used_by_class, doubt)
        self._forget_unseen(used_by_class)

    def _learn_calm(self, service: ServiceName, median: float, alone: bool) -> None:
        calm = self.calm_median_by_service.setdefault(service, median)
        weight = CALM_WEIGHT if alone else CALM_DOWN_WEIGHT * (median < calm)
        self.calm_median_by_service[service] = calm + weight * (median - calm)

    def _learn_scores(
        self,
        service: ServiceName,
        tail: Tail,
        used_by_class: Mapping[str, float],
        doubt: float,
    ) -> None:
        # A Kalman filter with one variance a pair: the error of the foreseen
        # slowdown is shared out by used cores and by how little is known of a
        # pair yet, and less of it is believed the fewer answers it comes from.
        observed = tail.median / self.calm_median_by_service[service] - 1
        error = observed - self.excess([service], used_by_class)
        spread = NOISE_OF_ONE / tail.count + doubt
        for job_class, cores in used_by_class.items():
            spread += self._variance(service, job_class) * cores * cores
        for job_class, cores in used_by_class.items():
            pair = (service, job_class)
            variance = self._variance(*pair)
            gain = variance * cores / spread
            score = self.score(*pair) + gain * error
            self.score_by_pair[pair] = min(max(score, 0.0), MAX_SCORE)
            self.variance_by_pair[pair] = variance * (1 - gain * cores)

    def _variance(self, service: ServiceName, job_class: str) -> float:
        known = self.variance_by_pair.get((service, job_class), FIRST_VARIANCE)
        return min(known + DRIFT_VARIANCE, FIRST_VARIANCE)

    def _forget_unseen(self, used_by_class: Mapping[str, float]) -> None:
        # A class that is refused is never measured again. Its score fades, so that
        # it is tried anew some time: what it does shifts with load and releases.
        for pair, score in self.score_by_pair.items():
            if pair[1] not in used_by_class:
                faded = score + FORGET_WEIGHT * (FIRST_SCORE - score)
                self.score_by_pair[pair] = faded
                self.variance_by_pair[pair] = self._variance(*pair)

    # ---- acting

    def _tighten(
        self, breached: list[ServiceName], neighbours: list[Neighbour]
    ) -> list[Step]:
        movable = [n for n in neighbours if not n.urgent] or neighbours
        if not movable:
            return []
        harm_by_class: dict[str, float] = defaultdict(float)
        for n in movable:
            harm = self.penalty(breached, n.job_class) * n.cores * self._share(n)
            harm_by_class[n.job_class] += harm
        worst = max(harm_by_class, key=lambda c: harm_by_class[c])
        of_class = [n for n in movable if n.job_class == worst]
        lowest = all(self._share(n) <= MIN_SHARE for n in of_class)
        if not lowest:
            return self._throttle(of_class, self._next_share(harm_by_class, worst))
        if self._breaches >= EVICT_AFTER_BREACHES:
            return self._evict(of_class, breached)
        return []

    def _next_share(self, harm_by_class: Mapping[str, float], worst: str) -> float:
        # The scores size the step: what is foreseen above the allowed slowdown is
        # taken from the worst class, and at least a little, as a breach was seen.
        above = max(0.0, sum(harm_by_class.values()) - ALLOWED_EXCESS)
        wanted = 1 - above / max(harm_by_class[worst], 1e-6)
        return min(max(wanted, LEAST_STEP), 0.75)

    def _throttle(self, neighbours: list[Neighbour], factor: float) -> list[Step]:
        steps: list[Step] = []
        for neighbour in neighbours:
            share = min(1.0, max(MIN_SHARE, self._share(neighbour) * factor))
            if share != self._share(neighbour):
                self.share_by_attempt[neighbour.attempt] = share
                self.throttles += 1
                steps.append(Throttle(neighbour.attempt, share))
        return steps

    def _evict(
        self, of_class: list[Neighbour], breached: list[ServiceName]
    ) -> list[Step]:
        largest = max(of_class, key=lambda n: n.cores)
        self.evictions += 1
        self._breaches = 0
        if len(of_class) == 1:
            self.offer = max(MIN_OFFER, self.offer * OFFER_STEP)
        return [Evict(largest.attempt, f"it slows {', '.join(breached)} down")]

    def _release(
        self, services: list[ServiceName], neighbours: list[Neighbour]
    ) -> list[Step]:
        self.offer = min(1.0, self.offer / OFFER_STEP)
        held = [n for n in neighbours if self._share(n) < 1.0]
        if not held:
            return []
        least = min(held, key=lambda n: self.penalty(services, n.job_class))
        of_class = [n for n in held if n.job_class == least.job_class]
        after: dict[str, float] = defaultdict(float)
        for n in neighbours:
            factor = RELEASE_FACTOR if n.job_class == least.job_class else 1.0
            after[n.job_class] += n.cores * min(1.0, self._share(n) * factor)
        if self.excess(services, after) > ALLOWED_EXCESS:
            return []
        return self._throttle(of_class, RELEASE_FACTOR)

    def _share(self, neighbour: Neighbour) -> float:
        return self.share_by_attempt.get(neighbour.attempt, 1.0)

    def _forget_ended(self, neighbours: list[Neighbour]) -> None:
        running = {neighbour.attempt for neighbour in neighbours}
        for attempt in [a for a in self.share_by_attempt if a not in running]:
            del self.share_by_attempt[attempt]


def _cores_by_class(neighbours: list[Neighbour]) -> dict[str, float]:
    cores_by_class: dict[str, float] = defaultdict(float)
    for neighbour in neighbours:
        cores_by_class[neighbour.job_class] += neighbour.cores * neighbour.share
    return dict(cores_by_class)
