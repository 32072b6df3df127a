"""When the checkpoints of running tasks are stored.

The end of a run is stored at once, with all checkpoints of its job. Checkpoints that a
report brings in between are known only to the leader and the worker. If all VMs lose
power, the work that they cover is lost unless they were stored. `cluster.records` asks
a `CheckpointSaver` which jobs to store for that reason.
"""

import math
from collections.abc import Iterable

from wagtailcleat.scheduling.job_entry import JobEntry, TaskState
from wagtailcleat.scheduling.token_bucket import TokenBucket

MAX_UNSAVED_CORE_SECONDS = 10.0
"""Work in a job's checkpoints, not stored yet, from which they are stored.

One call to the store carries the records of several jobs.
"""
LINK_SHARE_OF_CHECKPOINTS = 0.05
"""Share of the leader's link for records that are stored only for their checkpoints."""
BURST_SECONDS = 1.0
"""Time over which these records are averaged on the link."""
CHECKPOINT_OVERHEAD_BYTES = 20
"""Approximate size of a task in a record, without its checkpoint."""


class CheckpointSaver:
    """Chooses the jobs whose checkpoints are to be stored."""

    def __init__(self, link_bytes_per_second: float = math.inf) -> None:
        """Limit the records to a share of the link's rate."""
        self._bytes = TokenBucket(
            LINK_SHARE_OF_CHECKPOINTS * link_bytes_per_second,
            burst_seconds=BURST_SECONDS,
        )

    def __repr__(self) -> str:
        """Show the bytes that may be stored."""
        return f"<CheckpointSaver {self._bytes}>"

    def mark_due(self, entries: Iterable[JobEntry], now: float) -> int:
        """Mark the jobs to store as changed; return how many these are.

        If the link does not carry all of them, the order is by the work that is not
        stored times its age. With records of one size, the intervals at which jobs are
        stored are then as the inverse roots of their cores, which leaves the least work
        unsaved; small jobs have their turn, less often.
        """
        self._bytes.refill(now)
        due = [
            entry
            for entry in entries
            if entry.unsaved_core_seconds >= MAX_UNSAVED_CORE_SECONDS
        ]
        due.sort(
            key=lambda entry: entry.unsaved_core_seconds * (now - entry.unsaved_since),
            reverse=True,
        )
        for marked, entry in enumerate(due):
            if self._bytes.is_empty:
                return marked
            self._bytes.spend(_record_bytes(entry))
            entry.mark_changed()
        return len(due)


def _record_bytes(entry: JobEntry) -> int:
    """Return the approximate size of the tasks in a job's record."""
    return sum(
        len(task.checkpoint) + CHECKPOINT_OVERHEAD_BYTES
        for task in entry.tasks()
        if task.checkpoint and task.state is not TaskState.SUCCEEDED
    )
