"""Metrics of an entry: calls of its callers, and the scheduler while it leads."""

from collections import Counter
from collections.abc import Callable, Mapping

from hdrh.histogram import HdrHistogram

from wagtailcleat.introspection import Introspection, Kind
from wagtailcleat.scheduling.job_entry import TaskState
from wagtailcleat.scheduling.scheduler import Scheduler

MAX_LATENCY_MICROSECONDS = 60_000_000
MICROSECONDS = 1_000_000
SIGNIFICANT_DIGITS = 2
"""Significant digits of a latency; a precision of one percent is enough on call."""


class CallerMetrics:
    """Counts and latencies of callers' requests, by method and status code only."""

    def __init__(self) -> None:
        """Start at zero."""
        self.count_by_outcome: Counter[str] = Counter()
        self.histogram_by_method: dict[str, HdrHistogram] = {}

    def record(self, method: str, status: int, seconds: float) -> None:
        """Count one answered call."""
        self.count_by_outcome[f"{method} {status}"] += 1
        histogram = self.histogram_by_method.get(method)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)
            self.histogram_by_method[method] = histogram
        histogram.record_value(int(seconds * MICROSECONDS) + 1)

    def register(self, introspection: Introspection) -> None:
        """Register the counts and latencies as metrics."""
        introspection.labelled(
            Kind.COUNTER,
            "submission_calls",
            "Calls of submitters, by method and status.",
            "outcome",
            lambda: self.count_by_outcome,
        )
        introspection.latencies(
            "submission_seconds",
            "Time to answer a submitter, by method.",
            "method",
            lambda: self.histogram_by_method,
        )


def register_scheduler_metrics(
    introspection: Introspection, scheduler: Callable[[], Scheduler | None]
) -> None:
    """Register metrics of the leader's scheduler; they are empty on a follower."""

    def events() -> dict[str, float]:
        leading = scheduler()
        return dict(leading.count_by_event) if leading else {}

    introspection.labelled(
        Kind.COUNTER,
        "run_events",
        "Starts, stops, paces and ends of runs since this entry began to lead.",
        "event",
        events,
    )
    introspection.labelled(
        Kind.GAUGE,
        "tasks",
        "Tasks that are due, by priority of their queue and state.",
        "state",
        lambda: _tasks(scheduler()),
    )
    introspection.metric(
        Kind.GAUGE,
        "overdue_occurrences",
        "Due occurrences without tasks: their jobs have the most open ones they may.",
        lambda: leading.overdue_occurrences() if (leading := scheduler()) else 0,
    )
    introspection.labelled(
        Kind.GAUGE,
        "cores",
        "Cores of all VMs in touch: held, committed, and wanted by filling tasks.",
        "kind",
        lambda: _cores(scheduler()),
    )

    def long_waits() -> dict[str, float]:
        leading = scheduler()
        return dict(leading.long_waits.seconds_by_reason) if leading else {}

    introspection.labelled(
        Kind.GAUGE,
        "longest_wait_seconds",
        "Longest wait over 2 s for a run although there is room, by reason.",
        "reason",
        long_waits,
    )

    def run_time_errors() -> dict[str, float]:
        leading = scheduler()
        return dict(leading.run_times.error_by_predictor) if leading else {}

    introspection.labelled(
        Kind.COUNTER,
        "run_time_error",
        "Sums over steps of |ln(run time / predicted)|, by predictor; `steps`: number.",
        "predictor",
        run_time_errors,
    )


def _tasks(scheduler: Scheduler | None) -> Mapping[str, float]:
    counted: Counter[str] = Counter()
    if scheduler is None:
        return {}
    for entry in scheduler.job_table.entry_by_id.values():
        if not entry.open:
            continue
        for task in entry.tasks():
            if task.state is not TaskState.SUCCEEDED:
                counted[f"{entry.job.priority} {task.state.value}"] += 1
    return dict(counted)


def _cores(scheduler: Scheduler | None) -> dict[str, float]:
    if scheduler is None:
        return {}
    vms = scheduler.vm_by_node.values()
    return {
        "held": sum(vm.capacity.cores for vm in vms),
        "committed": sum(vm.committed.cores for vm in vms),
        "filling": sum(vm.filling_cores for vm in vms),
    }
