"""The fencing tokens of an agent's calls to its worker."""

MILLISECONDS = 1000
MAX_STEP_BITS = 40
"""Limit of the step after a rejection, in bits; the clock of a worker needs fewer."""


class FencingTokens:
    """Returns rising tokens, also over restarts of the agent, with nothing stored.

    A token is the birth time of the worker's incarnation plus the worker's own clock,
    both in milliseconds, unless this process has already used that or a higher one. A
    restarted agent begins above the tokens of the process before, unless that had to
    raise them after rejections; its own are rejected then until they are high enough.
    """

    def __init__(self) -> None:
        """Start without tokens."""
        self._last = 0
        self._rejections = 0
        """Tokens that the worker has rejected in a row."""

    def __repr__(self) -> str:
        """Show the last token."""
        return f"<FencingTokens up to {self._last}>"

    def next(self, born: int = 0, worker_seconds: float = 0.0) -> int:
        """Return a token above all earlier ones.

        Parameters: `born` and `worker_seconds` are the worker's birth time and clock,
        if they are known.
        """
        token = born + int(worker_seconds * MILLISECONDS)
        self._last = max(token, self._last + 1)
        return self._last

    def after_rejection(self, born: int, worker_seconds: float) -> int:
        """Return a token after the worker has rejected the last one as outdated.

        A call to an earlier incarnation of the worker, whose clock may have been far
        ahead, can have raised the token that it requires. It does not tell how far, so
        each rejection in a row doubles the step.
        """
        self._rejections += 1
        self._last += 2 ** min(self._rejections, MAX_STEP_BITS)
        return self.next(born, worker_seconds)

    def accepted(self) -> None:
        """Record that the worker has accepted the last token."""
        self._rejections = 0
