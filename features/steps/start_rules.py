"""The rules that each start must satisfy at the worker that carries it out.

They hold whatever the leader and the agent believe. The random histories and the soak's
checker share them.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from wagtailcleat.ids import ServiceName
from wagtailcleat.resources import Resources
from wagtailcleat.scheduling.models import Job, RunKey, Step, TaskKey

ROUNDING_CORES = 1e-6


@dataclass(frozen=True)
class Capability:
    """What decides which runs a worker may have, in one incarnation."""

    capacity: Resources
    service: ServiceName
    labels: tuple[str, ...] = ()


def broken_rules(
    started: RunKey,
    beside: Iterable[RunKey],
    capability: Capability,
    job_of: Callable[[TaskKey], Job],
) -> list[str]:
    """Return a line for each rule that a start breaks, beginning with the rule's name.

    Parameters: `beside` are the worker's other runs, also those that are stopping;
    `job_of` returns the job of a task.
    """
    job = job_of(started.task)
    step = job.steps[started.task.step]
    beside = list(beside)
    found = []
    if job.service != capability.service:
        found.append(f"service: {started} needs {job.service}, not {capability}")
    if step.required_label and step.required_label not in capability.labels:
        found.append(f"label: {started} needs {step.required_label}, not {capability}")
    siblings = [run for run in beside if run.task[:3] == started.task[:3]]
    if step.max_per_vm and len(siblings) >= step.max_per_vm:
        found.append(f"spread: {started} beside {siblings} of {step.max_per_vm}")
    steps = [job_of(run.task).steps[run.task.step] for run in beside]
    if not _has_room([*steps, step], capability.capacity):
        found.append(f"room: {started} needs {step.size} beside {beside}, {capability}")
    return found


def _has_room(steps: list[Step], capacity: Resources) -> bool:
    # The cores of filling runs do not count: they use what the others leave.
    cores = sum(step.size.cores for step in steps if not step.fills)
    return (
        cores <= capacity.cores + ROUNDING_CORES
        and sum(step.size.memory_mb for step in steps) <= capacity.memory_mb
        and sum(step.size.accelerators for step in steps) <= capacity.accelerators
    )
