"""The HTTP API of the stand-in for the platform's worker, run as a process."""

import asyncio
import math
import re
from pathlib import Path
from typing import Any

import cyclopts
import msgspec

from standins.serving import (
    FaultInjectingHandler,
    FaultsHandler,
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
    """Extend the leases of tasks."""

    lease_until_by_id: dict[str, float]


class ThrottleRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Limit a task to a share of its cores."""

    share: float


class StopRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Stop a task, after a checkpoint if requested."""

    checkpoint: bool = False


class WorkerHandler(FaultInjectingHandler):
    """The base class of the worker's handlers."""

    worker: Worker

    async def prepare(self) -> None:
        """Apply the fault switches, then end the tasks that are due."""
        await super().prepare()
        self.worker.end_due_tasks(boot_time())

    def refuse(self, status: int, code: str) -> None:
        """Answer with an error code."""
        self.answer({"code": code}, status)

    def answer_change(self, body: Any, status: int = 200) -> None:
        """Answer a completed change, or lose that answer if the switches say so."""
        if self.loses_answer():
            self.drop()
        else:
            self.answer(body, status)

    def decode_body(self, kind: type[Any]) -> Any:
        """Return the body decoded as `kind`, or refuse it and return `None`."""
        try:
            return msgspec.json.decode(self.request.body or b"{}", type=kind)
        except msgspec.MsgspecError as error:
            self.answer({"code": "invalid", "message": str(error)}, 400)
            return None


class CapacityHandler(WorkerHandler):
    """`GET` shows the worker's capacity."""

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
    """`GET` shows every task that was not deleted."""

    def get(self) -> None:
        """Show the tasks, ended ones too."""
        tasks = self.worker.task_by_id.values()
        self.answer({"tasks": [task.to_dict() for task in tasks]})


class TaskHandler(WorkerHandler):
    """`PUT` starts a task, `DELETE` removes an ended one."""

    def put(self, task_id: str) -> None:
        """Start the task; idempotent by its id."""
        existing = self.worker.task_by_id.get(task_id)
        if existing:
            self.answer_change(existing.to_dict())
            return
        request = self.decode_body(StartRequest)
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
            self.answer_change(task.to_dict(), 201)

    def delete(self, task_id: str) -> None:
        """Remove the task; refuse it while the task is running."""
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
    """`POST` extends leases."""

    def post(self) -> None:
        """Extend the leases of running tasks; return the unknown ids."""
        request = self.decode_body(LeasesRequest)
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
    """`POST` checkpoints, throttles or stops one task."""

    def post(self, task_id: str, action: str) -> None:
        """Execute the action; to stop an ended task only shows it."""
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
        request = self.decode_body(StopRequest)
        if request is None:
            return
        now = boot_time()
        if task.state is State.RUNNING:
            if request.checkpoint:
                task.take_checkpoint(now)
            self.worker.end(task, State.STOPPED, now)
        self.answer_change(task.to_dict())

    def _throttle(self, task: Task) -> None:
        request = self.decode_body(ThrottleRequest)
        if request is None:
            return
        if not 0.05 <= request.share <= 1.0:
            self.refuse(400, "invalid")
            return
        task.set_throttle(request.share, boot_time())
        self.answer_change(task.to_dict())


class UsageHandler(WorkerHandler):
    """`GET` shows the resource usage."""

    def get(self) -> None:
        """Show the usage as it was `usage_lag` seconds ago."""
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
