"""The owner of one shard: accepts jobs, places tasks, hands out grants.

Order of a start: reserve at the agent, commit the assignment, start. An attempt
runs only while its agent holds a grant; the next attempt is committed only after
the last one's end is reported, or its grant has surely lapsed.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from msgspec.structs import replace

from wagtailcleat.batch.accounts import account
from wagtailcleat.batch.journal import Commit, Journal
from wagtailcleat.batch.placement import (
    best_fit,
    candidates,
    feasible,
    usable_agents,
)
from wagtailcleat.batch.record import (
    AnyEvent,
    Assigned,
    AttemptEnded,
    JobAccepted,
    JobCancelled,
    JobForgotten,
    JobRecord,
    JobStopped,
    TaskRecord,
)
from wagtailcleat.batch.shards import name_of, team_shards
from wagtailcleat.clock import Clock
from wagtailcleat.configuration.models import team_named
from wagtailcleat.configuration.parts import InForce
from wagtailcleat.errors import Code
from wagtailcleat.ids import AttemptId, JobId, NodeId, ShardId, TaskId, TeamName, VmName
from wagtailcleat.logs import part_logger
from wagtailcleat.membership.view import View
from wagtailcleat.resources import Resources
from wagtailcleat.settings import Timing
from wagtailcleat.wire.messages import (
    Adopt,
    Adopted,
    AnyMessage,
    AttemptReport,
    AttemptState,
    CancelJob,
    Done,
    Grants,
    JobAccount,
    JobAccounts,
    JobSpec,
    ListJobs,
    Member,
    NoRoom,
    Refused,
    Release,
    RenewGrants,
    Reserve,
    Reserved,
    ShowJob,
    Start,
    SubmitJob,
    attempt_id,
    job_of,
)
from wagtailcleat.wire.streams import Peers

log = part_logger("batch")

CALL_SECONDS = 2.0
LAPSE_MARGIN = 1.05
MAX_PLACED_AT_ONCE = 32
MAX_TASKS_A_SHARD = 20_000
MAX_JOBS_A_SHARD = 2_000
KEEP_ENDED_SECONDS = 86_400.0
RESERVE_TRIES = 4
DISTINCT_FAILURES_TO_STOP = 3
RETRY_AFTER_SECONDS = 2.0
START_TRIES = 4
START_PAUSE_SECONDS = 0.2


@dataclass(frozen=True)
class Placement:
    """A reservation that an agent made for an attempt."""

    attempt: AttemptId
    job: JobRecord
    task: TaskRecord
    member: Member
    reserved: Reserved


@dataclass
class Owner:
    """One shard, owned by this process as long as its journal is not deposed."""

    shard: ShardId
    shards: int
    journal: Journal
    view: View
    in_force: InForce
    peers: Peers
    clock: Clock
    wall_clock: Clock
    timing: Timing
    random: random.Random
    may_grant_until: Callable[[], float]
    """Until when this process may hand out grants, on its clock."""
    granted_until: dict[AttemptId, float] = field(default_factory=dict)
    quarantined: set[VmName] = field(default_factory=set)
    failed_jobs_by_vm: dict[VmName, set[JobId]] = field(default_factory=dict)
    placing: set[TaskId] = field(default_factory=set)
    starts: int = 0
    _wake: asyncio.Event = field(default_factory=asyncio.Event)
    _background: set[asyncio.Task[None]] = field(default_factory=set)

    # ---- taking over

    async def adopt(self, wait_unreachable: float) -> None:
        """Ask every agent of an open attempt what runs there.

        Parameters: `wait_unreachable` seconds must pass before an attempt at an
        agent that can't be asked counts as ended.
        """
        now = self.clock()
        nodes: dict[NodeId, list[tuple[AttemptId, TaskRecord]]] = {}
        for attempt, task in self.journal.record.assigned():
            self.granted_until[attempt] = now + wait_unreachable
            nodes.setdefault(task.node, []).append((attempt, task))
        await asyncio.gather(*(self._adopt_at(n, held) for n, held in nodes.items()))

    async def _adopt_at(
        self, node: NodeId, held: list[tuple[AttemptId, TaskRecord]]
    ) -> None:
        member = self.view.member_by_node.get(node)
        if member is None:
            return
        ask = Adopt(self.shard, self.journal.epoch)
        answer = await self.peers.call(
            member.host, member.port, ask, timeout=CALL_SECONDS
        )
        if not isinstance(answer, Adopted):
            return
        self.granted_until_by_answer(answer, [attempt for attempt, _ in held])

    def granted_until_by_answer(self, answer: Adopted, held: list[AttemptId]) -> None:
        """Take an agent's word on which attempts run, and end the others.

        The agent refuses orders of earlier epochs from its answer on, so what it
        does not list will never start.
        """
        until = self.clock() + self.timing.grant * LAPSE_MARGIN
        listed = {report.attempt for report in answer.reports}
        events: list[AnyEvent] = []
        for report in answer.reports:
            if report.state is AttemptState.RUNNING:
                self.granted_until[report.attempt] = until
            else:
                events += self._ended_events(report)
        for attempt in held:
            if attempt not in listed and self.journal.record.is_current(attempt):
                events.append(
                    AttemptEnded(
                        attempt,
                        AttemptState.NEVER_STARTED,
                        "",
                        "not at its agent",
                        self.wall_clock(),
                    )
                )
        if events:
            self._in_background(self._commit_ends(events))

    # ---- callers' orders

    async def submit(self, message: SubmitJob) -> AnyMessage:
        """Accept a job once it is in the store; the same job twice is one job."""
        spec = message.spec
        known = self.journal.record.job_by_id.get(spec.id)
        if known is not None:
            return self._known(known, spec)
        now = self.wall_clock()
        if spec.deadline == 0:
            spec = replace(spec, deadline=round(now + spec.deadline_seconds, 3))
        refusal = self._why_not(spec)
        if refusal is not None:
            return refusal
        event = JobAccepted(spec, now)
        outcome = await self.journal.commit([event])
        known = self.journal.record.job_by_id.get(spec.id)
        if outcome is Commit.COMMITTED and known is not None:
            self._wake.set()
            return self._known(known, spec)
        return Refused(
            Code.NOT_RUN.value,
            "the job was not accepted: the store does not answer",
            RETRY_AFTER_SECONDS,
        )

    async def show(self, message: ShowJob) -> AnyMessage:
        """Return a job's account."""
        job = self.journal.record.job_by_id.get(message.id)
        if job is None:
            return Refused(Code.NOT_FOUND.value, "there is no such job")
        return _account(job)

    async def list_jobs(self, message: ListJobs) -> AnyMessage:
        """Return the accounts of a team's jobs in this shard."""
        jobs = self.journal.record.job_by_id.values()
        mine = [job for job in jobs if job.spec.team == message.team]
        return JobAccounts([_account(job).text for job in mine])

    async def cancel(self, message: CancelJob) -> AnyMessage:
        """Cancel a job; running tasks are stopped as their agents hear of it."""
        job = self.journal.record.job_by_id.get(message.id)
        if job is None:
            return Refused(Code.NOT_FOUND.value, "there is no such job")
        if job.cancelled or not job.open():
            return _account(job)
        event = JobCancelled(message.id, "cancelled by its team", self.wall_clock())
        outcome = await self.journal.commit([event])
        if outcome is Commit.COMMITTED:
            return _account(job)
        return Refused(
            Code.UNAVAILABLE.value,
            "not cancelled yet: the store does not answer; ask again",
            RETRY_AFTER_SECONDS,
        )

    # ---- agents' orders

    async def renew(self, message: RenewGrants) -> AnyMessage:
        """Commit the ends an agent reports, and renew its attempts' grants."""
        events: list[AnyEvent] = []
        running: list[AttemptId] = []
        ended: list[AttemptId] = []
        for report in message.reports:
            if report.state is AttemptState.RUNNING:
                running.append(report.attempt)
            else:
                ended.append(report.attempt)
                events += self._ended_events(report)
        self.view.note_free(message.node, message.free, self.clock())
        acknowledged = ended if await self._commit_ends(events) else []
        return self._grants(running, acknowledged)

    def _grants(
        self, running: list[AttemptId], acknowledged: list[AttemptId]
    ) -> AnyMessage:
        now = self.clock()
        if self.journal.deposed.is_set():
            return Refused(Code.UNAVAILABLE.value, "no longer the owner")
        seconds = min(self.timing.grant, self.may_grant_until() - now)
        if seconds <= 0:
            return Refused(Code.UNAVAILABLE.value, "may not grant: the store is lost")
        record = self.journal.record
        seconds_by_attempt: dict[AttemptId, float] = {}
        stop: list[AttemptId] = []
        for attempt in running:
            job = record.job_by_id.get(job_of(attempt))
            current = record.is_current(attempt)
            if not current or job is None or job.cancelled or job.stopped:
                stop.append(attempt)
                if not current:
                    continue
            seconds_by_attempt[attempt] = seconds
            self.granted_until[attempt] = now + seconds * LAPSE_MARGIN
        return Grants(self.journal.epoch, seconds_by_attempt, acknowledged, stop)

    def _ended_events(self, report: AttemptReport) -> list[AnyEvent]:
        # Reports come twice and late; one of an attempt no longer current is
        # acknowledged and changes nothing.
        if not self.journal.record.is_current(report.attempt):
            return []
        event = AttemptEnded(
            report.attempt,
            report.state,
            report.checkpoint,
            report.reason,
            self.wall_clock(),
        )
        events: list[AnyEvent] = [event]
        if report.state is AttemptState.FAILED:
            events += self._after_failure(report)
        return events

    def _after_failure(self, report: AttemptReport) -> list[AnyEvent]:
        record = self.journal.record
        job_id = job_of(report.attempt)
        job = record.job_by_id[job_id]
        task = record.task(report.attempt)
        assert task is not None
        failed_on = {*task.failed_on, task.vm}
        jobs = self.failed_jobs_by_vm.setdefault(task.vm, set())
        jobs.add(job_id)
        if len(jobs) >= DISTINCT_FAILURES_TO_STOP:
            self.quarantined.add(task.vm)
        rules = self.in_force.configuration.rules
        if (
            len(failed_on) >= DISTINCT_FAILURES_TO_STOP
            or task.failures + 1 >= rules.max_attempts
        ) and not job.stopped:
            where = ", ".join(sorted(failed_on))
            reason = f"task {report.attempt.split('/')[1]} failed on {where}"
            return [JobStopped(job_id, reason, self.wall_clock())]
        return []

    async def _commit_ends(self, events: list[AnyEvent]) -> bool:
        if not events:
            return True
        outcome = await self.journal.commit(events)
        self._wake.set()
        return outcome is Commit.COMMITTED

    # ---- placing

    async def run(self) -> None:
        """Place what waits, until deposed."""
        while not self.journal.deposed.is_set():
            self._wake.clear()
            await self._lapse()
            await self._place()
            try:
                async with asyncio.timeout(self.timing.placement):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _lapse(self) -> None:
        now = self.clock()
        events: list[AnyEvent] = []
        for attempt, _ in self.journal.record.assigned():
            until = self.granted_until.setdefault(
                attempt, now + self.timing.grant * LAPSE_MARGIN
            )
            if now > until:
                events.append(
                    AttemptEnded(
                        attempt,
                        AttemptState.LAPSED,
                        "",
                        "its grant lapsed",
                        self.wall_clock(),
                    )
                )
        wall = self.wall_clock()
        events += [
            JobForgotten(job.spec.id)
            for job in self.journal.record.job_by_id.values()
            if job.ended_at and wall - job.ended_at > KEEP_ENDED_SECONDS
        ]
        await self._commit_ends(events)
        open_attempts = {attempt for attempt, _ in self.journal.record.assigned()}
        for attempt in [a for a in self.granted_until if a not in open_attempts]:
            del self.granted_until[attempt]

    async def _place(self) -> None:
        room_by_team: dict[TeamName, Resources] = {}
        asked: list[Coroutine[Any, Any, Placement | None]] = []
        for task_id, job, task in self.journal.record.pending():
            if len(self.placing) + len(asked) >= MAX_PLACED_AT_ONCE:
                break
            if task_id in self.placing:
                continue
            team = job.spec.team
            room = room_by_team.setdefault(team, self._quota_left(team))
            if not job.spec.task.size.fits(room):
                continue
            room_by_team[team] = room - job.spec.task.size
            asked.append(self._reserve(task_id, job, task))
        if not asked:
            return
        placements = [p for p in await asyncio.gather(*asked) if p is not None]
        if placements:
            await self._assign(placements)

    def _quota_left(self, team: TeamName) -> Resources:
        found = team_named(self.in_force.configuration, team)
        if found is None:
            return Resources()
        lanes = team_shards(found, self.shards).count(self.shard)
        share = lanes / found.shards
        quota = Resources(
            found.cores * share,
            int(found.memory_mb * share),
            int(found.accelerators * share),
        )
        return quota - self.journal.record.taken_by(team)

    async def _reserve(
        self, task_id: TaskId, job: JobRecord, task: TaskRecord
    ) -> Placement | None:
        attempt = attempt_id(task_id, task.attempt + 1)
        size = job.spec.task.size
        agents = usable_agents(self.view, self.in_force.configuration, self.quarantined)
        found = candidates(
            agents,
            task,
            size,
            view=self.view,
            tried=set(),
            rng=self.random,
            now=self.clock(),
        )
        self.placing.add(task_id)
        try:
            for candidate in best_fit(found, size)[:RESERVE_TRIES]:
                member = candidate.member
                reserved = await self._ask(attempt, job.spec, member)
                if reserved is not None:
                    return Placement(attempt, job, task, member, reserved)
        finally:
            self.placing.discard(task_id)
        return None

    async def _ask(
        self, attempt: AttemptId, spec: JobSpec, member: Member
    ) -> Reserved | None:
        ask = Reserve(
            attempt,
            self.shard,
            self.journal.epoch,
            spec.task.size,
            spec.job_class,
            spec.urgent,
        )
        answer = await self.peers.call(
            member.host, member.port, ask, timeout=CALL_SECONDS
        )
        if isinstance(answer, Reserved | NoRoom):
            self.view.note_free(member.node, answer.free, self.clock())
        return answer if isinstance(answer, Reserved) else None

    async def _assign(self, placements: list[Placement]) -> None:
        events: list[AnyEvent] = [
            Assigned(
                p.attempt,
                p.member.vm,
                p.member.node,
                p.reserved.incarnation,
                self.wall_clock(),
            )
            for p in placements
        ]
        now = self.clock()
        outcome = await self.journal.commit(events)
        if outcome is not Commit.COMMITTED:
            for placement in placements:
                self._in_background(self._release(placement))
            return
        for placement in placements:
            self.granted_until[placement.attempt] = (
                max(now, self.clock()) + self.timing.grant * LAPSE_MARGIN
            )
            self._in_background(self._start(placement))

    async def _start(self, placement: Placement) -> None:
        order = Start(
            placement.attempt,
            self.shard,
            self.journal.epoch,
            placement.job.spec.task.command,
            self.timing.grant,
            placement.task.checkpoint,
            self.in_force.revision,
        )
        member = placement.member
        for _ in range(START_TRIES):
            answer = await self.peers.call(
                member.host, member.port, order, timeout=CALL_SECONDS
            )
            if isinstance(answer, Done):
                self.starts += 1
                return
            if isinstance(answer, AttemptReport):
                await self._commit_ends(self._ended_events(answer))
                return
            await asyncio.sleep(START_PAUSE_SECONDS)

    async def _release(self, placement: Placement) -> None:
        member = placement.member
        order = Release(placement.attempt)
        await self.peers.call(member.host, member.port, order, timeout=CALL_SECONDS)

    # ---- helpers

    def dump(self) -> dict[str, object]:
        """Return the shard's state for the state dump."""
        record = self.journal.record
        return {
            "epoch": self.journal.epoch,
            "entry": record.number,
            "jobs": len(record.job_by_id),
            "pending": len(record.pending()),
            "assigned": len(record.assigned()),
            "starts": self.starts,
            "quarantined": sorted(self.quarantined),
        }

    def _why_not(self, spec: JobSpec) -> Refused | None:
        configuration = self.in_force.configuration
        team = team_named(configuration, spec.team)
        if team is None:
            return Refused(Code.NOT_FOUND.value, f"no team '{spec.team}' in the rules")
        if not spec.task.size.fits(team.quota):
            return Refused(
                Code.QUOTA.value, "one task alone takes more than the team's quota"
            )
        reason = feasible(configuration, spec)
        if reason:
            return Refused(Code.INFEASIBLE.value, reason)
        if spec.deadline < self.wall_clock() + spec.task.run_seconds:
            return Refused(
                Code.INFEASIBLE.value, "its deadline is before a task could end"
            )
        jobs = self.journal.record.job_by_id.values()
        tasks = sum(len(job.tasks) for job in jobs if job.open())
        if tasks + spec.tasks > MAX_TASKS_A_SHARD or len(jobs) >= MAX_JOBS_A_SHARD:
            return Refused(
                Code.NOT_RUN.value, "the shard is full", 10 * RETRY_AFTER_SECONDS
            )
        return None

    def _known(self, known: JobRecord, spec: JobSpec) -> AnyMessage:
        fixed = spec if spec.deadline else replace(spec, deadline=known.spec.deadline)
        if known.spec != fixed:
            return Refused(
                Code.CONFLICT.value, "another job of this id was accepted before"
            )
        return _account(known)

    def _in_background(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(_ignore(work))
        self._background.add(task)
        task.add_done_callback(self._background.discard)


async def _ignore(work: Coroutine[Any, Any, Any]) -> None:
    await work


def _account(job: JobRecord) -> JobAccount:
    return JobAccount(account(job, name_of(job.spec.id)))
