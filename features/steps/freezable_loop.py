"""An event loop on virtual time in which the tasks of one process can be frozen.

A task or timer belongs to the `LoopProcess` in whose context it was created.
"""

import asyncio
import contextvars
from collections.abc import Callable
from typing import NamedTuple

from standins.virtual_time import VirtualLoop

_PROCESS: contextvars.ContextVar = contextvars.ContextVar("process", default=None)


class _Due(NamedTuple):
    """A callback that became due while its process was frozen."""

    handle: asyncio.Handle
    callback: Callable
    arguments: tuple
    context: contextvars.Context

    def run(self) -> None:
        if not self.handle.cancelled():
            self.callback(*self.arguments)


class LoopProcess:
    """The tasks and timers of one process; while it is frozen, none of them runs."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without tasks."""
        self.frozen = False
        self._context = contextvars.Context()
        self._context.run(_PROCESS.set, self)
        self._loop = loop
        # A dict keeps the order, so that the same inputs give the same run.
        self._tasks: dict[asyncio.Task, None] = {}
        self._due: list[_Due] = []

    def create_task(self, work) -> asyncio.Task:
        """Run a coroutine as a task of this process."""
        return self._loop.create_task(work, context=self._context)

    def add(self, task: asyncio.Task) -> None:
        """Add a task that was created in this process."""
        self._tasks[task] = None
        task.add_done_callback(self._tasks.pop, context=contextvars.Context())

    def defer(self, due: _Due) -> None:
        """Keep a due callback until the process is thawed."""
        self._due.append(due)

    def thaw(self, *, timers_first: bool = False) -> None:
        """Continue; run all that became due meanwhile, in order.

        Parameters: `timers_first` says whether due timers run before messages that were
        received, or after them.
        """
        self.frozen = False
        due, self._due = self._due, []
        due.sort(
            key=lambda it: isinstance(it.handle, asyncio.TimerHandle) != timers_first
        )
        for it in due:
            self._loop.call_soon(it.run, context=it.context)

    def kill(self) -> None:
        """Cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()
        self.thaw()


def _create_task(loop, work, **options) -> asyncio.Task:
    task: asyncio.Task = asyncio.Task(work, loop=loop, **options)
    context = options.get("context") or contextvars.copy_context()
    process = context.get(_PROCESS)
    if process is not None:
        process.add(task)
    return task


class FreezableLoop(VirtualLoop):
    """A loop on virtual time that defers the callbacks of frozen processes."""

    def __init__(self) -> None:
        """Start at time 0, without real streams."""
        super().__init__(settle=0.0)
        self.set_task_factory(_create_task)

    def call_soon(self, callback, *args, context=None):
        """Schedule a callback, which is deferred while its process is frozen."""
        return self._schedule(super().call_soon, callback, args, context)

    def call_at(self, when, callback, *args, context=None):
        """Schedule a timer, which is deferred while its process is frozen."""

        def schedule(run, *arguments, context):
            return super(FreezableLoop, self).call_at(
                when, run, *arguments, context=context
            )

        return self._schedule(schedule, callback, args, context)

    def _schedule(self, schedule, callback, arguments, context):
        context = contextvars.copy_context() if context is None else context
        process = context.get(_PROCESS)
        if process is None:
            return schedule(callback, *arguments, context=context)

        def run() -> None:
            if process.frozen:
                process.defer(_Due(handle, callback, arguments, context))
            else:
                callback(*arguments)

        handle = schedule(run, context=context)
        return handle
