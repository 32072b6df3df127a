"""What an agent is still to be told: orders, and which ends are durable."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from wagtailcleat.scheduling.book import JobEntry
from wagtailcleat.scheduling.models import Pace, RunKey, Start

ENDS_REMEMBERED = 200
"""Ends of a worker that are remembered: a start is in doubt for two lists, in which a
worker ends some tens of runs at the most."""


@dataclass(eq=False)
class Acknowledging:
    """Ends of one life of a worker that were taken in and wait to be durable."""

    born: int = 0
    taken: int = 0
    """Ends up to this number were taken in."""
    durable: int = 0
    waiting: deque[tuple[int, JobEntry | None, int]] = field(default_factory=deque)
    ended: deque[RunKey] = field(default_factory=lambda: deque(maxlen=ENDS_REMEMBERED))
    """Runs whose ends were taken in of late."""


@dataclass(eq=False)
class Outgoing:
    """What an agent is still to be told."""

    starts: list[Start] = field(default_factory=list)
    stops: list[RunKey] = field(default_factory=list)
    paces: list[Pace] = field(default_factory=list)
    acknowledged: int = 0

    def __bool__(self) -> bool:
        """Whether there is anything to tell."""
        return bool(self.starts or self.stops or self.paces or self.acknowledged)


BURST_SECONDS = 0.1
"""How long the link may be kept busy by starts that leave together."""
START_BYTES = 80
"""Of a start without its spec and checkpoint, about."""


class StartBudget:
    """How many bytes of starts may leave over the leader's own link: a token bucket.

    Starts carry the specs of jobs. More of them than the link bears would keep back the
    pings and answers behind them, and agents would take the leader for lost.
    """

    def __init__(self, bytes_per_second: float) -> None:
        """Begin with a full bucket; infinitely many bytes are no bound."""
        self._rate = bytes_per_second
        self._most = bytes_per_second * BURST_SECONDS
        self._left = self._most
        self._filled_at: float | None = None

    def __repr__(self) -> str:
        """Show what is left."""
        return f"<StartBudget {self._left:.0f} of {self._most:.0f} bytes>"

    def fill(self, now: float) -> None:
        """Add what the time since the last call has brought."""
        if self._filled_at is not None and now > self._filled_at:
            gained = self._rate * (now - self._filled_at)
            self._left = min(self._most, self._left + gained)
        self._filled_at = now

    def spend(self, starts: Sequence[Start]) -> int:
        """Return how many of the starts may leave now; the last may go beyond."""
        for count, start in enumerate(starts):
            if self._left <= 0:
                return count
            self._left -= len(start.spec) + len(start.checkpoint) + START_BYTES
        return len(starts)
