"""The tasks of the worker stand-in, simulated by timers instead of processes.

Real tasks continue while their worker process is frozen. So a task ends at the time
when it was due, and that time is recorded, not the time when the worker notices.
"""

import asyncio
import math
from collections import deque
from enum import Enum
from typing import Any

import msgspec

from standins.serving import CommonFaults, Record, Switches
from wagtailcleat.clock import boot_time
from wagtailcleat.resources import Accelerators, Cores, MemoryMb, Resources

TICK_SECONDS = 0.02
SAMPLE_SECONDS = 0.1


class State(Enum):
    """The states of a task."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


class Size(msgspec.Struct):
    """The resources that a task or a service uses."""

    cores: float
    memory_mb: float


class Faults(CommonFaults):
    """Fault switches of the worker, and the usage of the services on its VM.

    `noisy` multiplies the measured usage of tasks.
    """

    fail_everything: bool = False
    noisy: float = 1.0
    services_by_name: dict[str, Size] = {}


class StartRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A request to start a task."""

    command: str
    cores: Cores
    memory_mb: MemoryMb
    lease_until: float
    accelerators: Accelerators = 0
    checkpoint: str = ""


class Task:
    """A task, simulated by a timer."""

    def __init__(self, task_id: str, request: StartRequest, now: float) -> None:
        """Start at `now`, from the checkpoint if the request has one."""
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
        """The time at which the command ends by itself."""
        name, _, argument = self.request.command.partition(":")
        if name == "hold":
            return math.inf
        if name != "sleep":
            return self._progress_at
        seconds = float(argument.split(":")[0])
        rest = max(seconds - self._progress, 0.0)
        return self._progress_at + rest / self.throttle

    @property
    def used(self) -> Size:
        """The actual usage: its size, or the numbers in `sleep:SECONDS:CORES:MB`."""
        _, _, argument = self.request.command.partition(":")
        parts = argument.split(":")
        if len(parts) == 3:
            return Size(float(parts[1]) * self.throttle, float(parts[2]))
        return Size(self.size.cores * self.throttle, self.size.memory_mb)

    def set_throttle(self, share: float, now: float) -> None:
        """Run at `share` of the full speed from `now` on."""
        self._advance(now)
        self.throttle = share

    def take_checkpoint(self, now: float) -> str:
        """Store the progress in seconds as the checkpoint, and return it."""
        self._advance(now)
        self.checkpoint = f"{self._progress:.3f}"
        return self.checkpoint

    def end(self, state: State, exit_code: int | None = None) -> None:
        """Set the final state and exit code."""
        self.state = state
        self.exit_code = exit_code

    def to_dict(self) -> dict[str, Any]:
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
    """The tasks, capacity and usage samples of the worker."""

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
        if self.switches.current.fail_everything:
            self.end(task, State.FAILED, now, exit_code=1)
        self.end_due_tasks(now)
        return task

    def end(
        self, task: Task, state: State, at: float, exit_code: int | None = None
    ) -> None:
        """End a task and record it."""
        task.end(state, exit_code)
        self.record.add(at, "end", task.id, state.value)

    def running(self) -> list[Task]:
        """Return the running tasks."""
        tasks = self.task_by_id.values()
        return [task for task in tasks if task.state is State.RUNNING]

    def has_room(self, size: Resources) -> bool:
        """Return whether a task of `size` fits into the free capacity."""
        taken = sum((task.size for task in self.running()), Resources())
        return size.fits(self.capacity - taken)

    def end_due_tasks(self, now: float) -> None:
        """End the tasks that have finished or whose lease has expired by `now`."""
        for task in self.running():
            finish_at = task.finish_at
            if finish_at <= min(now, task.lease_until):
                failed = task.request.command == "fail"
                state = State.FAILED if failed else State.SUCCEEDED
                self.end(task, state, finish_at, exit_code=int(failed))
            elif task.lease_until <= now:
                self.end(task, State.LAPSED, task.lease_until)

    def usage(self, now: float) -> dict[str, Any]:
        """Return the usage as it was `usage_lag` seconds before `now`."""
        then = now - self.usage_lag
        self._drop_samples_before(then)
        known = bool(self._samples) and self._samples[0][0] <= then
        measured_at, tasks, services = self._samples[0] if known else (then, {}, {})
        return {
            "measured_at": measured_at,
            "lag_seconds": self.usage_lag,
            "tasks_by_id": tasks,
            "services_by_name": services,
        }

    async def tick(self) -> None:
        """End due tasks and sample their usage until the process ends."""
        while True:
            now = boot_time()
            self.end_due_tasks(now)
            if not self._samples or now - self._samples[-1][0] >= SAMPLE_SECONDS:
                self._sample(now)
            await asyncio.sleep(TICK_SECONDS)

    def _sample(self, now: float) -> None:
        faults = self.switches.current
        tasks = {
            task.id: Size(
                task.used.cores * faults.noisy, task.used.memory_mb * faults.noisy
            )
            for task in self.running()
        }
        self._samples.append((now, tasks, faults.services_by_name))
        self._drop_samples_before(now - self.usage_lag)

    def _drop_samples_before(self, then: float) -> None:
        while len(self._samples) > 1 and self._samples[1][0] <= then:
            self._samples.popleft()
