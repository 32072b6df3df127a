"""Handlers of batch jobs at the callers' port.

Each call is forwarded to the agent that owns the shard of the job.
"""

import asyncio
import json
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec

from wagtailcleat.batch.shards import find_shard, make_job_id, team_shards
from wagtailcleat.checked import convert, read_json
from wagtailcleat.clock import Clock
from wagtailcleat.configuration.models import NAME_PATTERN, Name, Team, team_named
from wagtailcleat.configuration.parts import InForce
from wagtailcleat.entry.context import CallersContext, CallersHandler
from wagtailcleat.errors import Code, SettingsError
from wagtailcleat.ids import JobId, ShardId, TeamName
from wagtailcleat.membership.view import View
from wagtailcleat.resources import Accelerators, Cores, MemoryMb, Resources
from wagtailcleat.wire.jobs import (
    Behind,
    CancelJob,
    JobAccount,
    JobAccounts,
    JobSpec,
    ListJobs,
    NotOwner,
    ShowJob,
    SubmitJob,
    TaskSpec,
)
from wagtailcleat.wire.membership import Member
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.peers import Peers
from wagtailcleat.wire.results import Refused

CALL_TIMEOUT_SECONDS = 6.0
OWNER_WAIT_SECONDS = 2.0
OWNER_POLL_INTERVAL_SECONDS = 0.1
RETRY_AFTER_SECONDS = 1.0
MAX_TASKS = 10_000
MAX_COMMAND_BYTES = 4096
NO_DEADLINE = 0.0

Order = Callable[[ShardId], AnyMessage]


class Submission(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A job as submitted by a caller.

    `deadline_seconds` counts from the acceptance, and holds if there is no `deadline`.
    """

    id: Name
    command: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_COMMAND_BYTES)]
    cores: Cores
    memory_mb: MemoryMb
    accelerators: Accelerators = 0
    tasks: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)] = 1
    deadline: Annotated[float, msgspec.Meta(ge=0)] | None = None
    deadline_seconds: Annotated[float, msgspec.Meta(gt=0, le=31_536_000)] = 86_400.0
    run_seconds: Annotated[float, msgspec.Meta(ge=0, le=31_536_000)] = 0.0
    urgent: bool = False
    job_class: Annotated[str, msgspec.Meta(max_length=64)] = ""


@dataclass(frozen=True)
class JobClient:
    """Sends calls about jobs to the agents that own the shards of the jobs."""

    view: View
    in_force: InForce
    peers: Peers
    shards: int
    clock: Clock

    async def call_owner(
        self, shard: ShardId, message: AnyMessage
    ) -> AnyMessage | Lost:
        """Send a message to the shard's owner and return its answer.

        The call is repeated for `OWNER_WAIT_SECONDS` while the shard has no owner
        that is reachable and up to date.
        """
        give_up_at = self.clock() + OWNER_WAIT_SECONDS
        while True:
            owner = self.view.owner(shard)
            answer: AnyMessage | Lost = Lost(False, "the shard has no owner now")
            if owner is not None:
                answer = await self._call(owner, message)
            is_unsent = isinstance(answer, Lost) and not answer.sent
            if not (is_unsent or isinstance(answer, NotOwner | Behind)):
                return answer
            if self.clock() > give_up_at:
                return Lost(False, "the shard has no owner that is up to date now")
            await asyncio.sleep(OWNER_POLL_INTERVAL_SECONDS)

    async def _call(self, owner: Member, message: AnyMessage) -> AnyMessage | Lost:
        return await self.peers.call(
            owner.host, owner.port, message, timeout=CALL_TIMEOUT_SECONDS
        )


class JobHandlerBase(CallersHandler):
    """Base of the handlers of jobs."""

    def initialize(  # type: ignore[override]
        self, callers: CallersContext, jobs: JobClient
    ) -> None:
        """Store the dependencies of the handler."""
        self.callers = callers
        self.jobs = jobs

    def find_team(self, name: str) -> Team | None:
        """Return the team of that name; if unknown, refuse and return None."""
        configuration = self.jobs.in_force.configuration
        found = team_named(configuration, TeamName(name))
        if found is None:
            self.refuse(Code.NOT_FOUND, f"no team '{name}' in the rules")
        return found

    def write_answer(self, answer: AnyMessage | Lost, status: int = 200) -> None:
        """Answer with the owner's account of the job, or with a refusal."""
        if isinstance(answer, JobAccount):
            self.set_status(status)
            self.set_header("Content-Type", "application/json")
            self.finish(answer.text + "\n")
        elif isinstance(answer, Refused):
            self.refuse(Code(answer.code), answer.reason, answer.retry_after)
        elif isinstance(answer, Lost) and answer.sent:
            self.refuse(
                Code.OUTCOME_UNKNOWN,
                "the owner did not answer; ask again, the same order is done once",
                RETRY_AFTER_SECONDS,
            )
        else:
            reason = answer.reason if isinstance(answer, Lost) else "no owner"
            self.refuse(Code.NOT_RUN, reason, RETRY_AFTER_SECONDS)


class JobsHandler(JobHandlerBase):
    """`/teams/TEAM/jobs`: submit a job, list the jobs."""

    async def get(self, name: str) -> None:
        """Answer with the accounts of all the team's jobs."""
        team = self.find_team(name)
        if team is None:
            return
        shards = set(team_shards(team, self.jobs.shards))
        answers = await asyncio.gather(
            *(self.jobs.call_owner(s, ListJobs(s, TeamName(name))) for s in shards)
        )
        accounts: list[Any] = []
        for answer in answers:
            if not isinstance(answer, JobAccounts):
                self.write_answer(answer)
                return
            accounts += [json.loads(text) for text in answer.texts]
        accounts.sort(key=lambda a: (a["deadline"], a["id"]))
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps({"jobs": accounts}) + "\n")

    async def post(self, name: str) -> None:
        """Submit a job; answer once it is in the store."""
        team = self.find_team(name)
        if team is None:
            return
        try:
            submission = convert(read_json(self.request.body), Submission)
        except SettingsError as error:
            self.refuse(Code.INVALID, error.message)
            return
        spec = _job_spec(submission, team, self.jobs.shards)
        revision = self.jobs.in_force.revision
        answer = await self.jobs.call_owner(spec.shard, SubmitJob(spec, revision))
        self.write_answer(answer, status=201)


class JobHandler(JobHandlerBase):
    """`/teams/TEAM/jobs/ID`: show or cancel a job."""

    async def get(self, name: str, job: str) -> None:
        """Answer with the job's account."""
        found = self._find_job(name, job)
        if found is not None:
            job_id, shard = found
            self.write_answer(await self.jobs.call_owner(shard, ShowJob(job_id, shard)))

    async def delete(self, name: str, job: str) -> None:
        """Cancel the job; idempotent."""
        found = self._find_job(name, job)
        if found is not None:
            job_id, shard = found
            self.write_answer(
                await self.jobs.call_owner(shard, CancelJob(job_id, shard))
            )

    def _find_job(self, name: str, job: str) -> tuple[JobId, ShardId] | None:
        team = self.find_team(name)
        if team is None:
            return None
        if not re.match(NAME_PATTERN, job):
            self.refuse(Code.NOT_FOUND, "there is no such job")
            return None
        shard = find_shard(team, job, self.jobs.shards)
        return make_job_id(shard, TeamName(name), job), shard


def _job_spec(submission: Submission, team: Team, shards: int) -> JobSpec:
    shard = find_shard(team, submission.id, shards)
    size = Resources(submission.cores, submission.memory_mb, submission.accelerators)
    # A deadline computed here from `deadline_seconds` would differ when the same job is
    # submitted again; the owner computes it once, when it first accepts the job.
    return JobSpec(
        make_job_id(shard, TeamName(team.name), submission.id),
        TeamName(team.name),
        shard,
        submission.tasks,
        TaskSpec(submission.command, size, submission.run_seconds),
        submission.deadline if submission.deadline is not None else NO_DEADLINE,
        submission.urgent,
        submission.job_class,
        submission.deadline_seconds,
    )
