"""Whether an agent takes a request now, queues it, or refuses it at once."""

from collections import deque
from dataclasses import dataclass, field

RATE_WINDOW_SECONDS = 5.0
MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 30.0
FIRST_SERVICE_SECONDS = 0.05
SERVICE_WEIGHT = 0.05


@dataclass(frozen=True)
class Admit:
    """The request takes a slot now."""


@dataclass(frozen=True)
class Wait:
    """The request waits in the queue; its deadline can still be met."""


@dataclass(frozen=True)
class Refuse:
    """The request can't be answered in time; come back after so many seconds."""

    retry_after: float
    reason: str


@dataclass
class Slots:
    """The slots and the queue of one service at one endpoint."""

    slots: int
    queue: int
    in_use: int = 0
    queued: int = 0
    service_seconds: float = FIRST_SERVICE_SECONDS
    finished_at: deque[float] = field(default_factory=lambda: deque(maxlen=256))

    def decide(self, deadline: float, now: float) -> Admit | Wait | Refuse:
        """Decide on a request that must be answered by `deadline`."""
        if self.in_use < self.slots and not self.queued:
            return Admit()
        wait = self.expected_wait(now)
        if self.queued >= self.queue:
            return Refuse(_bounded(wait), "the queue is full")
        if now + wait + self.service_seconds > deadline:
            return Refuse(_bounded(wait), "the queue is too long for the deadline")
        return Wait()

    def finished(self, seconds: float, now: float) -> None:
        """Note that a request that held its slot for `seconds` is done."""
        self.service_seconds += SERVICE_WEIGHT * (seconds - self.service_seconds)
        self.finished_at.append(now)

    def expected_wait(self, now: float) -> float:
        """Return the seconds until one more queued request would get a slot."""
        rate = self.slots / max(self.service_seconds, 0.001)
        recent = self.finished_at
        while recent and now - recent[0] >= RATE_WINDOW_SECONDS:
            recent.popleft()
        if len(recent) >= 2 and now - recent[0] > 0.2:
            rate = max(len(recent) / (now - recent[0]), rate * 0.1)
        return (self.queued + 1) / rate


def _bounded(seconds: float) -> float:
    return min(max(seconds, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
