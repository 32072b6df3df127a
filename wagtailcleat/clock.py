"""The clocks of the project: one for durations and leases, one for deadlines."""

import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Returns the current time in seconds; leases and durations use differences only."""


def boot_time() -> float:
    """Return seconds since boot, including time in which the VM was suspended.

    A lease measured by a clock that stops during a pause would seem valid after the
    pause, although every other process saw it expire.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time() -> float:
    """Return seconds since 1970, for the deadlines of callers; not used for leases."""
    return time.time()
