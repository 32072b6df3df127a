"""Control loop that limits how much batch tasks slow down the services on this VM.

Interference can be seen only in the usage of tasks, which is reported with a lag, and
in the services' own latencies. The controller therefore acts once per lag interval: it
throttles the job class that slows the services most, then evicts the largest task of
that class, then offers less of the VM to batch work. Each interval also updates a score
for each pair of service and job class: the relative slowdown per used core.
Reservations read the scores, so that a task is not placed beside a service that its
class is known to slow down. `NeighbourMonitor` calls the controller.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from wagtailcleat.agent.latency_window import MIN_ANSWERS, LatencySummary
from wagtailcleat.ids import AttemptId, ServiceName

MEDIAN_NOISE = 0.8
"""Variance of a median's relative error, multiplied by its number of answers."""
INITIAL_VARIANCE = 0.03**2
"""Variance of a score that no interval has updated yet, and the largest of any."""
IMPORTED_VARIANCE = 0.01**2
"""Variance of a score that was learned on other VMs."""
DRIFT_VARIANCE = 0.002**2
"""Growth of a score's variance per interval: the process noise of the filter."""
USAGE_CHANGE_NOISE = 0.02
"""Standard deviation of the slowdown per core of usage that was added or removed."""
DECAY_WEIGHT = 0.03
"""Weight with which an unmeasured score returns to `INITIAL_SCORE` per interval."""
INITIAL_SCORE = 0.01
MAX_SCORE = 2.0
BASELINE_WEIGHT = 0.2
"""Weight of a new median in the baseline while batch tasks are idle."""
BASELINE_LOWERING_WEIGHT = 0.1
"""Weight of a median below the baseline while batch tasks are busy."""
MAX_SLOWDOWN = 0.17
"""Greatest relative slowdown of a service that is accepted."""
MIN_CPU_SHARE = 0.4
MIN_THROTTLE_FACTOR = 0.4
RELEASE_FACTOR = 1.6
RELEASE_AFTER_INTERVALS = 2
EVICT_AFTER_BREACHES = 2
MIN_OFFERED_SHARE = 0.25
OFFER_FACTOR = 0.75
MAX_IDLE_CORES = 0.5


@dataclass(frozen=True)
class Neighbour:
    """A batch attempt on a VM with services; `used_cores` is its lagged usage."""

    attempt: AttemptId
    job_class: str
    cores: float
    used_cores: float
    share: float = 1.0
    urgent: bool = False


@dataclass(frozen=True)
class Throttle:
    """Limit an attempt to a share of its cores."""

    attempt: AttemptId
    share: float


@dataclass(frozen=True)
class Evict:
    """Checkpoint and stop an attempt, so that its task resumes on another VM."""

    attempt: AttemptId
    reason: str


Action = Throttle | Evict


@dataclass
class InterferenceController:
    """Scores, throttles and offer of one VM; call `step` once per lag interval."""

    score_by_pair: dict[tuple[ServiceName, str], float] = field(default_factory=dict)
    share_by_attempt: dict[AttemptId, float] = field(default_factory=dict)
    baseline_median_by_service: dict[ServiceName, float] = field(default_factory=dict)
    offered_share: float = 1.0
    variance_by_pair: dict[tuple[ServiceName, str], float] = field(default_factory=dict)
    throttles: int = 0
    evictions: int = 0
    _consecutive_breaches: int = 0
    _intervals_without_breach: int = 0
    _last_latency_by_service: dict[ServiceName, LatencySummary] = field(
        default_factory=dict
    )
    _last_used_by_class: dict[str, float] = field(default_factory=dict)

    def score(self, service: ServiceName, job_class: str) -> float:
        """Return the relative slowdown of a service per core of a job class."""
        return self.score_by_pair.get((service, job_class), INITIAL_SCORE)

    def predicted_slowdown(
        self, services: Iterable[ServiceName], cores_by_class: Mapping[str, float]
    ) -> float:
        """Return the greatest predicted relative slowdown of any service; 0 is none."""
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
        """Return why one more task is refused beside the services; empty if not."""
        cores_by_class = _cores_by_class(neighbours)
        if self.offered_share < 1.0 and cores_by_class:
            return "this VM offers less: its services are slow"
        known = [s for s in services if (s, job_class) in self.score_by_pair]
        cores_after = cores_by_class | {
            job_class: cores_by_class.get(job_class, 0.0) + cores
        }
        affected = [
            s
            for s in known
            if self.predicted_slowdown([s], cores_after) > MAX_SLOWDOWN
            and self.score(s, job_class) > INITIAL_SCORE
        ]
        if affected:
            return (
                f"tasks of class '{job_class}' slow {', '.join(sorted(affected))} down"
            )
        return ""

    def penalty(self, services: Iterable[ServiceName], job_class: str) -> float:
        """Return the highest score of a job class with any of the services."""
        return max((self.score(s, job_class) for s in services), default=0.0)

    def known_penalty(
        self, services: Iterable[ServiceName], job_class: str
    ) -> float | None:
        """Return the highest known score of a job class, None if there is none."""
        scores = [
            score
            for s in services
            if (score := self.score_by_pair.get((s, job_class))) is not None
        ]
        return max(scores, default=None)

    def import_score(
        self, services: Iterable[ServiceName], job_class: str, score: float
    ) -> None:
        """Set a score learned on other VMs for the pairs that have none here."""
        for service in services:
            if (service, job_class) not in self.score_by_pair:
                self.score_by_pair[service, job_class] = score
                self.variance_by_pair[service, job_class] = IMPORTED_VARIANCE

    def step(
        self,
        latency_by_service: Mapping[ServiceName, LatencySummary],
        neighbours: list[Neighbour],
    ) -> list[Action]:
        """Update the scores from one lag interval; return the actions to take.

        The usage of `neighbours` is one lag interval old. It belongs to the time in
        which the latencies of the previous step were measured, and is compared with
        those.
        """
        self._forget_ended(neighbours)
        self._learn(neighbours)
        self._last_latency_by_service = dict(latency_by_service)
        breached = [
            name for name, latency in latency_by_service.items() if latency.breached
        ]
        if breached:
            self._intervals_without_breach = 0
            self._consecutive_breaches += 1
            return self._restrict(breached, neighbours)
        self._consecutive_breaches = 0
        self._intervals_without_breach += 1
        if self._intervals_without_breach > RELEASE_AFTER_INTERVALS:
            return self._release(list(latency_by_service), neighbours)
        return []

    def _learn(self, neighbours: list[Neighbour]) -> None:
        # The current usage reading belongs to the end of the interval in which the
        # previous latencies were measured, the reading before it to the start.
        now: dict[str, float] = defaultdict(float)
        for neighbour in neighbours:
            now[neighbour.job_class] += neighbour.used_cores
        before, self._last_used_by_class = self._last_used_by_class, dict(now)
        classes = set(now) | set(before)
        used_by_class = {c: (now.get(c, 0) + before.get(c, 0)) / 2 for c in classes}
        changed = sum(abs(now.get(c, 0) - before.get(c, 0)) / 2 for c in classes)
        change_variance = (USAGE_CHANGE_NOISE * changed) ** 2
        is_idle = sum(used_by_class.values()) < MAX_IDLE_CORES
        for service, latency in self._last_latency_by_service.items():
            if latency.count >= MIN_ANSWERS:
                self._learn_baseline(service, latency.median, is_idle)
                if not is_idle:
                    self._learn_scores(service, latency, used_by_class, change_variance)
        self._decay_unmeasured(used_by_class)

    def _learn_baseline(
        self, service: ServiceName, median: float, is_idle: bool
    ) -> None:
        baseline = self.baseline_median_by_service.setdefault(service, median)
        weight = (
            BASELINE_WEIGHT
            if is_idle
            else BASELINE_LOWERING_WEIGHT * (median < baseline)
        )
        self.baseline_median_by_service[service] = baseline + weight * (
            median - baseline
        )

    def _learn_scores(
        self,
        service: ServiceName,
        latency: LatencySummary,
        used_by_class: Mapping[str, float],
        change_variance: float,
    ) -> None:
        # A Kalman filter with one variance per pair. The residual of the predicted
        # slowdown is divided among the pairs by their used cores and variances, and
        # has less weight the fewer answers it comes from.
        observed = latency.median / self.baseline_median_by_service[service] - 1
        residual = observed - self.predicted_slowdown([service], used_by_class)
        innovation_variance = MEDIAN_NOISE / latency.count + change_variance
        for job_class, cores in used_by_class.items():
            innovation_variance += self._variance(service, job_class) * cores * cores
        for job_class, cores in used_by_class.items():
            pair = (service, job_class)
            variance = self._variance(*pair)
            gain = variance * cores / innovation_variance
            score = self.score(*pair) + gain * residual
            self.score_by_pair[pair] = min(max(score, 0.0), MAX_SCORE)
            self.variance_by_pair[pair] = variance * (1 - gain * cores)

    def _variance(self, service: ServiceName, job_class: str) -> float:
        known = self.variance_by_pair.get((service, job_class), INITIAL_VARIANCE)
        return min(known + DRIFT_VARIANCE, INITIAL_VARIANCE)

    def _decay_unmeasured(self, used_by_class: Mapping[str, float]) -> None:
        # A class that is refused is never measured again. Its score decays, so that
        # the class is admitted again later: its effect changes with the load and with
        # new releases of the software.
        for pair, score in self.score_by_pair.items():
            if pair[1] not in used_by_class:
                decayed = score + DECAY_WEIGHT * (INITIAL_SCORE - score)
                self.score_by_pair[pair] = decayed
                self.variance_by_pair[pair] = self._variance(*pair)

    def _restrict(
        self, breached: list[ServiceName], neighbours: list[Neighbour]
    ) -> list[Action]:
        candidates = [n for n in neighbours if not n.urgent] or neighbours
        if not candidates:
            return []
        harm_by_class: dict[str, float] = defaultdict(float)
        for n in candidates:
            harm = self.penalty(breached, n.job_class) * n.cores * self._share(n)
            harm_by_class[n.job_class] += harm
        worst = max(harm_by_class, key=lambda c: harm_by_class[c])
        of_class = [n for n in candidates if n.job_class == worst]
        all_at_minimum = all(self._share(n) <= MIN_CPU_SHARE for n in of_class)
        if not all_at_minimum:
            return self._throttle(of_class, self._next_share(harm_by_class, worst))
        if self._consecutive_breaches >= EVICT_AFTER_BREACHES:
            return self._evict(of_class, breached)
        return []

    def _next_share(self, harm_by_class: Mapping[str, float], worst: str) -> float:
        # The scores determine the size of the reduction: the predicted slowdown above
        # the accepted one is taken from the worst class. As there was a breach, the
        # share is reduced by a quarter at least.
        overshoot = max(0.0, sum(harm_by_class.values()) - MAX_SLOWDOWN)
        factor = 1 - overshoot / max(harm_by_class[worst], 1e-6)
        return min(max(factor, MIN_THROTTLE_FACTOR), 0.75)

    def _throttle(self, neighbours: list[Neighbour], factor: float) -> list[Action]:
        actions: list[Action] = []
        for neighbour in neighbours:
            share = min(1.0, max(MIN_CPU_SHARE, self._share(neighbour) * factor))
            if share != self._share(neighbour):
                self.share_by_attempt[neighbour.attempt] = share
                self.throttles += 1
                actions.append(Throttle(neighbour.attempt, share))
        return actions

    def _evict(
        self, of_class: list[Neighbour], breached: list[ServiceName]
    ) -> list[Action]:
        largest = max(of_class, key=lambda n: n.cores)
        self.evictions += 1
        self._consecutive_breaches = 0
        if len(of_class) == 1:
            self.offered_share = max(
                MIN_OFFERED_SHARE, self.offered_share * OFFER_FACTOR
            )
        return [Evict(largest.attempt, f"it slows {', '.join(breached)} down")]

    def _release(
        self, services: list[ServiceName], neighbours: list[Neighbour]
    ) -> list[Action]:
        self.offered_share = min(1.0, self.offered_share / OFFER_FACTOR)
        throttled = [n for n in neighbours if self._share(n) < 1.0]
        if not throttled:
            return []
        least_harmful = min(
            throttled, key=lambda n: self.penalty(services, n.job_class)
        )
        of_class = [n for n in throttled if n.job_class == least_harmful.job_class]
        cores_after: dict[str, float] = defaultdict(float)
        for n in neighbours:
            factor = RELEASE_FACTOR if n.job_class == least_harmful.job_class else 1.0
            cores_after[n.job_class] += n.cores * min(1.0, self._share(n) * factor)
        if self.predicted_slowdown(services, cores_after) > MAX_SLOWDOWN:
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
