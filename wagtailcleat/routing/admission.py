"""Admission control: an agent runs, queues or refuses each service request.

The agent's service instance asks `SlotQueue.decide` for each request that arrives. A
request that can't be answered by its deadline, or that finds the queue full, is
refused at once, with the seconds after which to retry.
"""

from collections import deque
from dataclasses import dataclass, field

RATE_WINDOW_SECONDS = 5.0
MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 30.0
INITIAL_SERVICE_SECONDS = 0.05
SERVICE_EWMA_WEIGHT = 0.05


@dataclass(frozen=True)
class Admit:
    """The request is admitted and takes a slot now."""


@dataclass(frozen=True)
class Wait:
    """The request is queued for a slot; its deadline can still be met."""


@dataclass(frozen=True)
class Refuse:
    """The request is refused, as it can't be answered in time.

    `retry_after` is in seconds.
    """

    retry_after: float
    reason: str


@dataclass
class SlotQueue:
    """The slots and the queue of one service at one endpoint.

    `slots` and `queue` are the limits; `in_use` and `queued` count the requests that
    hold a slot or wait for one. `service_seconds` is the moving average of the time
    that a request holds its slot; `finished_at` are the latest times at which one
    ended.
    """

    slots: int
    queue: int
    in_use: int = 0
    queued: int = 0
    service_seconds: float = INITIAL_SERVICE_SECONDS
    finished_at: deque[float] = field(default_factory=lambda: deque(maxlen=256))

    def decide(self, deadline: float, now: float) -> Admit | Wait | Refuse:
        """Return the decision on a request that must be answered by `deadline`."""
        if self.in_use < self.slots and not self.queued:
            return Admit()
        wait = self.expected_wait(now)
        if self.queued >= self.queue:
            return Refuse(_bounded_retry_after(wait), "the queue is full")
        if now + wait + self.service_seconds > deadline:
            return Refuse(
                _bounded_retry_after(wait), "the queue is too long for the deadline"
            )
        return Wait()

    def finished(self, seconds: float, now: float) -> None:
        """Record the end of a request that held its slot for `seconds`."""
        self.service_seconds += SERVICE_EWMA_WEIGHT * (seconds - self.service_seconds)
        self.finished_at.append(now)

    def expected_wait(self, now: float) -> float:
        """Return the seconds until one more queued request would get a slot.

        The estimate rests on the rate at which requests ended lately, but on no less
        than a tenth of the rate that the slots and the average service time give. It
        rests on the latter rate alone while too few requests have ended.
        """
        rate = self.slots / max(self.service_seconds, 0.001)
        recent_ends = self.finished_at
        while recent_ends and now - recent_ends[0] >= RATE_WINDOW_SECONDS:
            recent_ends.popleft()
        if len(recent_ends) >= 2 and now - recent_ends[0] > 0.2:
            rate = max(len(recent_ends) / (now - recent_ends[0]), rate * 0.1)
        return (self.queued + 1) / rate


def _bounded_retry_after(seconds: float) -> float:
    return min(max(seconds, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
