"""An event loop on virtual time, which skips the waits between timers.

Tests run the parts of many processes on it in one process, with real streams over
loopback. The selector first polls for I/O events. If there are none within a short
settle time, the clock advances to the next timer. The same inputs give the same run.
"""

import asyncio
from collections.abc import Coroutine
from selectors import DefaultSelector, SelectorKey
from typing import Any, TypeVar

T = TypeVar("T")

SETTLE_SECONDS = 0.0003


class VirtualTimeSelector(DefaultSelector):  # type: ignore[misc, valid-type]
    """A selector that advances `now` instead of waiting."""

    now = 0.0
    settle = SETTLE_SECONDS

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """Return I/O events, or advance `now` by `timeout` if there are none."""
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
    """An event loop whose clock is virtual time."""

    def __init__(self, settle: float = SETTLE_SECONDS) -> None:
        """Start at time 0.

        Parameters: `settle`, the real seconds to wait for I/O events before the clock
        advances; 0 if there are no real streams.
        """
        self._virtual_selector = VirtualTimeSelector()
        self._virtual_selector.settle = settle
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Run `work` to completion and return its result."""
        return self.run_until_complete(work)

    def pass_time(self, seconds: float) -> None:
        """Advance virtual time by `seconds`."""
        self.run(asyncio.sleep(seconds))

    def end(self) -> None:
        """Cancel the remaining tasks and close the loop."""
        tasks = asyncio.all_tasks(self)
        for task in tasks:
            task.cancel()
        if tasks:
            self.run_until_complete(asyncio.wait(tasks))
        self.close()
