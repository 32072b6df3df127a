"""Grants: an attempt runs while its agent holds one, and lapses without.

The agent counts a grant from when it asked, the owner from when it answered, so the
owner's view always ends later. The next attempt is committed only after the last
one's end is reported, or its grant has surely lapsed.
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
from wagtailcleat.wire.attempts import AttemptReport, AttemptState, Grants, RenewGrants
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.results import Refused
from wagtailcleat.wire.takeover import Adopted
from wagtailcleat.wire.task_ids import job_of

MIN_FAILURES_TO_STOP = 6
ENDED_JOB_RETENTION_SECONDS = 86_400.0
CLEANUP_INTERVAL_SECONDS = 60.0
MIN_FAILED_VMS_TO_STOP = 3
COMMIT_TIMEOUT_SECONDS = 0.5


class GrantManager:
    """Hands out grants of one shard, and commits the ends that agents report."""

    def __init__(self, shard: Shard) -> None:
        """Grant the attempts of `shard`."""
        self._shard = shard
        self._committing: set[AttemptId] = set()
        self._end_report_by_attempt: dict[AttemptId, AttemptReport] = {}
        self._last_cleanup_at = 0.0

    async def renew(self, message: RenewGrants) -> AnyMessage:
        """Commit the ends an agent reports, and renew its attempts' grants."""
        shard = self._shard
        if message.epoch > shard.journal.epoch:
            # The agent has an order of a later owner: this one has lost the shard
            # and would not have heard of it before its next commit.
            shard.journal.deposed.set()
        if shard.journal.deposed.is_set():
            return Refused(Code.UNAVAILABLE.value, "no longer the owner")
        shard.view.note_free(message.node, message.free, shard.clock())
        ended = [r for r in message.reports if r.state is not AttemptState.RUNNING]
        await self._commit_ends(ended)
        running = [
            r.attempt for r in message.reports if r.state is AttemptState.RUNNING
        ]
        fenced = message.epoch == shard.journal.epoch
        return self._grants(running, ended, fenced)

    async def _commit_ends(self, ended: list[AttemptReport]) -> None:
        # A commit may hang for as long as the store does; grants must not wait for
        # it, or running tasks would lose theirs. What is committed later is
        # acknowledged when it is reported again.
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
            # Ends that are reported in one moment are weighed before any of them is
            # committed. VMs that are closed to the job then send no more failures,
            # and it would wait for their pauses although it failed everywhere.
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
        """Stop a job whose tasks fail everywhere, also counting failures to come."""
        where = _failed_vms_if_failing(job, failures_by_vm)
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
            self._raise_grant_bound(attempt, shard.grant_bound_from(now), fenced)
        acknowledged = [r.attempt for r in ended if not record.is_current(r.attempt)]
        return Grants(shard.journal.epoch, seconds_by_attempt, acknowledged, stop)

    def _raise_grant_bound(
        self, attempt: AttemptId, until: float, fenced: bool
    ) -> None:
        # An agent that has not yet taken an order of this epoch may, if this answer
        # is lost, go on with grants of an earlier owner: their bound stands.
        known = 0.0 if fenced else self._shard.grant_bound_by_attempt.get(attempt, 0.0)
        self._shard.grant_bound_by_attempt[attempt] = max(known, until)

    def record_adopted(self, answer: Adopted, held: list[AttemptId]) -> None:
        """Take an agent's word on which attempts run, and end the others.

        The agent refuses orders of earlier epochs from its answer on, so what it
        does not list will never start.
        """
        shard = self._shard
        until = shard.grant_bound_from(shard.clock())
        listed = {report.attempt for report in answer.reports}
        events: list[AnyEvent] = []
        for report in answer.reports:
            if report.state is not AttemptState.RUNNING:
                events += self.events_for_end(report)
            elif shard.record.is_current(report.attempt):
                shard.grant_bound_by_attempt[report.attempt] = until
        never = AttemptState.NEVER_STARTED
        events += [
            AttemptEnded(attempt, never, "", "not at its agent", shard.wall_clock())
            for attempt in held
            if attempt not in listed and shard.record.is_current(attempt)
        ]
        if events:
            shard.run_in_background(shard.commit_all(events))

    def events_for_end(self, report: AttemptReport) -> list[AnyEvent]:
        """Return what is to be committed for an end that was reported."""
        # Reports come twice and late; one of an attempt no longer current is
        # acknowledged and changes nothing.
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
        # What went on from a checkpoint, or was cut off, says nothing of how long a
        # whole task runs.
        whole = report.state is AttemptState.SUCCEEDED and not task.checkpoint
        if spec.job_class and whole:
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
        # VMs close themselves to a job that fails there, so that a job of many
        # tasks may never see one of them fail on several.
        job = shard.record.job_by_id[job_id]
        return self._stop_events_if_failing(job, {task.vm: 1})

    async def end_lapsed(self) -> None:
        """End the attempts whose grants have surely lapsed, forget old jobs."""
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
        events: list[AnyEvent] = []
        for attempt in lapsed:
            events += self._events_for_lapsed(attempt, wall)
        if now - self._last_cleanup_at > CLEANUP_INTERVAL_SECONDS:
            self._last_cleanup_at = now
            events += self._jobs_to_forget(wall)
            for mapping in (shard.grant_bound_by_attempt, self._end_report_by_attempt):
                for attempt in [a for a in mapping if a not in current]:
                    del mapping[attempt]
        if events:
            await shard.commit_all(events)

    def _events_for_lapsed(self, attempt: AttemptId, wall: float) -> list[AnyEvent]:
        # Its end may be known although it could not be committed while the store
        # was down; the task must resume from that checkpoint and not from before.
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


def _failed_vms_if_failing(job: JobRecord, failures_by_vm: dict[VmName, int]) -> str:
    """Return where a job's tasks failed, if on several VMs and none succeeded.

    Parameters: `failures_by_vm` are failures that the record does not have yet.
    """
    if any(task.state is TaskState.SUCCEEDED for task in job.tasks):
        return ""
    failed_on = set(failures_by_vm).union(*(task.failed_on for task in job.tasks))
    failures = sum(failures_by_vm.values()) + sum(task.failures for task in job.tasks)
    if len(failed_on) < MIN_FAILED_VMS_TO_STOP or failures < MIN_FAILURES_TO_STOP:
        return ""
    return ", ".join(sorted(failed_on))
