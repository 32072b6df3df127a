"""An event loop whose clock jumps, so that hours of timers pass in moments.

Many processes' parts run in one test process on real streams over loopback. The
selector first looks for real events; only when there are none, after a short
settle wait, the clock moves to the next timer. The same inputs give the same run.
"""

import asyncio
from collections.abc import Coroutine
from selectors import DefaultSelector, SelectorKey
from typing import Any, TypeVar

T = TypeVar("T")

SETTLE_SECONDS = 0.0003


class JumpingSelector(DefaultSelector):  # type: ignore[misc, valid-type]
    """A selector that moves `now` on instead of waiting."""

    now = 0.0
    settle = SETTLE_SECONDS

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """Return real events, or jump to the next timer."""
        events = super().select(0)
        if not events and timeout != 0 and self.settle:
            events = super().select(self.settle)
        if events or timeout == 0:
            return events
        if timeout is None:
            return super().select(None)
        self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on the jumping clock."""

    def __init__(self, settle: float = SETTLE_SECONDS) -> None:
        """Start at time 0.

        Parameters: `settle` in real seconds; 0 where there are no real streams.
        """
        self._jumping = JumpingSelector()
        self._jumping.settle = settle
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.now

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Run `work` to its end."""
        return self.run_until_complete(work)

    def pass_time(self, seconds: float) -> None:
        """Let `seconds` of virtual time pass."""
        self.run(asyncio.sleep(seconds))

    def end(self) -> None:
        """Cancel what is left and close."""
        tasks = asyncio.all_tasks(self)
        for task in tasks:
            task.cancel()
        if tasks:
            self.run_until_complete(asyncio.wait(tasks))
        self.close()
