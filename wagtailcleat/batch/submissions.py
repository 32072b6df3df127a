"""Callers' requests on a shard's jobs: submit, show, list and cancel.

The shard's owner passes them on from the entries.
"""

from msgspec.structs import replace

from wagtailcleat.batch.accounts import encode_account
from wagtailcleat.batch.journal import CommitOutcome
from wagtailcleat.batch.placement import infeasible_reason
from wagtailcleat.batch.record import JobAccepted, JobCancelled, JobRecord
from wagtailcleat.batch.shard import Shard
from wagtailcleat.batch.shards import job_name
from wagtailcleat.configuration.models import team_named
from wagtailcleat.errors import Code
from wagtailcleat.wire.jobs import (
    Behind,
    CancelJob,
    JobAccount,
    JobAccounts,
    JobSpec,
    ListJobs,
    ShowJob,
    SubmitJob,
)
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.results import Refused

MAX_OPEN_TASKS_PER_SHARD = 20_000
MAX_JOBS_PER_SHARD = 2_000
RETRY_AFTER_SECONDS = 2.0


class Submissions:
    """Answers callers from the committed state and commits their requests."""

    def __init__(self, shard: Shard) -> None:
        """Serve requests on the jobs of `shard`."""
        self._shard = shard

    async def submit(self, message: SubmitJob) -> AnyMessage:
        """Accept a job and return its account once the store has it.

        Submitting the same job again returns its account. Return `Behind` if the
        configuration here is older than the sender's, or `Refused` with the reason.
        """
        shard, sent = self._shard, message.spec
        existing = shard.record.job_by_id.get(sent.id)
        if existing is not None:
            return self._answer_existing(existing, sent)
        if shard.in_force.revision < message.revision:
            # A configuration that the sender has may not have reached this process
            # yet, and a team that was just added would be refused as unknown.
            return Behind()
        now = shard.wall_clock()
        spec = sent
        if spec.deadline == 0:
            spec = replace(spec, deadline=round(now + spec.deadline_seconds, 3))
        refusal = self._refusal(spec)
        if refusal is not None:
            return refusal
        outcome = await shard.journal.commit([JobAccepted(spec, now)])
        shard.wake.set()
        existing = shard.record.job_by_id.get(sent.id)
        if outcome is CommitOutcome.COMMITTED and existing is not None:
            return self._answer_existing(existing, sent)
        if outcome is CommitOutcome.UNKNOWN:
            return Refused(
                Code.OUTCOME_UNKNOWN.value,
                "the shard's owner changed meanwhile; submit again, it is one job",
                RETRY_AFTER_SECONDS,
            )
        return Refused(
            Code.NOT_RUN.value,
            "the job was not accepted: the store does not answer",
            RETRY_AFTER_SECONDS,
        )

    async def show(self, message: ShowJob) -> AnyMessage:
        """Return a job's account, or `Refused` if there is no such job."""
        job = self._shard.record.job_by_id.get(message.id)
        if job is None:
            return Refused(Code.NOT_FOUND.value, "there is no such job")
        return self._account(job)

    async def list_jobs(self, message: ListJobs) -> AnyMessage:
        """Return the accounts of a team's jobs in this shard."""
        jobs = self._shard.record.job_by_id.values()
        of_team = [job for job in jobs if job.spec.team == message.team]
        return JobAccounts([self._account(job).text for job in of_team])

    async def cancel(self, message: CancelJob) -> AnyMessage:
        """Cancel a job and return its account.

        Running tasks are stopped when their agents renew the grants.
        """
        shard = self._shard
        job = shard.record.job_by_id.get(message.id)
        if job is None:
            return Refused(Code.NOT_FOUND.value, "there is no such job")
        if job.cancelled or not shard.record.is_open(message.id):
            return self._account(job)
        event = JobCancelled(message.id, "cancelled by its team", shard.wall_clock())
        if await shard.journal.commit([event]) is CommitOutcome.COMMITTED:
            return self._account(job)
        return Refused(
            Code.UNAVAILABLE.value,
            "not cancelled yet: the store does not answer; ask again",
            RETRY_AFTER_SECONDS,
        )

    def _refusal(self, spec: JobSpec) -> Refused | None:
        shard = self._shard
        configuration = shard.in_force.configuration
        team = team_named(configuration, spec.team)
        if team is None:
            return Refused(Code.NOT_FOUND.value, f"no team '{spec.team}' in the rules")
        if not spec.task.size.fits(team.quota):
            return Refused(
                Code.QUOTA.value, "one task alone takes more than the team's quota"
            )
        reason = infeasible_reason(configuration, spec)
        if reason:
            return Refused(Code.INFEASIBLE.value, reason)
        if spec.deadline < shard.wall_clock() + spec.task.run_seconds:
            return Refused(
                Code.INFEASIBLE.value, "its deadline is before a task could end"
            )
        record = shard.record
        tasks = record.open_task_count() + spec.tasks
        if (
            tasks > MAX_OPEN_TASKS_PER_SHARD
            or len(record.job_by_id) >= MAX_JOBS_PER_SHARD
        ):
            return Refused(
                Code.NOT_RUN.value, "the shard is full", 10 * RETRY_AFTER_SECONDS
            )
        return None

    def _answer_existing(self, existing: JobRecord, spec: JobSpec) -> AnyMessage:
        fixed = (
            spec if spec.deadline else replace(spec, deadline=existing.spec.deadline)
        )
        if existing.spec != fixed:
            return Refused(
                Code.CONFLICT.value, "another job of this id was accepted before"
            )
        return self._account(existing)

    def _account(self, job: JobRecord) -> JobAccount:
        now = self._shard.wall_clock()
        return JobAccount(encode_account(job, job_name(job.spec.id), now))
