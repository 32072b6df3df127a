"""The fencing tokens of an agent's calls to its worker."""

MILLISECONDS = 1000
FIRST_STEP_BITS = 12
"""Step after the first rejection, in bits; a little more than clocks jump."""
STEP_GROWTH_BITS = 2
MAX_STEP_BITS = 40
"""Limit of the step after a rejection, in bits."""


class FencingTokens:
    """Returns rising tokens, also over restarts of the agent, with nothing stored.

    A token is the time of the wall clock in milliseconds, unless this process has
    already used that or a higher one. It rises over restarts of agent and worker, also
    of a worker whose own clock starts anew, as long as the wall clock does not go back
    by more than passes between two uses. A worker rejects the tokens of an agent whose
    clock went back; they rise until it accepts them.
    """

    def __init__(self) -> None:
        """Start without tokens."""
        self._last = 0
        self._rejections = 0
        """Tokens that the worker has rejected in a row."""

    def __repr__(self) -> str:
        """Show the last token."""
        return f"<FencingTokens up to {self._last}>"

    def first(self, born: int, wall_now: float) -> int:
        """Return the first token for an incarnation of the worker.

        Parameters: `born` is its birth time in milliseconds, which this VM's clock may
        be behind; `wall_now` is the wall clock in seconds.
        """
        self._last = max(born, int(wall_now * MILLISECONDS), self._last + 1)
        return self._last

    def next(self) -> int:
        """Return a token above all earlier ones."""
        self._last += 1
        return self._last

    def after_rejection(self) -> int:
        """Return a token after the worker has rejected the last one as outdated.

        The worker does not tell which token it requires, so each rejection in a row
        takes a larger step.
        """
        bits = FIRST_STEP_BITS + STEP_GROWTH_BITS * self._rejections
        self._rejections += 1
        self._last += 2 ** min(bits, MAX_STEP_BITS)
        return self._last

    def accepted(self) -> None:
        """Record that the worker has accepted the last token."""
        self._rejections = 0
