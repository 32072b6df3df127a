"""What a deployment's settings say about its work, for the scheduler."""

import math
from dataclasses import dataclass


@dataclass(frozen=True)
class SchedulingOptions:
    """Options of a `Scheduler`; the defaults leave each part off that needs one."""

    move_seconds: float = math.inf
    """Time that a run loses if it is stopped and continues on another VM."""
    learn_run_times: bool = True
    """Whether what tasks take is learned from runs, beside submitters' estimates."""
    far_factor: float = 1.0
    """How many times as long tasks take on another rack than that of their data."""


DEFAULT_OPTIONS = SchedulingOptions()
