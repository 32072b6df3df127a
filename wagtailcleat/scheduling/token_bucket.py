"""A token bucket that limits the bytes which the leader sends over its link."""


class TokenBucket:
    """Bytes that may be sent now; it fills at a constant rate up to its capacity."""

    def __init__(self, bytes_per_second: float, *, burst_seconds: float) -> None:
        """Start with a full bucket; an infinite rate means no limit.

        Parameters: `burst_seconds` is how long the bucket takes to fill.
        """
        self._rate = bytes_per_second
        self._capacity = bytes_per_second * burst_seconds
        self._available = self._capacity
        self._refilled_at: float | None = None

    def __repr__(self) -> str:
        """Show the available bytes."""
        return f"<TokenBucket {self._available:.0f} of {self._capacity:.0f} bytes>"

    @property
    def is_empty(self) -> bool:
        """Whether nothing may be sent until the bucket is refilled."""
        return self._available <= 0

    def refill(self, now: float) -> None:
        """Add the tokens for the time since the last call."""
        if self._refilled_at is not None and now > self._refilled_at:
            gained = self._rate * (now - self._refilled_at)
            self._available = min(self._capacity, self._available + gained)
        self._refilled_at = now

    def spend(self, size: int) -> None:
        """Deduct `size` bytes; the last message may exceed the available bytes."""
        self._available -= size
