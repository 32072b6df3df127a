"""When to call the store, and how often: a budget and a circuit breaker.

After an outage everybody would return at once and put the store down again. The
circuit lets one probe through at a time, after a jittered and growing pause, and
the budget bounds what a process asks even when all is well.
"""

import random
from dataclasses import dataclass, field

FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 3.0
FAILURES_TO_OPEN = 3


@dataclass
class TokenBucket:
    """Allows `rate` calls a second, and `burst` at once."""

    rate: float
    burst: float
    tokens: float = field(init=False)
    filled_at: float = field(init=False, default=0.0)

    def __post_init__(self) -> None:
        """Start full."""
        self.tokens = self.burst

    def wait(self, now: float) -> float:
        """Take a token and return the seconds to wait before using it."""
        elapsed = max(0.0, now - self.filled_at)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
        self.filled_at = now
        self.tokens -= 1
        return max(0.0, -self.tokens / self.rate)

    def drain(self) -> None:
        """Give up what was saved up; calls go on at the rate."""
        self.tokens = min(self.tokens, 1.0)

    def take(self, now: float) -> bool:
        """Take a token if there is one now."""
        if self.wait(now) == 0.0:
            return True
        self.tokens += 1
        return False


@dataclass
class Circuit:
    """Closed while calls succeed; open, with probes, while they fail."""

    random: random.Random
    failures: int = 0
    open_until: float = 0.0
    down_since: float | None = None

    def allows(self, now: float) -> bool:
        """Tell whether a call may go out; a probe holds back others meanwhile."""
        if not self.is_open():
            return True
        if now < self.open_until:
            return False
        self.open_until = now + self._pause()
        return True

    def is_open(self) -> bool:
        """Tell whether calls are held back but for probes."""
        return self.failures >= FAILURES_TO_OPEN

    def succeeded(self) -> None:
        """Note that the store answered."""
        self.failures = 0
        self.down_since = None

    def failed(self, now: float) -> None:
        """Note that the store did not answer, or said that it can't."""
        self.failures += 1
        if self.down_since is None:
            self.down_since = now
        self.open_until = now + self._pause()

    def _pause(self) -> float:
        exponent = min(self.failures, 10)
        longest = min(MAX_PAUSE_SECONDS, FIRST_PAUSE_SECONDS * 2.0**exponent)
        return longest * self.random.uniform(0.5, 1.0)
