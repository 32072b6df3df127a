"""Choice of the entry that takes over from a leader that has lost the store.

One process decides for all VMs, and its link carries all orders: a small entry that
leads delays every start of a deployment. The nearest entry answers first, so a leader
that hands over to whoever answers first may pick the smallest one.
"""

from collections.abc import Iterable

from wagtailcleat.cluster.keys import ProcessInfo
from wagtailcleat.cluster.other_entries import LARGER_FACTOR

LARGER_WAIT_SECONDS = 0.2
"""How long a leader waits for a larger entry after one that reaches the store.

An entry that has not heard of the store lately asks it first, which takes longer than
the way to any availability zone; a crash of the leader meanwhile costs 20 times this.
"""


class Successors:
    """The entries that reach the store, by their answers to a leader that does not."""

    def __init__(self) -> None:
        """Start without entries."""
        self._entries: list[ProcessInfo] = []
        self._first_at = 0.0

    def __repr__(self) -> str:
        """Show how many entries reach the store."""
        return f"<Successors: {len(self._entries)}>"

    def add(self, entry: ProcessInfo, now: float) -> None:
        """Add an entry that reaches the store."""
        if not self._entries:
            self._first_at = now
        self._entries.append(entry)

    def best_first(self) -> list[ProcessInfo]:
        """Return the entries, those with most processor time first."""
        return sorted(self._entries, key=lambda entry: -entry.weight)

    def seconds_left(self, now: float) -> float | None:
        """Return how long larger entries are waited for; None while there is none."""
        if not self._entries:
            return None
        return max(0.0, self._first_at + LARGER_WAIT_SECONDS - now)

    def is_decided(self, unanswered: Iterable[ProcessInfo], now: float) -> bool:
        """Return whether waiting for the unanswered entries is of no more use."""
        if not self._entries:
            return False
        if self.seconds_left(now) == 0.0:
            return True
        least = self.best_first()[0].weight * LARGER_FACTOR
        return all(entry.weight < least for entry in unanswered)
