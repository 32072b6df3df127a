"""Batch attempts at an agent: reserved, started under a grant, reported until known.

The agent counts a grant from when it asked for it, the owner from when it answered,
so the agent's view always ends first. The worker holds the same instant as its
lease: a task whose agent died or was paused is stopped by the worker itself.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

from wagtailcleat.agent.commitments import Commitments
from wagtailcleat.agent.eviction import to_evict
from wagtailcleat.agent.health import PROVEN_SECONDS, Health
from wagtailcleat.clock import Clock
from wagtailcleat.errors import Code
from wagtailcleat.ids import (
    AttemptId,
    Epoch,
    Incarnation,
    JobId,
    NodeId,
    ShardId,
    VmName,
)
from wagtailcleat.logs import part_logger
from wagtailcleat.membership.view import GONE, View
from wagtailcleat.platform.worker import (
    TaskState,
    Worker,
    WorkerRefused,
    WorkerTask,
    WorkerUnreachable,
)
from wagtailcleat.resources import NOTHING, Resources
from wagtailcleat.settings import Timing
from wagtailcleat.wire.attempts import (
    AttemptReport,
    AttemptState,
    Evict,
    Grants,
    NoRoom,
    Release,
    RenewGrants,
    Reserve,
    Reserved,
    Start,
)
from wagtailcleat.wire.membership import Member
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.outlet import Outlet
from wagtailcleat.wire.peers import Peers
from wagtailcleat.wire.results import Done, Refused
from wagtailcleat.wire.streams import Stream
from wagtailcleat.wire.takeover import Adopt, Adopted
from wagtailcleat.wire.task_ids import job_of, shard_of

log = part_logger("attempts")

RENEWALS_A_GRANT = 3.0
CALL_SECONDS = 2.0
STOP_BEFORE_SHARE = 0.1
STOP_BEFORE_MAX_SECONDS = 2.0
MAX_DUMPED = 200
HAND_ON_PAUSE_SECONDS = 0.1
MAX_TOMBSTONES = 10_000
POLL_SHARE = 0.05
MAX_POLL_SECONDS = 0.5
STATE_BY_TASK_STATE = {
    TaskState.RUNNING: AttemptState.RUNNING,
    TaskState.SUCCEEDED: AttemptState.SUCCEEDED,
    TaskState.FAILED: AttemptState.FAILED,
    TaskState.STOPPED: AttemptState.EVICTED,
    TaskState.LAPSED: AttemptState.LAPSED,
}

Closed = Callable[[], str]
Refuses = Callable[[str, Resources], str]
"""Tells why a task of a job class and size is not taken; empty where it is."""
Penalty = Callable[[str, float | None], float | None]
"""Tells how much a core of a job class slows the services here down, if known.

Is handed what the owner knows of it from elsewhere.
"""
ReadEpoch = Callable[[ShardId], Awaitable[Epoch | None]]


class Phase(Enum):
    """How far an attempt has come at this agent."""

    RESERVED = "reserved"
    STARTING = "starting"
    RUNNING = "running"
    ENDED = "ended"


@dataclass
class Attempt:
    """One attempt at this agent; `grant_until` is on the VM's clock."""

    id: AttemptId
    shard: ShardId
    phase: Phase
    since: float
    reserved_until: float = 0.0
    grant_until: float = 0.0
    report: AttemptReport | None = None
    job_class: str = ""
    urgent: bool = False
    stopping: str = ""
    used: Resources = NOTHING
    """The most it was seen to use, from lagged usage."""


class Attempts:
    """All attempts at this VM, and the renewal of their grants."""

    def __init__(
        self,
        worker: Worker,
        commitments: Commitments,
        view: View,
        peers: Peers,
        *,
        vm: VmName,
        incarnation: Incarnation,
        clock: Clock,
        timing: Timing,
        closed: Closed,
        must_leave: Closed,
        read_epoch: ReadEpoch,
    ) -> None:
        """Run attempts through `worker` within `commitments`.

        Parameters: `closed` tells why no task may start now, or is empty, and
        `must_leave` why those that run may not stay; `read_epoch` reads a shard's
        epoch from the store.
        """
        self.attempt_by_id: dict[AttemptId, Attempt] = {}
        self.epoch_by_shard: dict[ShardId, Epoch] = {}
        self.ready = False
        self.health = Health()
        self.refuses: Refuses = lambda job_class, size: ""
        self.penalty: Penalty = lambda job_class, told: told
        self._worker = worker
        self._commitments = commitments
        self._view = view
        self._peers = peers
        self._vm = vm
        self._incarnation = incarnation
        self._clock = clock
        self._timing = timing
        self._closed = closed
        self._must_leave = must_leave
        self._read_epoch = read_epoch
        self._owner_by_shard: dict[ShardId, NodeId] = {}
        self._unfenced: set[ShardId] = set()
        self._look_again = asyncio.Event()
        self._never: dict[AttemptId, None] = {}
        self._asked_at_by_shard: dict[ShardId, float] = {}
        self._urgent_renewal = asyncio.Event()

    def handlers(
        self,
    ) -> dict[type, Callable[[Stream, AnyMessage, Outlet], Awaitable[AnyMessage]]]:
        """Return what answers each message of this part."""
        return {
            Reserve: self._on_reserve,
            Start: self._on_start,
            Release: self._on_release,
            Adopt: self._on_adopt,
            Evict: self._on_evict,
        }

    def running(self) -> list[Attempt]:
        """Return the attempts that the worker runs, or may run."""
        phases = (Phase.STARTING, Phase.RUNNING)
        return [a for a in self.attempt_by_id.values() if a.phase in phases]

    def dump(self) -> dict[str, object]:
        """Return each attempt's state for the state dump."""
        now = self._clock()
        return {
            attempt.id: {
                "phase": attempt.phase.value,
                "grant_seconds": round(attempt.grant_until - now, 3),
                "report": attempt.report.state.value if attempt.report else None,
            }
            for attempt in list(self.attempt_by_id.values())[:MAX_DUMPED]
        }

    # ---- at start

    async def rebuild(self) -> None:
        """Take over what the worker runs; until then no order is taken.

        An order that an earlier process of this agent sent to the worker may
        arrive after the list was read. It carries a lease no longer than the
        reservation, so the list is read again once that has passed.
        """
        await self._take_over()
        await asyncio.sleep(self._timing.reservation)
        await self._take_over()
        self.ready = True
        while self._unfenced:
            await self._fence()
            await asyncio.sleep(MAX_POLL_SECONDS)

    async def _fence(self) -> None:
        # The earlier process of this agent may have taken an order of a new owner,
        # and with its memory the epoch is lost. An older owner that still grants
        # must not renew what the new one may already have given to another VM.
        for shard in list(self._unfenced):
            epoch = await self._read_epoch(shard)
            if epoch is not None:
                self._knows(shard, epoch, None)

    async def _take_over(self) -> None:
        while True:
            tasks = await self._worker.tasks()
            if not isinstance(tasks, WorkerUnreachable):
                break
            await asyncio.sleep(MAX_POLL_SECONDS)
        for task in tasks:
            self._take_over_one(task)

    def _take_over_one(self, task: WorkerTask) -> None:
        if task.attempt in self.attempt_by_id:
            return
        shard = shard_of(task.attempt)
        attempt = Attempt(task.attempt, shard, Phase.RUNNING, self._clock())
        attempt.grant_until = task.lease_until
        if shard not in self.epoch_by_shard:
            self._unfenced.add(shard)
        self.attempt_by_id[task.attempt] = attempt
        if task.state is TaskState.RUNNING:
            self._commitments.adopt(task.attempt, task.size)
        else:
            self._ended(attempt, task)

    # ---- owners' orders

    async def _on_reserve(
        self, stream: Stream, message: AnyMessage, outlet: Outlet
    ) -> AnyMessage:
        assert isinstance(message, Reserve)
        now = self._clock()
        why = self._why_not(message.shard, message.epoch, stream)
        why = why or self._why_unhealthy(job_of(message.attempt), now)
        if message.attempt in self._never or message.attempt in self.attempt_by_id:
            why = why or "asked for here before"
        penalty = self.penalty(message.job_class, message.penalty)
        if not why and not message.urgent:
            why = self.refuses(message.job_class, message.size)
        if why:
            return NoRoom(why, self._commitments.free(now), penalty)
        if message.urgent:
            await self._make_room(message.size)
            now = self._clock()
        until = now + self._timing.reservation
        if not self._commitments.reserve(
            message.attempt, message.size, until=until, now=now
        ):
            return NoRoom("not enough is free", self._commitments.free(now), penalty)
        self.attempt_by_id[message.attempt] = Attempt(
            message.attempt,
            message.shard,
            Phase.RESERVED,
            now,
            reserved_until=until,
            job_class=message.job_class,
            urgent=message.urgent,
        )
        free = self._commitments.free(now)
        return Reserved(self._timing.reservation, free, self._incarnation, penalty)

    def _why_unhealthy(self, job: JobId, now: float) -> str:
        unproven = sum(
            job_of(a.id) == job
            and a.phase is not Phase.ENDED
            and now - a.since < PROVEN_SECONDS
            for a in self.attempt_by_id.values()
        )
        return self.health.why_closed(job, now, unproven)

    async def _make_room(self, size: Resources) -> None:
        evictable = [a.id for a in self._least_wanted() if not a.urgent]
        chosen = to_evict(self._commitments, evictable, size, self._clock())
        await self._evict_these(chosen, "urgent work needs its room")

    def _least_wanted(self) -> list[Attempt]:
        """Return what runs: not urgent first, then the latest start first."""
        return sorted(self.running(), key=lambda a: (a.urgent, -a.since))

    async def _on_start(
        self, stream: Stream, message: AnyMessage, outlet: Outlet
    ) -> AnyMessage:
        assert isinstance(message, Start)
        if not self.ready:
            # The worker may run it: an earlier process of this agent may have
            # started it and died before it answered.
            return Refused(Code.UNAVAILABLE.value, "still listing what runs here", 1.0)
        attempt = self.attempt_by_id.get(message.attempt)
        if attempt is not None and attempt.phase is Phase.ENDED and attempt.report:
            return attempt.report
        if attempt is not None and attempt.phase is not Phase.RESERVED:
            return Done()
        now = self._clock()
        why = self._why_not(message.shard, message.epoch, stream)
        if attempt is None or now > attempt.reserved_until:
            why = why or "its reservation has lapsed"
        if why or attempt is None:
            return self._never_start(message.attempt, message.shard, why)
        if not self._commitments.take(message.attempt, now):
            return self._never_start(message.attempt, message.shard, "no room is held")
        attempt.phase = Phase.STARTING
        attempt.since = now
        return await self._start(attempt, message)

    async def _start(self, attempt: Attempt, message: Start) -> AnyMessage:
        # The reservation was made before the assignment was committed, and the
        # worker refuses a lease that has lapsed. So a start can't happen later
        # than a reservation's length after the commit, whatever is paused where;
        # and no commit places a task in a zone after the zone was taken out.
        size = self._commitments.held_by_attempt[attempt.id].size
        reserved_at = attempt.reserved_until - self._timing.reservation
        attempt.grant_until = reserved_at + message.grant
        task = await self._worker.start(
            attempt.id,
            message.command,
            size,
            lease_until=attempt.reserved_until,
            checkpoint=message.checkpoint,
        )
        if isinstance(task, WorkerRefused):
            return self._never_start(attempt.id, attempt.shard, f"worker: {task.code}")
        if isinstance(task, WorkerUnreachable):
            # Whether it runs shows in the worker's list.
            return Refused(Code.OUTCOME_UNKNOWN.value, task.reason)
        if attempt.report is not None:
            # Seen running and evicted before the worker's answer came here.
            return attempt.report
        attempt.phase = Phase.RUNNING
        attempt.since = self._clock()
        await self._worker.renew({attempt.id: attempt.grant_until})
        return Done()

    def _never_start(
        self, attempt_id: AttemptId, shard: ShardId, why: str
    ) -> AttemptReport:
        # Remembered, so that the same order coming late is refused as well.
        self._commitments.release(attempt_id)
        self.attempt_by_id.pop(attempt_id, None)
        self._never[attempt_id] = None
        while len(self._never) > MAX_TOMBSTONES:
            del self._never[next(iter(self._never))]
        return AttemptReport(attempt_id, shard, AttemptState.NEVER_STARTED, "", why)

    async def _on_release(
        self, stream: Stream, message: AnyMessage, outlet: Outlet
    ) -> AnyMessage:
        assert isinstance(message, Release)
        attempt = self.attempt_by_id.get(message.attempt)
        if attempt is not None and attempt.phase is Phase.RESERVED:
            self._never_start(attempt.id, attempt.shard, "released")
        return Done()

    async def _on_adopt(
        self, stream: Stream, message: AnyMessage, outlet: Outlet
    ) -> AnyMessage:
        assert isinstance(message, Adopt)
        if not self.ready:
            return Refused(Code.UNAVAILABLE.value, "still listing what runs here", 1.0)
        if not self._knows(message.shard, message.epoch, stream.peer):
            return Refused(Code.CONFLICT.value, "a newer owner is known here")
        reports = []
        for attempt in list(self.attempt_by_id.values()):
            if attempt.shard != message.shard:
                continue
            if attempt.phase is Phase.RESERVED:
                self._never_start(attempt.id, attempt.shard, "its owner changed")
            else:
                reports.append(self._report(attempt))
        return Adopted(self._vm, self._incarnation, reports)

    async def _on_evict(
        self, stream: Stream, message: AnyMessage, outlet: Outlet
    ) -> AnyMessage:
        assert isinstance(message, Evict)
        attempt = self.attempt_by_id.get(message.attempt)
        known = self._knows(message.shard, message.epoch, stream.peer)
        if attempt is None or not known:
            return Refused(Code.NOT_FOUND.value, "no such attempt of this owner here")
        await self.evict(attempt, message.reason)
        return Done()

    def _why_not(self, shard: ShardId, epoch: Epoch, stream: Stream) -> str:
        if not self.ready:
            return "still listing what runs here"
        if not self._knows(shard, epoch, stream.peer):
            return "a newer owner is known here"
        return self._closed()

    def _knows(self, shard: ShardId, epoch: Epoch, owner: NodeId | None) -> bool:
        """Take an owner's epoch; tell whether no newer one is known."""
        if epoch < self.epoch_by_shard.get(shard, Epoch(0)):
            return False
        self.epoch_by_shard[shard] = epoch
        self._unfenced.discard(shard)
        if owner is not None:
            self._owner_by_shard[shard] = owner
        return True

    # ---- ends

    async def evict(self, attempt: Attempt, reason: str) -> None:
        """Checkpoint and stop an attempt; its end is then reported."""
        if attempt.phase is not Phase.RUNNING or attempt.stopping:
            return
        attempt.stopping = reason
        try:
            task = await self._worker.stop(attempt.id, checkpoint=True)
            if isinstance(task, WorkerTask) and task.state is not TaskState.RUNNING:
                self._ended(attempt, task)
        finally:
            # An answer that was lost, or a caller that went, must not leave an
            # attempt that nobody stops any more.
            if attempt.report is None:
                attempt.stopping = ""

    async def evict_all(self, reason: str) -> None:
        """Checkpoint and stop every attempt."""
        await asyncio.gather(*(self.evict(a, reason) for a in self.running()))

    async def _evict_these(self, attempts: list[AttemptId], reason: str) -> None:
        chosen = [self.attempt_by_id[a] for a in attempts if a in self.attempt_by_id]
        await asyncio.gather(*(self.evict(attempt, reason) for attempt in chosen))

    def look_soon(self) -> None:
        """Look at once: the configuration changed."""
        self._look_again.set()

    async def hand_on(self, reason: str) -> None:
        """Checkpoint and stop everything, and wait until owners know of it."""
        while self.attempt_by_id:
            await self.evict_all(reason)
            await self.look()
            await self.renew_all()
            await asyncio.sleep(HAND_ON_PAUSE_SECONDS)

    def _ended(self, attempt: Attempt, task: WorkerTask) -> None:
        if attempt.phase is Phase.ENDED:
            return
        state = STATE_BY_TASK_STATE[task.state]
        if state is AttemptState.SUCCEEDED:
            self.health.succeeded()
        elif state is AttemptState.FAILED:
            self.health.failed(job_of(attempt.id), self._clock())
        attempt.phase = Phase.ENDED
        attempt.report = AttemptReport(
            attempt.id,
            attempt.shard,
            state,
            task.checkpoint,
            attempt.stopping,
            attempt.used,
            self._clock() - attempt.since,
        )
        self._commitments.release(attempt.id)
        self._urgent_renewal.set()

    def _report(self, attempt: Attempt) -> AttemptReport:
        if attempt.report is not None:
            return attempt.report
        return AttemptReport(attempt.id, attempt.shard, AttemptState.RUNNING)

    # ---- the rounds

    async def watch(self) -> None:
        """See what ended and stop what has no grant left, until cancelled."""
        while True:
            await self.look()
            pause = min(MAX_POLL_SECONDS, self._timing.grant * POLL_SHARE)
            try:
                async with asyncio.timeout(pause):
                    await self._look_again.wait()
            except TimeoutError:
                continue
            self._look_again.clear()

    async def look(self) -> None:
        """Look once at the worker's tasks."""
        self._drop_lapsed_reservations()
        if not self.running():
            return
        await self._keep_to_capacity()
        asked_at = self._clock()
        tasks = await self._worker.tasks()
        if isinstance(tasks, WorkerUnreachable):
            return
        task_by_attempt = {task.attempt: task for task in tasks}
        await asyncio.gather(
            *(
                self._look_at(attempt, task_by_attempt.get(attempt.id), asked_at)
                for attempt in self.running()
            )
        )
        await self._renew_leases(task_by_attempt)

    async def _keep_to_capacity(self) -> None:
        # Operators may take the zone out, shrink the VM or place a service on it
        # while it is full: what runs then makes way at once.
        why = self._must_leave()
        if why:
            await self.evict_all(why)
            return
        now = self._clock()
        if not self._commitments.over(now):
            return
        for attempt in list(self.attempt_by_id.values()):
            if attempt.phase is Phase.RESERVED:
                self._never_start(attempt.id, attempt.shard, "the VM holds less now")
        evictable = [attempt.id for attempt in self._least_wanted()]
        chosen = to_evict(self._commitments, evictable, NOTHING, now) or evictable
        await self._evict_these(chosen, "the VM holds less now")

    async def _look_at(
        self, attempt: Attempt, task: WorkerTask | None, asked_at: float
    ) -> None:
        if task is None:
            # A start is on its way to the worker until its lease has lapsed.
            if attempt.phase is Phase.STARTING and asked_at < attempt.reserved_until:
                return
            # It was started after the list was asked for, so the list lacks it.
            if attempt.since >= asked_at:
                return
            lost = WorkerTask(attempt.id, TaskState.LAPSED)
            self._ended(attempt, lost)
            return
        if task.state is not TaskState.RUNNING:
            self._ended(attempt, task)
            return
        attempt.phase = Phase.RUNNING
        margin = min(self._timing.grant * STOP_BEFORE_SHARE, STOP_BEFORE_MAX_SECONDS)
        if self._clock() > attempt.grant_until - margin:
            await self.evict(attempt, "its grant is ending")

    async def _renew_leases(self, task_by_attempt: dict[AttemptId, WorkerTask]) -> None:
        # A renewal that did not reach the worker would let the task lapse although
        # its grant goes on.
        short = {
            attempt.id: attempt.grant_until
            for attempt in self.running()
            if (task := task_by_attempt.get(attempt.id)) is not None
            and task.lease_until < attempt.grant_until
        }
        if short:
            await self._worker.renew(short)

    def _drop_lapsed_reservations(self) -> None:
        now = self._clock()
        for attempt in list(self.attempt_by_id.values()):
            if attempt.phase is Phase.RESERVED and now > attempt.reserved_until:
                self._never_start(attempt.id, attempt.shard, "not started in time")

    async def renew(self) -> None:
        """Renew grants and report ends to each shard's owner, until cancelled."""
        pause = self._timing.grant / RENEWALS_A_GRANT
        while True:
            await self.renew_all()
            try:
                async with asyncio.timeout(pause / 4):
                    await self._urgent_renewal.wait()
            except TimeoutError:
                continue
            self._urgent_renewal.clear()

    async def renew_all(self) -> None:
        """Ask the owner of each shard that is due."""
        now = self._clock()
        due: set[ShardId] = set()
        pause = self._timing.grant / RENEWALS_A_GRANT
        for attempt in self.attempt_by_id.values():
            if attempt.phase is Phase.RESERVED:
                continue
            asked = self._asked_at_by_shard.get(attempt.shard, 0.0)
            if attempt.report is not None or now - asked >= pause:
                due.add(attempt.shard)
        await asyncio.gather(*(self._renew_shard(shard) for shard in due))

    async def _renew_shard(self, shard: ShardId) -> None:
        if shard in self._unfenced:
            return
        for owner in self._owners(shard):
            if await self._ask_owner(shard, owner):
                return

    def _owners(self, shard: ShardId) -> list[Member]:
        # The owner whose order came last is the newest for sure; gossip may still
        # name the one before, or know of one that has sent no order here yet.
        last = self._owner_by_shard.get(shard)
        members = self._view.member_by_node
        told = members.get(last) if last is not None else None
        named = self._view.owner(shard)
        found = [m for m in (told, named) if m is not None and m.state not in GONE]
        return found[:1] if told == named else found

    async def _ask_owner(self, shard: ShardId, owner: Member) -> bool:
        reports = [
            self._report(a)
            for a in self.attempt_by_id.values()
            if a.shard == shard and a.phase is not Phase.RESERVED
        ]
        asked_at = self._clock()
        ask = RenewGrants(
            self._vm,
            self._view.me.node,
            self._incarnation,
            shard,
            self.epoch_by_shard.get(shard, Epoch(0)),
            reports,
            self._commitments.free(asked_at),
        )
        answer = await self._peers.call(
            owner.host, owner.port, ask, timeout=CALL_SECONDS
        )
        if not isinstance(answer, Grants):
            return False
        if not self._knows(shard, answer.epoch, owner.node):
            return False
        self._asked_at_by_shard[shard] = asked_at
        await self._take_grants(answer, asked_at)
        return True

    async def _take_grants(self, answer: Grants, asked_at: float) -> None:
        leases: dict[AttemptId, float] = {}
        for attempt_id, seconds in answer.seconds_by_attempt.items():
            attempt = self.attempt_by_id.get(attempt_id)
            if attempt is None or attempt.phase is Phase.ENDED:
                continue
            attempt.grant_until = max(attempt.grant_until, asked_at + seconds)
            leases[attempt_id] = attempt.grant_until
        if leases:
            await self._worker.renew(leases)
        for attempt_id in answer.acknowledged:
            await self._forget(attempt_id)
        for attempt_id in answer.stop:
            attempt = self.attempt_by_id.get(attempt_id)
            if attempt is not None:
                await self.evict(attempt, "its owner stops it")

    async def _forget(self, attempt_id: AttemptId) -> None:
        attempt = self.attempt_by_id.get(attempt_id)
        if attempt is None or attempt.phase is not Phase.ENDED:
            return
        self._never_start(attempt_id, attempt.shard, "ended")
        await self._worker.forget(attempt_id)
