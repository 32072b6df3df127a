"""Events of runs that the scheduler observes or decides, for the leader's log."""

from dataclasses import dataclass
from enum import Enum

from wagtailcleat.ids import JobId, NodeId
from wagtailcleat.scheduling.models import JobState, RunKey


class Event(Enum):
    """Kind of an event; the value is the text of its log line."""

    ENDED = "Run ended"
    KNOWN = "Failure was known"
    WITHDRAWN = "Start withdrawn"
    """A placed start was not sent."""
    NEVER_STARTED = "Run never started"
    GONE = "Run is gone"
    ADOPTED = "Run adopted"
    STOPPED = "Stops"
    PACED = "Paces"


@dataclass(frozen=True)
class LoggedEvent:
    """An event of a run on a node, with its reason in `why`."""

    event: Event
    run: RunKey
    node: NodeId
    why: str


@dataclass(frozen=True)
class JobEnd:
    """The end of a job, with its reason in `why`."""

    job: JobId
    state: JobState
    why: str
