"""An event loop whose clock jumps to the next timer, so that minutes cost seconds."""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _JumpingSelector(selectors.DefaultSelector):
    """Moves the clock on by what a real selector would have waited."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return at once, with the clock moved to the next timer."""
        if timeout is None:
            raise RuntimeError("everything waits, and no timer is left")
        self.now += max(0.0, timeout)
        return []


class _VirtualLoop(asyncio.SelectorEventLoop):
    """A loop on virtual time; it never looks at a socket."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual seconds since the loop was made."""
        return self._jumping.now


def run_virtual(main: Callable[[Callable[[], float]], Coroutine[Any, Any, T]]) -> T:
    """Run `main`, which is handed the virtual clock, to its end."""
    loop = _VirtualLoop()
    try:
        return loop.run_until_complete(main(loop.time))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
