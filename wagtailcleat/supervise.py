"""A supervisor tree that restarts crashed tasks of a process.

A child is a coroutine function, run as one asyncio task. A child that raises is
logged and restarted after an exponential backoff; one that returns is done. A broken
invariant (`InvariantError`) is not restarted: it stops the process.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from wagtailcleat.errors import InvariantError
from wagtailcleat.logs import part_logger

log = part_logger("supervise")

Child = Callable[[], Awaitable[None]]

FIRST_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 5.0
BACKOFF_RESET_SECONDS = 30.0


class Supervisor:
    """A node of the supervisor tree; logs and dumps show its `name`.

    The whole tree shares `broken`, the future of the first `InvariantError`.
    """

    def __init__(
        self, name: str, *, on_restart: Callable[[str], None] | None = None
    ) -> None:
        """Start without children; `spawn`, `once` and `supervisor` add them.

        Parameters: `on_restart` is called with the name of each child restarted.
        """
        self.name = name
        self._on_restart = on_restart
        self.broken: asyncio.Future[InvariantError] = (
            asyncio.get_running_loop().create_future()
        )
        self._tasks: set[asyncio.Task[Any]] = set()
        self._children: list[Supervisor] = []
        self._restarts_by_child: dict[str, int] = {}

    def __repr__(self) -> str:
        """Show the name and the number of running children."""
        return f"<Supervisor {self.name}: {len(self._tasks)} running>"

    def supervisor(self, name: str) -> "Supervisor":
        """Add and return a supervisor below this one."""
        child = Supervisor(f"{self.name}/{name}")
        child.broken = self.broken
        self._children.append(child)
        return child

    def spawn(self, name: str, child: Child) -> asyncio.Task[None]:
        """Run `child` and keep it running until it returns or is cancelled."""
        task = asyncio.create_task(
            self._run_with_restarts(name, child), name=f"{self.name}/{name}"
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def once(self, name: str, child: Child) -> asyncio.Task[bool]:
        """Run `child` once; log a crash without a restart. The result is false then."""
        task = asyncio.create_task(
            self._run_once(name, child), name=f"{self.name}/{name}"
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def stop(self) -> None:
        """Cancel all children, the newest subtree first, and wait for them."""
        for child in reversed(self._children):
            await child.stop()
        tasks = [task for task in self._tasks if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def count_restart(self, name: str) -> None:
        """Count a restart of a child, or of a task that another supervisor runs."""
        self._restarts_by_child[name] = self._restarts_by_child.get(name, 0) + 1
        if self._on_restart is not None:
            self._on_restart(name)

    def restarts(self) -> int:
        """Return the number of restarts of all children in this subtree."""
        own = sum(self._restarts_by_child.values())
        return own + sum(child.restarts() for child in self._children)

    def dump(self) -> dict[str, object]:
        """Return the subtree's names and restart counts, for the state dump."""
        return {
            "name": self.name,
            "running": len(self._tasks),
            "restarts_by_child": dict(self._restarts_by_child),
            "children": [child.dump() for child in self._children],
        }

    async def _run_with_restarts(self, name: str, child: Child) -> None:
        loop = asyncio.get_running_loop()
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            started = loop.time()
            if await self._run_once(name, child):
                return
            if loop.time() - started > BACKOFF_RESET_SECONDS:
                backoff = FIRST_BACKOFF_SECONDS
            self.count_restart(name)
            await asyncio.sleep(backoff)
            backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)

    async def _run_once(self, name: str, child: Child) -> bool:
        try:
            await child()
        except InvariantError as error:
            log.critical("Invariant broken in %s/%s: %s", self.name, name, error)
            if not self.broken.done():
                self.broken.set_result(error)
            return True
        except Exception:
            log.exception("Child %s/%s crashed", self.name, name)
            return False
        return True
