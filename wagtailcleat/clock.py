"""The one clock: seconds that go on while the VM is paused."""

import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Reads the present time in seconds; only differences have a meaning."""


def boot_time() -> float:
    """Seconds since boot, counting time in which the VM was suspended.

    A lease counted on a clock that stands still during a pause would seem valid
    after the pause although everyone else saw it lapse.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time() -> float:
    """Seconds since 1970, for deadlines that callers name; decides no lease."""
    return time.time()
