"""Omit from an agent's reports the checkpoints that the leader already has.

A report renews the leases of all runs of a VM, and checkpoints make up nearly all of
its size. So a checkpoint is sent only until a report with it was answered, and a window
limits their size in one report to what the link to the leader carries: after a change
of leader, the reports of all agents arrive there together.

`following` passes each report through a `CheckpointDelta` before it is sent.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from wagtailcleat.ids import Epoch
from wagtailcleat.scheduling.models import Ended, RunKey, Running
from wagtailcleat.wire.scheduling import Report

FIRST_BYTES = 1024
"""Size limit of the checkpoints in the first report to a leader."""
LARGEST_BYTES = 256 * 1024
"""Upper limit of the size of the checkpoints in one report."""
SLOW_ANSWER_SECONDS = 0.2
"""An answer that takes longer is a sign of congestion on the link."""


class _Sent(NamedTuple):
    """The last checkpoint of a run that the leader has received."""

    checkpoint: str
    report: int
    """Number of the report that carried it."""


class CheckpointDelta:
    """The checkpoints that one epoch's leader has, and the window of a report."""

    def __init__(self) -> None:
        """Start without a leader."""
        self._context: tuple[Epoch, int] | None = None
        """Epoch of the leader, and `born` of the worker's incarnation."""
        self._sent_by_run: dict[RunKey, _Sent] = {}
        self._last_end = 0
        """The leader has received the worker's ends up to this number."""
        self._window = FIRST_BYTES
        """Size limit of the checkpoints in the next report."""
        self._limit = LARGEST_BYTES
        """Upper limit of the window; lower after a lost report."""
        self._window_exceeded = False
        """Whether the last report omitted a checkpoint that exceeded the window."""

    def __repr__(self) -> str:
        """Show the window."""
        return f"<CheckpointDelta {self._window} of {self._limit} bytes>"

    def shorten(self, report: Report) -> Report:
        """Return the report with those new checkpoints that fit into the window.

        Ends that do not fit are omitted and their runs listed as unsettled: the leader
        keeps their resources on the VM reserved, and their tasks wait, until a later
        report contains the ends.
        """
        born = report.worker.born if report.worker is not None else 0
        if self._context != (report.epoch, born):
            self._begin(report.epoch, born)
        self._window_exceeded = False
        ended, omitted, room = self._ends(report.ended)
        return msgspec.structs.replace(
            report,
            running=self._running(report.running, room),
            ended=ended,
            unsettled=report.unsettled + omitted,
        )

    def answered(self, report: Report, *, seconds: float) -> None:
        """Record that a shortened report was answered `seconds` after it was sent."""
        sent_by_run = {}
        for running in report.running:
            if running.checkpoint:
                sent_by_run[running.key] = _Sent(running.checkpoint, report.number)
            elif running.key in self._sent_by_run:
                sent_by_run[running.key] = self._sent_by_run[running.key]
        self._sent_by_run = sent_by_run
        numbers = [ended.number for ended in report.ended]
        self._last_end = max([self._last_end, *numbers])
        if seconds > SLOW_ANSWER_SECONDS:
            self._window = max(FIRST_BYTES, self._window // 2)
        elif self._window_exceeded:
            self._limit = min(LARGEST_BYTES, self._limit + FIRST_BYTES)
            self._window = min(self._limit, max(FIRST_BYTES, 2 * self._window))

    def lost(self) -> None:
        """Record that a report was not answered; the next has no checkpoint."""
        self._limit = max(FIRST_BYTES, self._window // 2)
        self._window = 0

    def _begin(self, epoch: Epoch, born: int) -> None:
        self._context = (epoch, born)
        self._sent_by_run = {}
        self._last_end = 0
        self._window = FIRST_BYTES
        self._limit = LARGEST_BYTES

    def _ends(self, listed: Iterable[Ended]) -> tuple[list[Ended], list[RunKey], int]:
        """Return the ends to report, the runs of the omitted ones and the room left.

        The leader handles ends in the order of their numbers, so once one end is
        omitted, all later ones are omitted too.
        """
        ends: list[Ended] = []
        omitted: list[RunKey] = []
        room = self._window
        for ended in sorted(listed, key=lambda end: end.number):
            if ended.number <= self._last_end:
                ends.append(msgspec.structs.replace(ended, checkpoint=""))
            elif not omitted and self._fits(ended.checkpoint, room):
                room = max(0, room - len(ended.checkpoint))
                ends.append(ended)
            else:
                omitted.append(ended.key)
        self._window_exceeded = self._window_exceeded or bool(omitted)
        return ends, omitted, room

    def _running(self, listed: list[Running], room: int) -> list[Running]:
        """Return the runs; those whose checkpoint was sent longest ago come first.

        The order decides which checkpoints get the room; the runs are returned as
        listed.
        """
        carried: set[RunKey] = set()
        for running in sorted(listed, key=lambda run: self._sent(run.key).report):
            if running.checkpoint == self._sent(running.key).checkpoint:
                continue
            if self._fits(running.checkpoint, room):
                room = max(0, room - len(running.checkpoint))
                carried.add(running.key)
            else:
                self._window_exceeded = True
        return [
            run if run.key in carried else msgspec.structs.replace(run, checkpoint="")
            for run in listed
        ]

    def _sent(self, run: RunKey) -> _Sent:
        return self._sent_by_run.get(run, _Sent("", 0))

    def _fits(self, checkpoint: str, room: int) -> bool:
        # A checkpoint larger than the upper limit of the window is sent alone.
        alone = room == self._window == self._limit
        return len(checkpoint) <= room or alone
