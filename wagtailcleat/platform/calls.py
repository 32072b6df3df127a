"""Calls of an entry's callers that have been read whole and are not answered yet."""

from collections import Counter
from enum import Enum
from typing import Generic, TypeVar

from wagtailcleat.introspection import Introspection, Kind

C = TypeVar("C")


class Unanswered(Enum):
    """Why a call's connection ended before its answer."""

    CALLER_GONE = "caller gone"
    PROCESS_ENDS = "process ends"


class CallsInProgress(Generic[C]):
    """The calls in progress, and counts of those whose connections ended before."""

    def __init__(self) -> None:
        """Start empty."""
        self.open: set[C] = set()
        self.is_closing = False
        """Whether it is this process that ends connections now."""
        self.count_by_reason: Counter[str] = Counter(
            {reason.value: 0 for reason in Unanswered}
        )

    def __repr__(self) -> str:
        """Show the number of open calls."""
        return f"<CallsInProgress {len(self.open)}>"

    def abandon(self, call: C) -> Unanswered | None:
        """Remove a call whose connection has ended; None if it was answered before."""
        if call not in self.open:
            return None
        self.open.remove(call)
        reason = Unanswered.PROCESS_ENDS if self.is_closing else Unanswered.CALLER_GONE
        self.count_by_reason[reason.value] += 1
        return reason

    def register(self, introspection: Introspection) -> None:
        """Register the counts as metrics."""
        introspection.metric(
            Kind.GAUGE,
            "calls_in_progress",
            "Calls of submitters that were read whole and are not answered yet.",
            lambda: len(self.open),
        )
        introspection.labelled(
            Kind.COUNTER,
            "unanswered_calls",
            "Calls of submitters whose connection ended before the answer.",
            "reason",
            lambda: self.count_by_reason,
        )
