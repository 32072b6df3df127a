"""Limits the retries of an entry to a share of the requests it receives.

An entry's relay asks the budget before each retry that may load an endpoint again.
"""

from dataclasses import dataclass

MAX_TOKENS = 20.0
INITIAL_TOKENS = 0.0
MAX_TRIES = 3


@dataclass
class RetryBudget:
    """A token bucket: each request adds a share of a token, each retry takes one.

    Without a budget, retries multiply the load just when the system is overloaded.
    """

    tokens: float = INITIAL_TOKENS

    def request(self, share: float) -> None:
        """Add `share` of a token for a request that was received."""
        self.tokens = min(MAX_TOKENS, self.tokens + share)

    def spend(self) -> bool:
        """Take one token for a retry; return False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
