"""What the scheduler came to believe or decided, for the log."""

from dataclasses import dataclass
from enum import Enum

from wagtailcleat.ids import NodeId
from wagtailcleat.scheduling.models import RunKey


class Event(Enum):
    """What the scheduler came to believe or decided; each is one log line."""

    ENDED = "Run ended"
    KNOWN = "Failure was known"
    NEVER_STARTED = "Run never started"
    GONE = "Run is gone"
    ADOPTED = "Run adopted"
    STOPPED = "Stops"
    PACED = "Paces"


@dataclass(frozen=True)
class Note:
    """An event with what decided it."""

    event: Event
    run: RunKey
    node: NodeId
    why: str
