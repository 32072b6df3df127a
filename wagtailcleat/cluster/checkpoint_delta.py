"""Leaves out of an agent's reports the checkpoints that the leader knows.

A report renews the leases of all runs of a VM, and checkpoints are nearly all of its
bytes. Each checkpoint is therefore sent until a report with it was answered, and a
report carries no more bytes of them than the link to the leader has shown to bear:
the reports of all agents arrive there together after a change of leader.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from wagtailcleat.ids import Epoch
from wagtailcleat.scheduling.models import Ended, RunKey, Running
from wagtailcleat.wire.scheduling import Report

FIRST_BYTES = 1024
"""Checkpoints in the first report to a leader."""
LARGEST_BYTES = 256 * 1024
"""Checkpoints in a report at the most."""
SLOW_ANSWER_SECONDS = 0.2
"""An answer that takes longer shows that a link is filling up."""


class _Sent(NamedTuple):
    """The last checkpoint of a run that the leader took in."""

    checkpoint: str
    report: int
    """Number of the report that carried it."""


class CheckpointDelta:
    """What the leader of one epoch knows, and how much a report may carry."""

    def __init__(self) -> None:
        """Know of no leader yet."""
        self._context: tuple[Epoch, int] | None = None
        """Epoch of the leader, and `born` of the worker's life."""
        self._sent_by_run: dict[RunKey, _Sent] = {}
        self._last_end = 0
        """The leader took in the worker's ends up to this number."""
        self._window = FIRST_BYTES
        """Bytes of checkpoints that the next report may carry."""
        self._limit = LARGEST_BYTES
        """How far the window may grow."""
        self._full = False
        """Whether the last report left a checkpoint out for want of room."""

    def __repr__(self) -> str:
        """Show the window."""
        return f"<CheckpointDelta {self._window} of {self._limit} bytes>"

    def shorten(self, report: Report) -> Report:
        """Return the report with the checkpoints that are new and have room.

        The runs of ends that have no room are listed as unsettled: they keep their room
        on the VM, and their tasks wait, until a later report tells how they ended.
        """
        born = report.worker.born if report.worker is not None else 0
        if self._context != (report.epoch, born):
            self._begin(report.epoch, born)
        self._full = False
        ended, left_out, room = self._ends(report.ended)
        return msgspec.structs.replace(
            report,
            running=self._running(report.running, room),
            ended=ended,
            unsettled=report.unsettled + left_out,
        )

    def answered(self, report: Report, *, seconds: float) -> None:
        """Note that a shortened report was answered `seconds` after it was sent."""
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
        elif self._full:
            self._limit = min(LARGEST_BYTES, self._limit + FIRST_BYTES)
            self._window = min(self._limit, max(FIRST_BYTES, 2 * self._window))

    def lost(self) -> None:
        """Note that a report was not answered: the next one carries no checkpoint."""
        self._limit = max(FIRST_BYTES, self._window // 2)
        self._window = 0

    def _begin(self, epoch: Epoch, born: int) -> None:
        self._context = (epoch, born)
        self._sent_by_run = {}
        self._last_end = 0
        self._window = FIRST_BYTES
        self._limit = LARGEST_BYTES

    def _ends(self, listed: Iterable[Ended]) -> tuple[list[Ended], list[RunKey], int]:
        """Return the ends to report, the runs of the others, and the room left.

        The leader takes ends in by their number: none may pass one that is left out.
        """
        ends: list[Ended] = []
        left_out: list[RunKey] = []
        room = self._window
        for ended in sorted(listed, key=lambda end: end.number):
            if ended.number <= self._last_end:
                ends.append(msgspec.structs.replace(ended, checkpoint=""))
            elif not left_out and self._fits(ended.checkpoint, room):
                room = max(0, room - len(ended.checkpoint))
                ends.append(ended)
            else:
                left_out.append(ended.key)
        self._full = self._full or bool(left_out)
        return ends, left_out, room

    def _running(self, listed: list[Running], room: int) -> list[Running]:
        """Return what runs; the checkpoint that was sent longest ago goes first."""
        carried: set[RunKey] = set()
        for running in sorted(listed, key=lambda run: self._sent(run.key).report):
            if running.checkpoint == self._sent(running.key).checkpoint:
                continue
            if self._fits(running.checkpoint, room):
                room = max(0, room - len(running.checkpoint))
                carried.add(running.key)
            else:
                self._full = True
        return [
            run if run.key in carried else msgspec.structs.replace(run, checkpoint="")
            for run in listed
        ]

    def _sent(self, run: RunKey) -> _Sent:
        return self._sent_by_run.get(run, _Sent("", 0))

    def _fits(self, checkpoint: str, room: int) -> bool:
        # One that is larger than the window will ever be goes alone.
        alone = room == self._window == self._limit
        return len(checkpoint) <= room or alone
