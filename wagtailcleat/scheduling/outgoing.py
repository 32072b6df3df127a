"""What an agent is still to be told: orders, and which ends are durable."""

from collections import deque
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
