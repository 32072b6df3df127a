"""Placement of pending tasks: reserve at an agent, commit the assignment, start.

The shard's owner calls `Placer.place` each round. Each placement runs in its own
asyncio task, so that a slow agent delays only the attempt requested from it. The
journal writes the assignments in groups.
"""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from wagtailcleat.batch.grants import GrantManager
from wagtailcleat.batch.journal import CommitOutcome
from wagtailcleat.batch.placement import (
    Candidate,
    infeasible_reason,
    order_by_best_fit,
    sample_any,
    sample_candidates,
    usable_agents,
)
from wagtailcleat.batch.record import Assigned, JobRecord, TaskRecord
from wagtailcleat.batch.shard import CALL_TIMEOUT_SECONDS, Shard
from wagtailcleat.batch.shards import team_shards
from wagtailcleat.configuration.models import team_named
from wagtailcleat.ids import AttemptId, JobId, TaskId, TeamName
from wagtailcleat.logs import part_logger
from wagtailcleat.resources import Resources
from wagtailcleat.wire.attempts import (
    AttemptReport,
    NoRoom,
    Release,
    Reserve,
    Reserved,
    Start,
)
from wagtailcleat.wire.jobs import JobSpec
from wagtailcleat.wire.membership import Member
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.results import Done
from wagtailcleat.wire.task_ids import attempt_id

log = part_logger("batch")

MAX_CONCURRENT_PLACEMENTS = 32
MAX_RESERVE_TRIES = 4
MAX_START_TRIES = 4
START_RETRY_SECONDS = 0.2
NO_ROOM_BACKOFF_SECONDS = 0.25


@dataclass(frozen=True)
class Placement:
    """An attempt and the reservation that an agent made for it."""

    attempt: AttemptId
    job: JobRecord
    task: TaskRecord
    member: Member
    reserved: Reserved


class Placer:
    """Places the pending tasks of one shard."""

    def __init__(self, shard: Shard, grants: GrantManager) -> None:
        """Place the tasks of `shard`."""
        self.starts = 0
        self._shard = shard
        self._grant_manager = grants
        self._job_by_placing_task: dict[TaskId, JobRecord] = {}
        self._last_number_by_task: dict[TaskId, int] = {}
        self._retry_at_by_job: dict[JobId, float] = {}

    def place(self) -> None:
        """Start placing the first pending tasks, within their teams' quotas."""
        shard = self._shard
        if shard.journal.store.is_circuit_open:
            # No assignment can be committed, so reservations would block room in
            # vain.
            return
        if not shard.record.pending_count():
            return
        agents = usable_agents(
            shard.view, shard.in_force.configuration, shard.journal.zones_out
        )
        quota_left_by_team: dict[TeamName, Resources] = {}
        for job, tasks in shard.record.pending():
            if len(self._job_by_placing_task) >= MAX_CONCURRENT_PLACEMENTS:
                break
            if shard.clock() < self._retry_at_by_job.get(job.spec.id, 0.0):
                continue
            team = job.spec.team
            if team not in quota_left_by_team:
                quota_left_by_team[team] = self._quota_left(team)
            quota_left = quota_left_by_team[team]
            quota_left_by_team[team] = self._place_job(job, tasks, quota_left, agents)

    def _place_job(
        self,
        job: JobRecord,
        tasks: Iterator[tuple[TaskId, TaskRecord]],
        quota_left: Resources,
        agents: list[Member],
    ) -> Resources:
        """Start placing a job's tasks; return what is left of its team's quota."""
        size = job.spec.task.size
        for task_id, task in tasks:
            full = len(self._job_by_placing_task) >= MAX_CONCURRENT_PLACEMENTS
            if full or not size.fits(quota_left):
                break
            if task_id in self._job_by_placing_task:
                continue
            quota_left = quota_left - size
            self._job_by_placing_task[task_id] = job
            work = self._place_task(task_id, job, task, agents)
            self._shard.run_in_background(work)
        return quota_left

    async def _place_task(
        self, task_id: TaskId, job: JobRecord, task: TaskRecord, agents: list[Member]
    ) -> None:
        # An attempt number is never reused. If its reservation was released, the
        # agent refuses the attempt for good, so that a delayed start order can't run
        # it.
        number = max(task.attempt, self._last_number_by_task.get(task_id, 0)) + 1
        self._last_number_by_task[task_id] = number
        try:
            attempt = attempt_id(task_id, number)
            placement = await self._reserve(attempt, job, task, agents)
            if placement is None:
                backoff = NO_ROOM_BACKOFF_SECONDS * self._shard.random.uniform(0.5, 1.5)
                self._retry_at_by_job[job.spec.id] = self._shard.clock() + backoff
                return
            self._retry_at_by_job.pop(job.spec.id, None)
            if not await self._assign(placement):
                await self._release(attempt, placement.member)
                return
        finally:
            del self._job_by_placing_task[task_id]
        del self._last_number_by_task[task_id]
        await self._start(placement)

    def _quota_left(self, team: TeamName) -> Resources:
        shard = self._shard
        found = team_named(shard.in_force.configuration, team)
        if found is None:
            return Resources()
        times_listed = team_shards(found, shard.shard_count).count(shard.id)
        share = times_listed / found.shards
        left = Resources(
            found.cores * share,
            int(found.memory_mb * share),
            int(found.accelerators * share),
        )
        left = left - shard.record.assigned_resources(team)
        for job in self._job_by_placing_task.values():
            if job.spec.team == team:
                left = left - job.spec.task.size
        return left

    async def _reserve(
        self,
        attempt: AttemptId,
        job: JobRecord,
        task: TaskRecord,
        agents: list[Member],
    ) -> Placement | None:
        size = self._size_to_reserve(job.spec)
        found = self._candidates(job.spec, task, agents, size)
        for candidate in found[:MAX_RESERVE_TRIES]:
            member = candidate.member
            answer = await self._request_reservation(attempt, job.spec, member, size)
            if isinstance(answer, Reserved):
                return Placement(attempt, job, task, member, answer)
            if isinstance(answer, Lost) and answer.sent:
                # The agent may have reserved the room although the answer was lost.
                self._shard.run_in_background(self._release(attempt, member))
        return None

    def _size_to_reserve(self, spec: JobSpec) -> Resources:
        """Return the size to reserve: the class's estimate if a VM can hold it.

        Return the declared size otherwise.
        """
        declared = spec.task.size
        shard = self._shard
        estimate = shard.usage_estimates.estimate_size(
            spec.team, spec.job_class, declared
        )
        if estimate == declared:
            return declared
        task = msgspec.structs.replace(spec.task, size=estimate)
        larger = msgspec.structs.replace(spec, task=task)
        too_large = infeasible_reason(shard.in_force.configuration, larger)
        return declared if too_large else estimate

    def _candidates(
        self, spec: JobSpec, task: TaskRecord, agents: list[Member], size: Resources
    ) -> list[Candidate]:
        shard = self._shard
        found = sample_candidates(
            agents,
            task,
            size,
            view=shard.view,
            rng=shard.random,
            now=shard.clock(),
        )
        if not found and spec.urgent:
            # An agent makes room for urgent work by evicting work that is not.
            found = sample_any(agents, task, rng=shard.random)
        configuration = shard.in_force.configuration
        ordered = order_by_best_fit(found, size, configuration, shard.view.me.vm)
        # The sort is stable: VMs of one penalty level stay in best-fit order.
        return sorted(
            ordered,
            key=lambda c: shard.penalties.level(
                configuration, c.member.vm, spec.job_class
            ),
        )

    async def _request_reservation(
        self, attempt: AttemptId, spec: JobSpec, member: Member, size: Resources
    ) -> Reserved | Lost | None:
        shard = self._shard
        request = Reserve(
            attempt,
            shard.id,
            shard.journal.epoch,
            size,
            spec.job_class,
            spec.urgent,
            shard.penalties.expected_slowdown(
                shard.in_force.configuration, member.vm, spec.job_class
            ),
        )
        answer = await shard.peers.call(
            member.host, member.port, request, timeout=CALL_TIMEOUT_SECONDS
        )
        if isinstance(answer, Reserved | NoRoom):
            shard.view.record_free(member.node, answer.free, shard.clock())
            shard.penalties.add(
                shard.in_force.configuration,
                member.vm,
                spec.job_class,
                answer.penalty,
            )
        return answer if isinstance(answer, Reserved | Lost) else None

    async def _assign(self, placement: Placement) -> bool:
        shard, attempt = self._shard, placement.attempt
        event = Assigned(
            attempt,
            placement.member.vm,
            placement.member.node,
            placement.reserved.incarnation,
            shard.wall_clock(),
        )
        outcome = await shard.journal.commit([event])
        # The job may have been cancelled between the reservation and the commit.
        if outcome is not CommitOutcome.COMMITTED or not shard.record.is_current(
            attempt
        ):
            return False
        shard.grant_bound_by_attempt[attempt] = shard.grant_bound_from(shard.clock())
        return True

    async def _start(self, placement: Placement) -> None:
        shard = self._shard
        order = Start(
            placement.attempt,
            shard.id,
            shard.journal.epoch,
            placement.job.spec.task.command,
            shard.timing.grant,
            placement.task.checkpoint,
            shard.in_force.revision,
        )
        member = placement.member
        for _ in range(MAX_START_TRIES):
            answer = await shard.peers.call(
                member.host, member.port, order, timeout=CALL_TIMEOUT_SECONDS
            )
            if isinstance(answer, Done):
                self.starts += 1
                return
            if isinstance(answer, AttemptReport):
                log.info(
                    "An attempt was not started or has ended already",
                    extra={
                        "attempt": answer.attempt,
                        "vm": member.vm,
                        "state": answer.state.value,
                        "why": answer.reason,
                    },
                )
                await shard.commit_all(self._grant_manager.events_for_end(answer))
                return
            await asyncio.sleep(START_RETRY_SECONDS)
        log.warning(
            "A start order was not answered; the attempt ends with its grant",
            extra={"attempt": placement.attempt, "vm": member.vm},
        )

    async def _release(self, attempt: AttemptId, member: Member) -> None:
        order = Release(attempt)
        await self._shard.peers.call(
            member.host, member.port, order, timeout=CALL_TIMEOUT_SECONDS
        )
