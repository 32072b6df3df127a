"""Grants: leases on attempts that a shard's owner issues to agents.

An attempt may run only while its agent holds a grant for it. The agent counts a
grant from the sending of its request, the owner from the sending of its answer, so
the owner's bound is always the later one. The next attempt of a task is committed
only after the end of the previous one was reported or its grant has lapsed.
"""

import asyncio

from wagtailcleat.batch.record import (
    AnyEvent,
    AttemptEnded,
    JobForgotten,
    JobRecord,
    JobStopped,
    TaskState,
)
from wagtailcleat.batch.shard import Shard
from wagtailcleat.batch.usage_estimates import Sample
from wagtailcleat.errors import Code
from wagtailcleat.ids import AttemptId, JobId, VmName
from wagtailcleat.logs import part_logger
from wagtailcleat.wire.attempts import AttemptReport, AttemptState, Grants, RenewGrants
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.results import Refused
from wagtailcleat.wire.takeover import Adopted
from wagtailcleat.wire.task_ids import job_of

log = part_logger("batch")

MIN_FAILURES_TO_STOP = 6
ENDED_JOB_RETENTION_SECONDS = 86_400.0
CLEANUP_INTERVAL_SECONDS = 60.0
MIN_FAILED_VMS_TO_STOP = 3
COMMIT_TIMEOUT_SECONDS = 0.5


class GrantManager:
    """The grants of one shard, and the commits of the ends that agents report."""

    def __init__(self, shard: Shard) -> None:
        """Issue grants for the attempts of `shard`."""
        self._shard = shard
        self._committing: set[AttemptId] = set()
        self._end_report_by_attempt: dict[AttemptId, AttemptReport] = {}
        self._last_cleanup_at = 0.0

    async def renew(self, message: RenewGrants) -> AnyMessage:
        """Commit the ends that an agent reports and renew its grants.

        Return `Grants`, or `Refused` if this process is no longer the owner or its
        own right to issue grants has lapsed.
        """
        shard = self._shard
        if message.epoch > shard.journal.epoch:
            # The agent knows a later owner, so this process has lost the shard. It
            # would otherwise learn of this only at its next commit.
            shard.journal.deposed.set()
        if shard.journal.deposed.is_set():
            return Refused(Code.UNAVAILABLE.value, "no longer the owner")
        shard.view.record_free(message.node, message.free, shard.clock())
        ended = [r for r in message.reports if r.state is not AttemptState.RUNNING]
        await self._commit_ends(ended)
        running = [
            r.attempt for r in message.reports if r.state is AttemptState.RUNNING
        ]
        fenced = message.epoch == shard.journal.epoch
        return self._grants(running, ended, fenced)

    async def _commit_ends(self, ended: list[AttemptReport]) -> None:
        # A commit can hang for as long as the store does. Grants must not wait for
        # it, or running tasks would lose theirs. An end that is committed later is
        # acknowledged when the agent reports it again.
        for report in ended:
            if self._shard.record.is_current(report.attempt):
                self._end_report_by_attempt[report.attempt] = report
        uncommitted = [
            report for report in ended if report.attempt not in self._committing
        ]
        events = [
            event for report in uncommitted for event in self.events_for_end(report)
        ]
        if not events:
            return
        work = self._commit(events, {report.attempt for report in uncommitted})
        task = self._shard.run_in_background(work)
        await asyncio.wait([task], timeout=COMMIT_TIMEOUT_SECONDS)

    async def _commit(self, events: list[AnyEvent], attempts: set[AttemptId]) -> None:
        self._committing |= attempts
        try:
            await self._shard.commit_all(events)
            # Ends that are reported at the same time are evaluated before any of
            # them is committed, so none of them shows that the job fails on several
            # VMs. The VMs then accept no tasks of the job for some time and report no
            # more failures. Without this second check, the job would stay pending for
            # that time although it fails everywhere.
            stops = [
                stop
                for job in _jobs_with_failures(events)
                for stop in self._stop_events(job)
            ]
            if stops:
                await self._shard.commit_all(stops)
        finally:
            self._committing -= attempts

    def _stop_events(self, job_id: JobId) -> list[AnyEvent]:
        job = self._shard.record.job_by_id.get(job_id)
        if job is None or job.stopped or job.cancelled:
            return []
        return self._stop_events_if_failing(job, {})

    def _stop_events_if_failing(
        self, job: JobRecord, failures_by_vm: dict[VmName, int]
    ) -> list[AnyEvent]:
        """Return the event that stops a job, if its tasks fail on several VMs.

        Parameters: `failures_by_vm` are failures that the record does not have yet.
        """
        where = _failing_vm_names(job, failures_by_vm)
        if not where:
            return []
        reason = f"its tasks failed on {where} and none succeeded"
        return [JobStopped(job.spec.id, reason, self._shard.wall_clock())]

    def _grants(
        self, running: list[AttemptId], ended: list[AttemptReport], fenced: bool
    ) -> AnyMessage:
        shard = self._shard
        now = shard.clock()
        if shard.journal.deposed.is_set():
            return Refused(Code.UNAVAILABLE.value, "no longer the owner")
        seconds = min(shard.timing.grant, shard.may_grant_until() - now)
        if seconds <= 0:
            return Refused(Code.UNAVAILABLE.value, "may not grant: the store is lost")
        record = shard.record
        seconds_by_attempt: dict[AttemptId, float] = {}
        stop: list[AttemptId] = []
        for attempt in running:
            if not record.is_current(attempt):
                stop.append(attempt)
                continue
            job = record.job_by_id[job_of(attempt)]
            if job.cancelled or job.stopped:
                stop.append(attempt)
            seconds_by_attempt[attempt] = seconds
            self._set_grant_bound(attempt, shard.grant_bound_from(now), fenced)
        acknowledged = [r.attempt for r in ended if not record.is_current(r.attempt)]
        return Grants(shard.journal.epoch, seconds_by_attempt, acknowledged, stop)

    def _set_grant_bound(self, attempt: AttemptId, bound: float, fenced: bool) -> None:
        # If this answer is lost, an agent that has not yet accepted a request of
        # this epoch may still use grants of an earlier owner, so their bound holds.
        earlier_bound = (
            0.0 if fenced else self._shard.grant_bound_by_attempt.get(attempt, 0.0)
        )
        self._shard.grant_bound_by_attempt[attempt] = max(earlier_bound, bound)

    def record_adopted(self, answer: Adopted, held: list[AttemptId]) -> None:
        """Record an agent's answer to `Adopt` and end the attempts it does not list.

        Once it has answered, the agent refuses requests of earlier epochs, so an
        attempt that it does not list will never start.

        Parameters: `held` are the attempts that the record assigned to the agent
        when the takeover began.
        """
        shard = self._shard
        bound = shard.grant_bound_from(shard.clock())
        listed = {report.attempt for report in answer.reports}
        events: list[AnyEvent] = []
        for report in answer.reports:
            if report.state is not AttemptState.RUNNING:
                events += self.events_for_end(report)
            elif shard.record.is_current(report.attempt):
                shard.grant_bound_by_attempt[report.attempt] = bound
        never = AttemptState.NEVER_STARTED
        events += [
            AttemptEnded(attempt, never, "", "not at its agent", shard.wall_clock())
            for attempt in held
            if attempt not in listed and shard.record.is_current(attempt)
        ]
        if events:
            shard.run_in_background(shard.commit_all(events))

    def events_for_end(self, report: AttemptReport) -> list[AnyEvent]:
        """Return the events to commit for a reported end; none if it is known."""
        # Reports may be duplicated or late. A report of an attempt that is not
        # current is acknowledged and changes nothing.
        if not self._shard.record.is_current(report.attempt):
            return []
        self._add_usage_sample(report)
        event = AttemptEnded(
            report.attempt,
            report.state,
            report.checkpoint,
            report.reason,
            self._shard.wall_clock(),
        )
        events: list[AnyEvent] = [event]
        if report.state is AttemptState.FAILED:
            events += self._events_after_failure(report)
        return events

    def _add_usage_sample(self, report: AttemptReport) -> None:
        shard = self._shard
        spec = shard.record.job_by_id[job_of(report.attempt)].spec
        task = shard.record.task_by_attempt[report.attempt]
        # An attempt that resumed from a checkpoint or was interrupted does not show
        # how long a whole task runs.
        ran_whole_task = report.state is AttemptState.SUCCEEDED and not task.checkpoint
        if spec.job_class and ran_whole_task:
            sample = Sample(report.used, report.ran_seconds)
            shard.usage_estimates.add(spec.team, spec.job_class, sample)

    def _events_after_failure(self, report: AttemptReport) -> list[AnyEvent]:
        shard = self._shard
        job_id = job_of(report.attempt)
        task = shard.record.task_by_attempt[report.attempt]
        failed_on = {*task.failed_on, task.vm}
        max_attempts = shard.in_force.configuration.rules.max_attempts
        too_many_failures = task.failures + 1 >= max_attempts
        if len(failed_on) >= MIN_FAILED_VMS_TO_STOP or too_many_failures:
            where = ", ".join(sorted(failed_on))
            reason = f"task {report.attempt.split('/')[1]} failed on {where}"
            return [JobStopped(job_id, reason, shard.wall_clock())]
        # A VM stops accepting tasks of a job that fails there, so in a job of many
        # tasks it may happen that no single task fails on several VMs.
        job = shard.record.job_by_id[job_id]
        return self._stop_events_if_failing(job, {task.vm: 1})

    async def end_lapsed(self) -> None:
        """End attempts whose grants have lapsed, and forget jobs that ended long ago.

        Jobs are checked at most once per `CLEANUP_INTERVAL_SECONDS`.
        """
        shard = self._shard
        now, wall = shard.clock(), shard.wall_clock()
        current = shard.record.task_by_attempt
        lapsed = [
            attempt
            for attempt in current
            if now
            > shard.grant_bound_by_attempt.setdefault(
                attempt, shard.grant_bound_from(now)
            )
        ]
        vms = sorted({current[attempt].vm for attempt in lapsed})
        events: list[AnyEvent] = []
        for attempt in lapsed:
            events += self._events_for_lapsed(attempt, wall)
        if now - self._last_cleanup_at > CLEANUP_INTERVAL_SECONDS:
            self._last_cleanup_at = now
            events += self._jobs_to_forget(wall)
            for mapping in (shard.grant_bound_by_attempt, self._end_report_by_attempt):
                for attempt in [a for a in mapping if a not in current]:
                    del mapping[attempt]
        if events and await shard.commit_all(events) and lapsed:
            log.warning(
                "Grants lapsed; their attempts are placed again",
                extra={"shard": shard.id, "attempts": len(lapsed), "vms": vms},
            )

    def _events_for_lapsed(self, attempt: AttemptId, wall: float) -> list[AnyEvent]:
        # The end may have been reported but not committed while the store was down.
        # The task must then resume from the checkpoint in that report, not from an
        # earlier one.
        report = self._end_report_by_attempt.get(attempt)
        if report is not None:
            return self.events_for_end(report)
        lapsed = AttemptState.LAPSED
        return [AttemptEnded(attempt, lapsed, "", "its grant lapsed", wall)]

    def _jobs_to_forget(self, wall: float) -> list[JobForgotten]:
        jobs = self._shard.record.job_by_id.values()
        return [
            JobForgotten(job.spec.id)
            for job in jobs
            if job.ended_at and wall - job.ended_at > ENDED_JOB_RETENTION_SECONDS
        ]


def _jobs_with_failures(events: list[AnyEvent]) -> list[JobId]:
    failed = AttemptState.FAILED
    ends = [e for e in events if isinstance(e, AttemptEnded) and e.state is failed]
    return list(dict.fromkeys(job_of(end.attempt) for end in ends))


def _failing_vm_names(job: JobRecord, failures_by_vm: dict[VmName, int]) -> str:
    """Return the names of the VMs on which a job fails, or "" if it may still run.

    A job fails if none of its tasks has succeeded and there were failures on at least
    `MIN_FAILED_VMS_TO_STOP` VMs and `MIN_FAILURES_TO_STOP` failures in total.

    Parameters: `failures_by_vm` are failures that the record does not have yet.
    """
    if any(task.state is TaskState.SUCCEEDED for task in job.tasks):
        return ""
    failed_on = set(failures_by_vm).union(*(task.failed_on for task in job.tasks))
    failures = sum(failures_by_vm.values()) + sum(task.failures for task in job.tasks)
    if len(failed_on) < MIN_FAILED_VMS_TO_STOP or failures < MIN_FAILURES_TO_STOP:
        return ""
    return ", ".join(sorted(failed_on))
