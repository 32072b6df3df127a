"""An event loop on virtual time: its clock jumps to the next timer without waiting.

Simulated minutes thus take seconds.
"""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _JumpingSelector(selectors.DefaultSelector):
    """Advances the clock by the time that a real selector would have waited."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the clock to the next timer, and return no event."""
        if timeout is None:
            raise RuntimeError("deadlock: every task waits, and no timer is scheduled")
        self.now += max(0.0, timeout)
        return []


class _VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time, without socket events."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual seconds since the loop was created."""
        return self._jumping.now


def run_virtual(main: Callable[[Callable[[], float]], Coroutine[Any, Any, T]]) -> T:
    """Call `main` with the virtual clock, run it to its end and return its result."""
    loop = _VirtualLoop()
    try:
        return loop.run_until_complete(main(loop.time))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
