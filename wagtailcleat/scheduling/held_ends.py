"""Ends of runs that this leader can't take in yet.

Their job can't be decoded by this version, or their occurrence has not begun. They are
stored before they are acknowledged, and taken in later, possibly by another leader.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from wagtailcleat.ids import JobId
from wagtailcleat.scheduling.job_bounds import MAX_NUMBER
from wagtailcleat.scheduling.models import (
    FINISHING_ENDS,
    Ended,
    RunEnd,
    RunKey,
    TaskKey,
)

MAX_HELD_ENDS = 20_000
"""Most ends that are kept of one job, twice the tasks that it has at one time.

None of its tasks starts, so each of its runs that was in progress ends once.
"""


class HeldEnd(msgspec.Struct, array_like=True, frozen=True):
    """A held end of a run, as it is stored."""

    occurrence: int
    step: int
    position: int
    run: int
    how: RunEnd
    checkpoint: str = ""

    def run_key(self, job: JobId) -> RunKey:
        """Return the key of the run."""
        task = TaskKey(job, self.occurrence, self.step, self.position)
        return RunKey(task, self.run)


@dataclass(eq=False)
class HeldEnds:
    """The held ends of a job; the versions are as in `JobEntry`."""

    job: JobId
    version: int = 0
    committed: int = 0
    store_revision: int = 0
    """Store revision of their key; 0: there is none."""
    occurrences_restored: int = 0
    """Ends of this number of first occurrences were taken in by this leader."""
    end_by_run: dict[RunKey, HeldEnd] = field(default_factory=dict)

    def add(self, ended: Ended) -> None:
        """Add an end that a worker has listed."""
        _, occurrence, step, position = ended.key.task
        run = ended.key.run
        self._merge(
            HeldEnd(occurrence, step, position, run, ended.how, ended.checkpoint)
        )

    def merge(self, stored: Iterable[HeldEnd]) -> None:
        """Add ends that are stored already."""
        for end in stored:
            self._merge(end)

    def take_begun(self, begun: int) -> list[tuple[RunKey, HeldEnd]]:
        """Return the ends of occurrences that have begun since the last call.

        Parameters: `begun` is the number of first occurrences that have begun.
        """
        first, self.occurrences_restored = self.occurrences_restored, begun
        return [
            (key, end)
            for key, end in self.end_by_run.items()
            if first <= end.occurrence < begun
        ]

    def _merge(self, end: HeldEnd) -> None:
        key = end.run_key(self.job)
        known = self.end_by_run.get(key)
        if known is not None and (known.how in FINISHING_ENDS or known == end):
            return
        if known is None and len(self.end_by_run) >= MAX_HELD_ENDS:
            return
        self.end_by_run[key] = end
        self.version += 1


def held_ends_problem(ends: Iterable[HeldEnd]) -> str:
    """Return what is out of bounds in stored ends; "" if nothing."""
    for end in ends:
        numbers = (end.occurrence, end.step, end.position, end.run)
        if not all(0 <= number <= MAX_NUMBER for number in numbers):
            return "a number of an end is out of range"
    return ""


def without_checkpoints(ends: Iterable[HeldEnd]) -> list[HeldEnd]:
    """Return ends without checkpoints; their tasks continue from earlier ones."""
    return [msgspec.structs.replace(end, checkpoint="") for end in ends]
