"""Fakes on the batch side: a worker with interference, and a store for one shard."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

import msgspec

from standins.serving import Record
from standins.worker_tasks import StartRequest, State, Task
from standins.worker_tasks import Worker as WorkerStandin
from wagtailcleat.batch.journal import CommitOutcome
from wagtailcleat.batch.record import AnyEvent, ShardRecord
from wagtailcleat.clock import Clock
from wagtailcleat.ids import AttemptId, Epoch
from wagtailcleat.platform.worker import (
    WorkerRefused,
    WorkerTask,
    WorkerUnreachable,
    WorkerUsage,
)
from wagtailcleat.resources import Resources

CALL_SECONDS = 0.002
COMMIT_SECONDS = 0.05
TICK_SECONDS = 0.1
OVERUSE_SLOWDOWN = 3.0
LIGHT_LOAD_SHARE = 0.5

SLOWDOWN_BY_PAIR = {
    (0, "ledger"): 3.0,
    (1, "ledger"): 0.05,
    (0, "render"): 0.05,
    (1, "render"): 3.0,
    (0, "index"): 0.05,
    (1, "index"): 0.05,
    (0, "crunch"): 0.3,
    (1, "crunch"): 0.3,
}
"""By how much a whole VM of a job class slows the first and second service down."""


def class_of(task_id: str) -> str:
    """Return the job class, which the bench writes first in a job's name."""
    return task_id.split(".")[2].split("-")[0]


class WorkerModel:
    """The platform's worker as `platform.worker.Worker` shows it, on `clock`."""

    def __init__(self, capacity: Resources, lag: float, clock: Clock) -> None:
        """Hold `capacity`, and show usage `lag` seconds late."""
        self.standin = WorkerStandin(capacity, lag, Record())
        self.up = True
        self.useful_seconds = 0.0
        self.overuse_seconds = 0.0
        self.started = 0
        self._clock = clock
        self._progress_by_id: dict[str, float] = {}

    async def tick(self) -> None:
        """End tasks, sample usage, and count the work done."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = self._clock()
            running = self.standin.running()
            for task in running:
                self.useful_seconds += TICK_SECONDS * task.throttle * task.size.cores
            if self.used() > self.standin.capacity.cores:
                self.overuse_seconds += TICK_SECONDS
            self.standin.settle(now)
            self.standin._sample(now)

    def used(self) -> float:
        """Return the cores in real use."""
        return sum(task.used.cores for task in self.standin.running())

    def pressure(self, service: int, load: float, for_services: float) -> float:
        """Return by how much a service is slowed down now.

        Parameters: `load` is the share of the service's slots in use; interference
        grows with it. Past the VM's cores everything slows down.
        """
        cores = self.standin.capacity.cores
        slowdown = 1.0
        for task in self.standin.running():
            pair = SLOWDOWN_BY_PAIR.get((service, class_of(task.id)), 0.0)
            share = task.used.cores / cores
            slowdown += pair * share * (LIGHT_LOAD_SHARE + load)
        over = max(0.0, self.used() + for_services - cores) / cores
        return slowdown + OVERUSE_SLOWDOWN * over

    # ---- what `platform.worker.Worker` offers

    async def tasks(self) -> list[WorkerTask] | WorkerUnreachable:
        """Return all tasks."""
        if not await self._reached():
            return WorkerUnreachable("down")
        return [_shown(task) for task in self.standin.task_by_id.values()]

    async def start(
        self,
        attempt: AttemptId,
        command: str,
        size: Resources,
        *,
        lease_until: float,
        checkpoint: str = "",
    ) -> WorkerTask | WorkerRefused | WorkerUnreachable:
        """Start an attempt."""
        if not await self._reached():
            return WorkerUnreachable("down")
        task_id = attempt.replace("/", "~")
        if not self.standin.has_room(size):
            return WorkerRefused("full")
        request = StartRequest(
            command,
            size.cores,
            size.memory_mb,
            lease_until,
            size.accelerators,
            checkpoint,
        )
        self.started += 1
        return _shown(self.standin.start(task_id, request, self._clock()))

    async def renew(
        self, lease_until_by_attempt: dict[AttemptId, float]
    ) -> list[AttemptId] | WorkerUnreachable:
        """Lengthen leases."""
        if not await self._reached():
            return WorkerUnreachable("down")
        for attempt, until in lease_until_by_attempt.items():
            task = self.standin.task_by_id.get(attempt.replace("/", "~"))
            if task is not None and task.state is State.RUNNING:
                task.lease_until = max(task.lease_until, until)
        return []

    async def stop(
        self, attempt: AttemptId, *, checkpoint: bool
    ) -> WorkerTask | WorkerRefused | WorkerUnreachable:
        """Checkpoint and stop an attempt."""
        if not await self._reached():
            return WorkerUnreachable("down")
        task = self.standin.task_by_id.get(attempt.replace("/", "~"))
        if task is None:
            return WorkerRefused("unknown")
        if task.state is State.RUNNING:
            task.take_checkpoint(self._clock())
            self.standin.end(task, State.STOPPED, self._clock())
        return _shown(task)

    async def throttle(
        self, attempt: AttemptId, share: float
    ) -> WorkerTask | WorkerRefused | WorkerUnreachable:
        """Hold an attempt to a share of its cores."""
        if not await self._reached():
            return WorkerUnreachable("down")
        task = self.standin.task_by_id.get(attempt.replace("/", "~"))
        if task is None or task.state is not State.RUNNING:
            return WorkerRefused("ended")
        task.set_throttle(share, self._clock())
        return _shown(task)

    async def forget(self, attempt: AttemptId) -> None:
        """Drop an ended attempt."""
        self.standin.task_by_id.pop(attempt.replace("/", "~"), None)

    async def usage(self) -> WorkerUsage | WorkerUnreachable:
        """Return the lagged usage."""
        if not await self._reached():
            return WorkerUnreachable("down")
        shown = msgspec.to_builtins(self.standin.usage(self._clock()))
        return msgspec.convert(shown, WorkerUsage)

    async def _reached(self) -> bool:
        await asyncio.sleep(CALL_SECONDS)
        self.standin.settle(self._clock())
        return self.up


def _shown(task: Task) -> WorkerTask:
    return msgspec.convert(task.shown(), WorkerTask)


@dataclass
class StoreModel:
    """The platform's store as a journal sees it."""

    up: bool = True

    @property
    def is_circuit_open(self) -> bool:
        """Whether the store's client holds calls back."""
        return not self.up


@dataclass
class JournalModel:
    """A shard's log: what is committed stands after a moment, while the store is up."""

    store: StoreModel
    record: ShardRecord = field(default_factory=ShardRecord)
    epoch: Epoch = Epoch(1)
    zones_out: list[str] = field(default_factory=list)
    new_zones_out: list[str] = field(default_factory=list)
    deposed: asyncio.Event = field(default_factory=asyncio.Event)

    async def commit(self, events: list[AnyEvent]) -> CommitOutcome:
        """Apply events after the time a commit takes."""
        await asyncio.sleep(COMMIT_SECONDS)
        if not self.store.up:
            return CommitOutcome.FAILED
        if self.zones_out != self.new_zones_out and _places(events):
            self.zones_out = self.new_zones_out
            return CommitOutcome.ZONES_CHANGED
        for event in events:
            self.record.apply(event)
        self.record.number += 1
        return CommitOutcome.COMMITTED

    async def refresh_zones(self) -> bool:
        """Take the zones out as the store has them."""
        self.zones_out = self.new_zones_out
        return True


def _places(events: list[AnyEvent]) -> bool:
    return any(type(event).__name__ == "Assigned" for event in events)


def control_none(*_: Any) -> list[Any]:
    """Do nothing about neighbours."""
    return []
