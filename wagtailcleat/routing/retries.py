"""How many retries an entry may add: a share of the requests it takes."""

from dataclasses import dataclass

MAX_SAVED = 20.0
FIRST_SAVED = 0.0
MAX_TRIES = 3


@dataclass
class RetryBudget:
    """Each request saves a share of a retry; each retry spends a whole one.

    Retries without a budget multiply the load just when there is too much of it.
    """

    saved: float = FIRST_SAVED

    def request(self, share: float) -> None:
        """Note a request, of which `share` may be added as retries."""
        self.saved = min(MAX_SAVED, self.saved + share)

    def spend(self) -> bool:
        """Take one retry from the budget, if there is one."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
