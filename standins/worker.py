"""The platform's worker: tasks under leases, as timers in place of processes.

Tasks go on by the clock while the worker process is frozen, as real tasks would,
so an end is recorded at the instant it fell due and not when it was noticed.
"""

import asyncio
import math
import re
from collections import deque
from enum import Enum
from pathlib import Path
from typing import Any

import cyclopts
import msgspec

from standins.serving import (
    CommonFaults,
    FaultsHandler,
    FaultyHandler,
    Record,
    RecordHandler,
    Switches,
    listen,
    run,
)
from wagtailcleat.clock import boot_time
from wagtailcleat.resources import Accelerators, Cores, MemoryMb, Resources

TICK_SECONDS = 0.02
SAMPLE_SECONDS = 0.1
CHECKPOINT_BYTES = 1024
ID_PATTERN = re.compile(r"[A-Za-z0-9._~-]{1,200}")


class State(Enum):
    """The states of a task."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


class Size(msgspec.Struct):
    """What a task or a service uses."""

    cores: float
    memory_mb: float


class Faults(CommonFaults):
    """Fault switches of the worker, and what its VM's services use."""

    fail_everything: bool = False
    noisy: float = 1.0
    services_by_name: dict[str, Size] = {}


class StartRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Start a task."""

    command: str
    cores: Cores
    memory_mb: MemoryMb
    lease_until: float
    accelerators: Accelerators = 0
    checkpoint: str = ""


class LeasesRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Lengthen leases."""

    lease_until_by_id: dict[str, float]


class ThrottleRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Let a task use only a share of its cores."""

    share: float


class StopRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Stop a task, taking a checkpoint first if asked."""

    checkpoint: bool = False


class Task:
    """One task as a timer."""

    def __init__(self, task_id: str, request: StartRequest, now: float) -> None:
        """Start to run, from the checkpoint where there is one."""
        self.id = task_id
        self.request = request
        self.size = Resources(request.cores, request.memory_mb, request.accelerators)
        self.lease_until = request.lease_until
        self.state = State.RUNNING
        self.exit_code: int | None = None
        self.checkpoint = request.checkpoint
        self.throttle = 1.0
        self._progress = float(request.checkpoint or 0)
        self._progress_at = now

    @property
    def finish_at(self) -> float:
        """The instant at which the command ends by itself."""
        name, _, argument = self.request.command.partition(":")
        if name == "hold":
            return math.inf
        if name != "sleep":
            return self._progress_at
        rest = max(float(argument) - self._progress, 0.0)
        return self._progress_at + rest / self.throttle

    def set_throttle(self, share: float, now: float) -> None:
        """Go on at another speed."""
        self._advance(now)
        self.throttle = share

    def take_checkpoint(self, now: float) -> str:
        """Take a checkpoint: the progress made."""
        self._advance(now)
        self.checkpoint = f"{self._progress:.3f}"
        return self.checkpoint

    def end(self, state: State, exit_code: int | None = None) -> None:
        """End the task."""
        self.state = state
        self.exit_code = exit_code

    def shown(self) -> dict[str, Any]:
        """Return the task's JSON form."""
        shown = {
            "id": self.id,
            "state": self.state.value,
            "checkpoint": self.checkpoint,
            "cores": self.size.cores,
            "memory_mb": self.size.memory_mb,
            "accelerators": self.size.accelerators,
            "lease_until": self.lease_until,
            "throttle": self.throttle,
        }
        if self.exit_code is not None:
            shown["exit_code"] = self.exit_code
        return shown

    def _advance(self, now: float) -> None:
        self._progress += (now - self._progress_at) * self.throttle
        self._progress_at = now


class Worker:
    """All state of the worker stand-in."""

    def __init__(self, capacity: Resources, usage_lag: float, record: Record) -> None:
        """Start without tasks."""
        self.capacity = capacity
        self.usage_lag = usage_lag
        self.record = record
        self.switches = Switches(Faults)
        self.task_by_id: dict[str, Task] = {}
        self.background: asyncio.Task[None] | None = None
        self._samples: deque[tuple[float, dict[str, Size], dict[str, Size]]] = deque()

    def start(self, task_id: str, request: StartRequest, now: float) -> Task:
        """Start a task."""
        task = Task(task_id, request, now)
        self.task_by_id[task_id] = task
        self.record.add(now, "start", task_id, State.RUNNING.value)
        if self.switches.now.fail_everything:
            self.end(task, State.FAILED, now, exit_code=1)
        self.settle(now)
        return task

    def end(
        self, task: Task, state: State, at: float, exit_code: int | None = None
    ) -> None:
        """End a task and record it."""
        task.end(state, exit_code)
        self.record.add(at, "end", task.id, state.value)

    def running(self) -> list[Task]:
        """Return the tasks that run."""
        tasks = self.task_by_id.values()
        return [task for task in tasks if task.state is State.RUNNING]

    def has_room(self, size: Resources) -> bool:
        """Tell whether a task of that size fits beside those that run."""
        taken = sum((task.size for task in self.running()), Resources())
        return size.fits(self.capacity - taken)

    def settle(self, now: float) -> None:
        """End the tasks that have finished or whose lease has lapsed by `now`."""
        for task in self.running():
            finish_at = task.finish_at
            if finish_at <= min(now, task.lease_until):
                failed = task.request.command == "fail"
                state = State.FAILED if failed else State.SUCCEEDED
                self.end(task, state, finish_at, exit_code=int(failed))
            elif task.lease_until <= now:
                self.end(task, State.LAPSED, task.lease_until)

    def usage(self, now: float) -> dict[str, Any]:
        """Return the usage as of the lag ago."""
        then = now - self.usage_lag
        while len(self._samples) > 1 and self._samples[1][0] <= then:
            self._samples.popleft()
        known = bool(self._samples) and self._samples[0][0] <= then
        measured_at, tasks, services = self._samples[0] if known else (then, {}, {})
        return {
            "measured_at": measured_at,
            "lag_seconds": self.usage_lag,
            "tasks_by_id": tasks,
            "services_by_name": services,
        }

    async def tick(self) -> None:
        """End tasks and sample their usage for as long as the worker runs."""
        while True:
            now = boot_time()
            self.settle(now)
            if not self._samples or now - self._samples[-1][0] >= SAMPLE_SECONDS:
                self._sample(now)
            await asyncio.sleep(TICK_SECONDS)

    def _sample(self, now: float) -> None:
        faults = self.switches.now
        tasks = {
            task.id: Size(
                task.size.cores * task.throttle * faults.noisy,
                task.size.memory_mb * faults.noisy,
            )
            for task in self.running()
        }
        self._samples.append((now, tasks, faults.services_by_name))
        while self._samples[0][0] < now - self.usage_lag - 1:
            self._samples.popleft()


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
    return _is_number(request.checkpoint or "0") and (
        name != "sleep" or _is_number(argument)
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
