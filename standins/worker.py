"""The platform's worker: the calls listed on the platform page."""

import asyncio
import math
import re
from pathlib import Path
from typing import Any

import cyclopts
import msgspec

from standins.serving import (
    FaultsHandler,
    FaultyHandler,
    Record,
    RecordHandler,
    listen,
    run,
)
from standins.worker_tasks import StartRequest, State, Task, Worker
from wagtailcleat.clock import boot_time
from wagtailcleat.resources import Resources

CHECKPOINT_BYTES = 1024
ID_PATTERN = re.compile(r"[A-Za-z0-9._~-]{1,200}")


class LeasesRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Lengthen leases."""

    lease_until_by_id: dict[str, float]


class ThrottleRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Let a task use only a share of its cores."""

    share: float


class StopRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Stop a task, taking a checkpoint first if asked."""

    checkpoint: bool = False


class WorkerHandler(FaultyHandler):
    """A call of the worker."""

    worker: Worker

    async def prepare(self) -> None:
        """Suffer the faults, then settle what fell due."""
        await super().prepare()
        self.worker.settle(boot_time())

    def refuse(self, status: int, code: str) -> None:
        """Answer with a code."""
        self.answer({"code": code}, status)

    def answer_change(self, body: Any, status: int = 200) -> None:
        """Answer a call that took effect, or lose that answer."""
        if self.loses_answer():
            self.drop()
        else:
            self.answer(body, status)

    def read(self, kind: type[Any]) -> Any:
        """Return the body as a `kind`, or refuse it and return nothing."""
        try:
            return msgspec.json.decode(self.request.body or b"{}", type=kind)
        except msgspec.MsgspecError as error:
            self.answer({"code": "invalid", "message": str(error)}, 400)
            return None


class CapacityHandler(WorkerHandler):
    """What the worker holds."""

    def get(self) -> None:
        """Show the capacity."""
        held = self.worker.capacity
        self.answer(
            {
                "cores": held.cores,
                "memory_mb": held.memory_mb,
                "accelerators": held.accelerators,
            }
        )


class TasksHandler(WorkerHandler):
    """Every task not yet forgotten."""

    def get(self) -> None:
        """Show the tasks."""
        tasks = self.worker.task_by_id.values()
        self.answer({"tasks": [task.shown() for task in tasks]})


class TaskHandler(WorkerHandler):
    """Start a task, or forget an ended one."""

    def put(self, task_id: str) -> None:
        """Start the task; idempotent by its id."""
        standing = self.worker.task_by_id.get(task_id)
        if standing:
            self.answer_change(standing.shown())
            return
        request = self.read(StartRequest)
        if request is not None:
            self._start(task_id, request)

    def _start(self, task_id: str, request: StartRequest) -> None:
        now = boot_time()
        size = Resources(request.cores, request.memory_mb, request.accelerators)
        if not _is_valid(task_id, request):
            self.refuse(400, "invalid")
        elif request.lease_until <= now:
            self.refuse(409, "lapsed")
        elif not self.worker.has_room(size):
            self.refuse(507, "full")
        else:
            task = self.worker.start(task_id, request, now)
            self.answer_change(task.shown(), 201)

    def delete(self, task_id: str) -> None:
        """Forget the task."""
        task = self.worker.task_by_id.get(task_id)
        if task and task.state is State.RUNNING:
            self.refuse(409, "running")
            return
        self.worker.task_by_id.pop(task_id, None)
        if self.loses_answer():
            self.drop()
            return
        self.set_status(204)
        self.finish()


class LeasesHandler(WorkerHandler):
    """Lengthen leases."""

    def post(self) -> None:
        """Lengthen, and answer the ids that are unknown."""
        request = self.read(LeasesRequest)
        if request is None:
            return
        unknown = []
        for task_id, until in request.lease_until_by_id.items():
            task = self.worker.task_by_id.get(task_id)
            if task is None:
                unknown.append(task_id)
            elif task.state is State.RUNNING:
                task.lease_until = max(task.lease_until, until)
        self.answer_change({"unknown": unknown})


class ActionHandler(WorkerHandler):
    """Checkpoint, throttle or stop one task."""

    def post(self, task_id: str, action: str) -> None:
        """Act on the task; stopping an ended one again shows it."""
        task = self.worker.task_by_id.get(task_id)
        if task is None:
            self.refuse(404, "unknown")
        elif action == "stop":
            self._stop(task)
        elif task.state is not State.RUNNING:
            self.refuse(409, "ended")
        elif action == "throttle":
            self._throttle(task)
        else:
            taken = task.take_checkpoint(boot_time())
            self.answer_change({"checkpoint": taken})

    def _stop(self, task: Task) -> None:
        request = self.read(StopRequest)
        if request is None:
            return
        now = boot_time()
        if task.state is State.RUNNING:
            if request.checkpoint:
                task.take_checkpoint(now)
            self.worker.end(task, State.STOPPED, now)
        self.answer_change(task.shown())

    def _throttle(self, task: Task) -> None:
        request = self.read(ThrottleRequest)
        if request is None:
            return
        if not 0.05 <= request.share <= 1.0:
            self.refuse(400, "invalid")
            return
        task.set_throttle(request.share, boot_time())
        self.answer_change(task.shown())


class UsageHandler(WorkerHandler):
    """Usage, lagged."""

    def get(self) -> None:
        """Show the usage as of the lag ago."""
        self.answer(self.worker.usage(boot_time()))


def _is_valid(task_id: str, request: StartRequest) -> bool:
    if not ID_PATTERN.fullmatch(task_id):
        return False
    if len(request.checkpoint.encode()) > CHECKPOINT_BYTES:
        return False
    name, _, argument = request.command.partition(":")
    if name not in ("sleep", "fail", "echo", "hold"):
        return False
    numbers = argument.split(":")
    return _is_number(request.checkpoint or "0") and (
        name != "sleep"
        or (len(numbers) in (1, 3) and all(_is_number(n) for n in numbers))
    )


def _is_number(text: str) -> bool:
    try:
        return math.isfinite(float(text))
    except ValueError:
        return False


def main(
    *,
    port: int = 0,
    cores: float = 30,
    memory_mb: int = 125_000,
    accelerators: int = 0,
    usage_lag: float = 1.0,
    record: Path | None = None,
) -> None:
    """Serve the worker on loopback."""

    async def start() -> dict[str, Any]:
        capacity = Resources(cores, memory_mb, accelerators)
        worker = Worker(capacity, usage_lag, Record(record))
        state = {"switches": worker.switches, "worker": worker}

        def show() -> dict[str, Any]:
            return {"starts_and_ends": list(worker.record.rows)}

        routes = [
            ("/capacity", CapacityHandler, state),
            ("/tasks", TasksHandler, state),
            ("/tasks/([^/]+)", TaskHandler, state),
            ("/tasks/([^/]+)/(checkpoint|throttle|stop)", ActionHandler, state),
            ("/leases", LeasesHandler, state),
            ("/usage", UsageHandler, state),
            ("/faults", FaultsHandler, {"switches": worker.switches}),
            ("/record", RecordHandler, {"show": show}),
        ]
        worker.background = asyncio.create_task(worker.tick())
        return {"port": listen(routes, port)}

    run(start)


if __name__ == "__main__":
    cyclopts.run(main)
