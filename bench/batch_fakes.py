"""Models of the batch dependencies: a worker with interference, and a shard's journal.

`bench.batch` runs the product's batch code on them.
"""

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
"""Slowdown added to service 0 or 1 by a job class that uses all cores of a VM."""


def job_class_of(task_id: str) -> str:
    """Return the job class, with which the bench begins each job's name."""
    return task_id.split(".")[2].split("-")[0]


class WorkerModel:
    """A model of the platform's worker, with `platform.worker.Worker`'s methods."""

    def __init__(self, capacity: Resources, lag: float, clock: Clock) -> None:
        """Start empty; usage is reported `lag` seconds late."""
        self.standin = WorkerStandin(capacity, lag, Record())
        self.up = True
        self.useful_core_seconds = 0.0
        self.overuse_seconds = 0.0
        self.started = 0
        self._clock = clock
        self._progress_by_id: dict[str, float] = {}

    async def tick(self) -> None:
        """End finished tasks, sample usage and count work done, until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = self._clock()
            running = self.standin.running()
            for task in running:
                self.useful_core_seconds += (
                    TICK_SECONDS * task.throttle * task.size.cores
                )
            if self.used() > self.standin.capacity.cores:
                self.overuse_seconds += TICK_SECONDS
            self.standin.end_due_tasks(now)
            self.standin._sample(now)

    def used(self) -> float:
        """Return the cores that tasks really use."""
        return sum(task.used.cores for task in self.standin.running())

    def slowdown_factor(self, service: int, load: float, for_services: float) -> float:
        """Return the factor by which a service is slowed down now.

        Parameters: `service` is the service's number; `load` the share of its slots in
        use, with which interference grows; `for_services` the cores committed to
        services. Everything slows down where more cores are used than the VM has.
        """
        cores = self.standin.capacity.cores
        slowdown = 1.0
        for task in self.standin.running():
            pair = SLOWDOWN_BY_PAIR.get((service, job_class_of(task.id)), 0.0)
            share = task.used.cores / cores
            slowdown += pair * share * (LIGHT_LOAD_SHARE + load)
        overuse = max(0.0, self.used() + for_services - cores) / cores
        return slowdown + OVERUSE_SLOWDOWN * overuse

    async def tasks(self) -> list[WorkerTask] | WorkerUnreachable:
        """Return all tasks."""
        if not await self._call_reaches():
            return WorkerUnreachable("down")
        return [_worker_task(task) for task in self.standin.task_by_id.values()]

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
        if not await self._call_reaches():
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
        return _worker_task(self.standin.start(task_id, request, self._clock()))

    async def renew(
        self, lease_until_by_attempt: dict[AttemptId, float]
    ) -> list[AttemptId] | WorkerUnreachable:
        """Extend leases; return no attempt as unknown."""
        if not await self._call_reaches():
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
        if not await self._call_reaches():
            return WorkerUnreachable("down")
        task = self.standin.task_by_id.get(attempt.replace("/", "~"))
        if task is None:
            return WorkerRefused("unknown")
        if task.state is State.RUNNING:
            task.take_checkpoint(self._clock())
            self.standin.end(task, State.STOPPED, self._clock())
        return _worker_task(task)

    async def throttle(
        self, attempt: AttemptId, share: float
    ) -> WorkerTask | WorkerRefused | WorkerUnreachable:
        """Limit an attempt to a share of its cores."""
        if not await self._call_reaches():
            return WorkerUnreachable("down")
        task = self.standin.task_by_id.get(attempt.replace("/", "~"))
        if task is None or task.state is not State.RUNNING:
            return WorkerRefused("ended")
        task.set_throttle(share, self._clock())
        return _worker_task(task)

    async def forget(self, attempt: AttemptId) -> None:
        """Delete the record of an ended attempt."""
        self.standin.task_by_id.pop(attempt.replace("/", "~"), None)

    async def usage(self) -> WorkerUsage | WorkerUnreachable:
        """Return the usage as it was the lag ago."""
        if not await self._call_reaches():
            return WorkerUnreachable("down")
        shown = msgspec.to_builtins(self.standin.usage(self._clock()))
        return msgspec.convert(shown, WorkerUsage)

    async def _call_reaches(self) -> bool:
        await asyncio.sleep(CALL_SECONDS)
        self.standin.end_due_tasks(self._clock())
        return self.up


def _worker_task(task: Task) -> WorkerTask:
    return msgspec.convert(task.to_dict(), WorkerTask)


@dataclass
class StoreModel:
    """The platform's store, as far as a journal depends on it."""

    up: bool = True

    @property
    def is_circuit_open(self) -> bool:
        """Whether the store's client holds calls back, as it does during an outage."""
        return not self.up


@dataclass
class JournalModel:
    """A shard's journal; a commit takes time, and fails while the store is down."""

    store: StoreModel
    record: ShardRecord = field(default_factory=ShardRecord)
    epoch: Epoch = Epoch(1)
    zones_out: list[str] = field(default_factory=list)
    new_zones_out: list[str] = field(default_factory=list)
    deposed: asyncio.Event = field(default_factory=asyncio.Event)

    async def commit(self, events: list[AnyEvent]) -> CommitOutcome:
        """Apply events after `COMMIT_SECONDS`, unless the store is down."""
        await asyncio.sleep(COMMIT_SECONDS)
        if not self.store.up:
            return CommitOutcome.FAILED
        if self.zones_out != self.new_zones_out and _has_assignment(events):
            self.zones_out = self.new_zones_out
            return CommitOutcome.ZONES_CHANGED
        for event in events:
            self.record.apply(event)
        self.record.number += 1
        return CommitOutcome.COMMITTED

    async def refresh_zones(self) -> bool:
        """Read the zones out of service from the store; return success."""
        self.zones_out = self.new_zones_out
        return True


def _has_assignment(events: list[AnyEvent]) -> bool:
    return any(type(event).__name__ == "Assigned" for event in events)


def control_none(*_: Any) -> list[Any]:
    """Return no action on neighbours."""
    return []
