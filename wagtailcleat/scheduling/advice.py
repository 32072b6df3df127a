"""Tickets that permit the steps of advised queues to run on certain workers.

The leader asks the external advice service and stores its answers here; placement
reads them. The service answers one call at a time and takes longer the more workers a
call names, so a question names a limited number of workers with room. Granted workers
are asked about again when their tickets expire. A denied worker is never asked about
again, because a denial does not change during a worker's incarnation.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from wagtailcleat.ids import JobId
from wagtailcleat.scheduling.job_entry import JobEntry, StepKey
from wagtailcleat.scheduling.job_table import JobTable
from wagtailcleat.scheduling.placement import fits, has_required_label
from wagtailcleat.scheduling.ranking import rank
from wagtailcleat.scheduling.vms import Vm

MAX_WORKERS_PER_QUESTION = 30
"""By the users' rule, a step's objective is counted on this many workers."""
TICKET_MARGIN_SECONDS = 0.3
"""Least remaining validity of a ticket that is sent; it must outlast the delivery."""


class Ticket(NamedTuple):
    """Permission to run a step on a worker until a time on the leader's clock."""

    text: str
    until: float


class WorkerIncarnation(NamedTuple):
    """One incarnation of a worker: its id and start time."""

    id: str
    born: int


class Question(NamedTuple):
    """A question to the advice service: which of these workers may run a step."""

    job: JobId
    step: StepKey
    workers: tuple[WorkerIncarnation, ...]


@dataclass
class _StepAdvice:
    ticket_by_worker: dict[WorkerIncarnation, Ticket] = field(default_factory=dict)
    denied: set[WorkerIncarnation] = field(default_factory=set)


@dataclass
class Advice:
    """The advice service's answers, by job and step."""

    _advice_by_step: dict[tuple[JobId, StepKey], _StepAdvice] = field(
        default_factory=dict
    )

    def ticket(self, job: JobId, step: StepKey, vm: Vm, now: float) -> str:
        """Return the ticket for a step on a VM; empty if there is no valid one."""
        known = self._advice_by_step.get((job, step))
        incarnation = incarnation_of(vm)
        if known is None or incarnation is None:
            return ""
        ticket = known.ticket_by_worker.get(incarnation)
        if ticket is None or ticket.until < now + TICKET_MARGIN_SECONDS:
            return ""
        return ticket.text

    def question(
        self,
        job_table: JobTable,
        vms: Iterable[Vm],
        *,
        now: float,
        wall_now: float,
        max_workers: int = MAX_WORKERS_PER_QUESTION,
    ) -> Question | None:
        """Return the next question, for the highest-ranked step that needs one."""
        waiting = [
            (rank(entry, step, wall_now), entry, step)
            for entry in job_table.open_by_id.values()
            if entry.job.advised
            for step, count in entry.waiting_by_step.items()
            if count and job_table.is_ready(entry, step)
            if any(map(entry.may_start, entry.tasks_by_step[step]))
        ]
        waiting.sort(key=lambda row: row[0])
        usable = [vm for vm in vms if vm.is_usable]
        for _, entry, step in waiting:
            workers = self._workers_to_ask(entry, step, usable, now)
            if workers:
                return Question(entry.job.id, step, tuple(workers[:max_workers]))
        return None

    def _workers_to_ask(
        self, entry: JobEntry, step: StepKey, vms: list[Vm], now: float
    ) -> list[WorkerIncarnation]:
        wanted = entry.job.steps[step[1]]
        known = self._advice_by_step.get((entry.job.id, step), _StepAdvice())
        asked: list[WorkerIncarnation] = []
        for vm in sorted(vms, key=lambda vm: -vm.spare_cores):
            incarnation = incarnation_of(vm)
            if incarnation is None or incarnation in known.denied:
                continue
            if vm.service != entry.job.service or not has_required_label(vm, wanted):
                continue
            if not fits(vm, wanted):
                continue
            if self.ticket(entry.job.id, step, vm, now):
                # The step can start on this VM without another question.
                return []
            asked.append(incarnation)
        return asked

    def take(
        self,
        question: Question,
        ticket_by_worker: dict[str, str],
        *,
        until: float,
    ) -> None:
        """Record the answer to a question; workers that it does not grant are denied.

        Parameters: `ticket_by_worker` holds the granted workers' tickets by worker id;
        they are valid until `until`, in seconds on the leader's clock.
        """
        known = self._advice_by_step.setdefault(
            (question.job, question.step), _StepAdvice()
        )
        for incarnation in question.workers:
            text = ticket_by_worker.get(incarnation.id)
            if text is None:
                known.denied.add(incarnation)
            else:
                known.ticket_by_worker[incarnation] = Ticket(text, until)

    def withdraw(self, job: JobId, step: StepKey, vm: Vm) -> None:
        """Drop a ticket that a worker rejected, so that a new one is requested."""
        known = self._advice_by_step.get((job, step))
        incarnation = incarnation_of(vm)
        if known is not None and incarnation is not None:
            known.ticket_by_worker.pop(incarnation, None)

    def forget_ended(self, job_table: JobTable) -> None:
        """Drop the answers for jobs that have ended."""
        ended = [
            key for key in self._advice_by_step if key[0] not in job_table.open_by_id
        ]
        for key in ended:
            del self._advice_by_step[key]


def incarnation_of(vm: Vm) -> WorkerIncarnation | None:
    """Return the incarnation of a VM's worker, or None without a worker."""
    return WorkerIncarnation(vm.worker.id, vm.worker.born) if vm.worker else None
