"""Orders that wait to be sent to an agent, and the state of its acknowledgements.

`Dispatch` keeps these for each agent, and one budget of bytes for all of them.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from wagtailcleat.scheduling.held_ends import HeldEnds
from wagtailcleat.scheduling.job_entry import JobEntry
from wagtailcleat.scheduling.models import Pace, RunEnd, RunKey, Start
from wagtailcleat.scheduling.token_bucket import TokenBucket

MAX_RECENT_ENDS = 200
"""Enough for the ends that a worker lists while a start is in doubt.

An agent settles a start by the list that shows its end, or by the next one; a worker
ends some tens of runs at most in that time.
"""


class ReceivedEnd(NamedTuple):
    """An end that is not acknowledged, and what must be stored before it is."""

    number: int
    """Sequence number in the worker's incarnation."""
    run: RunKey
    how: RunEnd
    entry: JobEntry | HeldEnds | None
    """None if the job is not known any more."""
    version: int
    """The version of `entry` that must be stored."""


@dataclass(eq=False)
class EndTracker:
    """Ends of one worker incarnation, from receipt until they may be acknowledged."""

    born: int = 0
    """Identifies the incarnation, see `WorkerInfo`."""
    received: int = 0
    """Ends up to this number were received."""
    settled: int = 0
    """Ends up to this number may be acknowledged."""
    unsettled: deque[ReceivedEnd] = field(default_factory=deque)
    """Later ends, in the order of their numbers."""
    recent_runs: deque[RunKey] = field(
        default_factory=lambda: deque(maxlen=MAX_RECENT_ENDS)
    )
    """Runs whose ends were received most recently."""


@dataclass(eq=False)
class PendingOrders:
    """Orders and the acknowledgement that wait to be sent to an agent."""

    starts: list[Start] = field(default_factory=list)
    stops: list[RunKey] = field(default_factory=list)
    paces: list[Pace] = field(default_factory=list)
    acknowledged: int = 0
    """Number up to which ends are acknowledged; 0: there is nothing to send."""

    def __bool__(self) -> bool:
        """Return whether there is anything to send."""
        return bool(self.starts or self.stops or self.paces or self.acknowledged)


BURST_SECONDS = 0.1
"""Longest time for which starts that are sent together may occupy the link."""
START_OVERHEAD_BYTES = 80
"""Approximate size of a start without its spec and checkpoint."""


def take_starts(starts: Sequence[Start], budget: TokenBucket) -> int:
    """Return how many of the starts may be sent now, and deduct their bytes.

    Starts carry the specs of jobs. More of them than the link can carry would delay the
    pings and answers queued behind them, and agents would consider the leader lost.
    """
    for count, start in enumerate(starts):
        if budget.is_empty:
            return count
        budget.spend(len(start.spec) + len(start.checkpoint) + START_OVERHEAD_BYTES)
    return len(starts)
