"""Calls of an entry's callers that have been read whole and are not answered yet."""

from collections import Counter
from enum import Enum
from typing import Protocol

from wagtailcleat.introspection import Introspection, Kind


class Call(Protocol):
    """A call in progress."""

    def give_up(self) -> None:
        """Answer that the outcome is not known, without waiting for it."""


class Unanswered(Enum):
    """Why a call's connection ended before its answer."""

    CALLER_GONE = "caller gone"
    PROCESS_ENDS = "process ends"


class CallsInProgress:
    """The calls in progress, and counts of those whose connections ended before."""

    def __init__(self) -> None:
        """Start empty."""
        self.open: set[Call] = set()
        self.is_stopping = False
        """Whether the process has been told to stop."""
        self.has_given_up = False
        """Whether calls are refused, since no time is left to carry them out."""
        self.is_closing = False
        """Whether it is this process that ends connections now."""
        self.count_by_reason: Counter[str] = Counter(
            {reason.value: 0 for reason in Unanswered}
        )

    def __repr__(self) -> str:
        """Show the number of open calls."""
        return f"<CallsInProgress {len(self.open)}>"

    def give_up(self) -> int:
        """Answer all calls without their outcome; return their number.

        Calls that are read from now on are to be refused.
        """
        self.has_given_up = True
        calls = list(self.open)
        for call in calls:
            call.give_up()
        return len(calls)

    def abandon(self, call: Call) -> Unanswered | None:
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
