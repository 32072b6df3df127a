"""Token bucket and circuit breaker of the store client in `platform.store`.

Without them, all processes would call the store at once after an outage and overload
it again. The circuit breaker lets one probe through at a time, after an exponential
backoff with jitter. The token bucket limits the calls of a process at all times.
"""

import random
from dataclasses import dataclass, field

BASE_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 3.0
FAILURES_TO_OPEN = 3


@dataclass
class TokenBucket:
    """A rate limit of `rate` calls a second, with bursts of up to `burst` calls."""

    rate: float
    burst: float
    tokens: float = field(init=False)
    refilled_at: float = field(init=False, default=0.0)

    def __post_init__(self) -> None:
        """Fill the bucket."""
        self.tokens = self.burst

    def reserve(self, now: float) -> float:
        """Take a token and return for how many seconds the caller must wait to use it.

        The count may become negative: later callers then wait longer.
        """
        elapsed = max(0.0, now - self.refilled_at)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
        self.refilled_at = now
        self.tokens -= 1
        return max(0.0, -self.tokens / self.rate)

    def discard_burst(self) -> None:
        """Discard all tokens but one, so that calls go on at `rate` without a burst."""
        self.tokens = min(self.tokens, 1.0)

    def take(self, now: float) -> bool:
        """Take a token if one is available; return whether it was."""
        if self.reserve(now) == 0.0:
            return True
        self.tokens += 1
        return False


@dataclass
class CircuitBreaker:
    """A circuit breaker: closed while calls succeed, open while they fail.

    While it is open, one call passes as a probe after each backoff.
    """

    random: random.Random
    failures: int = 0
    probe_at: float = 0.0
    down_since: float | None = None

    def allow(self, now: float) -> bool:
        """Return whether a call may be sent; a probe blocks others for a backoff."""
        if not self.is_open():
            return True
        if now < self.probe_at:
            return False
        self.probe_at = now + self._backoff_with_jitter()
        return True

    def is_open(self) -> bool:
        """Return whether calls other than probes are rejected."""
        return self.failures >= FAILURES_TO_OPEN

    def record_success(self) -> None:
        """Record an answer of the store and close the circuit."""
        self.failures = 0
        self.down_since = None

    def record_failure(self, now: float) -> None:
        """Record that the store did not answer, or answered with an error."""
        self.failures += 1
        if self.down_since is None:
            self.down_since = now
        self.probe_at = now + self._backoff_with_jitter()

    def _backoff_with_jitter(self) -> float:
        exponent = min(self.failures, 10)
        backoff = min(MAX_BACKOFF_SECONDS, BASE_BACKOFF_SECONDS * 2.0**exponent)
        return backoff * self.random.uniform(0.5, 1.0)
