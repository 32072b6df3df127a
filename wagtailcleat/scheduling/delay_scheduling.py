"""Whether a step waits for room on the rack that holds its data (delay scheduling).

On another rack its tasks take longer by a factor that the deployment's settings state.
A step is done when its last task is: if one task has to run elsewhere, the others gain
nothing from the rack. So a step waits as a whole, and only if that decides whether its
job is in time: elsewhere it would be late, and the rack is expected to take its last
task early enough. A job that is late either way leaves the rack to others.
"""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from wagtailcleat.ids import JobId, ServiceName
from wagtailcleat.scheduling.job_entry import JobEntry, StepKey
from wagtailcleat.scheduling.models import Step
from wagtailcleat.scheduling.vms import HostedRun, Vm

NO_PENALTY = 1.0
MIN_RUN_SECONDS = 0.05

ExpectedSeconds = Callable[[Vm, HostedRun], float]
"""Returns what a run on a VM is expected to take in all."""


class Rack(NamedTuple):
    """The VMs of a service on one rack."""

    service: ServiceName
    name: str
    label: str
    """The label that these VMs have; empty if none is required."""


class DelayDecision(NamedTuple):
    """Whether a step waits for its rack, with what decided it, for the log."""

    job: JobId
    step: StepKey
    rack: str
    waits: bool
    expected_wait: float
    """Seconds until the rack is expected to take the step's last task."""
    slack: float
    """Seconds that the job may lose and still be in time."""
    lost: float
    """Seconds that the step's tasks lose on another rack."""
    cores_ahead: float
    """Cores of steps that go first and wait for the rack, and of this step."""
    cores_per_second: float
    """Cores that tasks on the rack are expected to release."""

    def fields(self) -> dict[str, str | float | bool]:
        """Return the fields of the log line."""
        occurrence, number = self.step
        return {
            "job": self.job,
            "step": f"{occurrence}/{number}",
            "rack": self.rack,
            "waits": self.waits,
            "expected_wait": round(self.expected_wait, 2),
            "slack": round(self.slack, 2),
            "lost": round(self.lost, 2),
            "cores_ahead": round(self.cores_ahead, 1),
            "cores_per_second": round(self.cores_per_second, 1),
        }


class DelayScheduling:
    """Decides in placement rounds which steps wait for the rack of their data."""

    def __init__(
        self, expected_seconds: ExpectedSeconds, *, far_factor: float = NO_PENALTY
    ) -> None:
        """Create it without a round.

        Parameters: `far_factor` is how many times as long tasks take on another rack
        than that of their data; with 1 no step waits.
        """
        self._expected_seconds = expected_seconds
        self._far_factor = far_factor
        self._vms: list[Vm] = []
        self._release_by_rack: dict[Rack, float] = {}
        """Cores a second that tasks release, as far as this round needs it."""
        self._waiting_cores: defaultdict[Rack, float] = defaultdict(float)
        """Cores of the steps that wait for each rack in this round."""
        self._earlier_decisions: dict[tuple[JobId, StepKey], bool] = {}
        """Decisions of the last round."""
        self._decisions: dict[tuple[JobId, StepKey], bool] = {}
        """Decisions of this round: whether a step waits."""
        self._new_decisions: list[DelayDecision] = []

    def __repr__(self) -> str:
        """Show the factor and the number of steps that were decided on."""
        return f"<DelayScheduling {self._far_factor}: {len(self._decisions)} steps>"

    def begin_round(self, vms: Iterable[Vm]) -> None:
        """Start a placement round with the usable VMs."""
        self._vms = list(vms)
        self._release_by_rack.clear()
        self._waiting_cores.clear()
        self._earlier_decisions, self._decisions = self._decisions, {}

    def has_waited(self, job: JobId, step: StepKey) -> bool:
        """Return whether a step waited in the last round."""
        return self._earlier_decisions.get((job, step), False)

    def waits(
        self, entry: JobEntry, step: StepKey, vm: Vm, left: int, slack: float
    ) -> bool:
        """Return whether a step, with `left` tasks to place, waits for its rack.

        Parameters: `vm` is the best VM that has room; `slack` is how many seconds the
        job may lose and still be in time.
        """
        wanted = entry.job.steps[step[1]]
        factor = rack_slowdown(vm, wanted, self._far_factor)
        if factor <= NO_PENALTY or wanted.long_running or wanted.fills:
            return False
        rack = Rack(entry.job.service, wanted.affinity_rack, wanted.required_label)
        release = self._release(rack)
        ahead = self._waiting_cores[rack] + left * wanted.size.cores
        expected_wait = ahead / release if release else math.inf
        lost = (factor - 1) * entry.expected_seconds[step[1]]
        waits = expected_wait <= slack < lost
        if waits:
            self._waiting_cores[rack] = ahead
        self._note(
            DelayDecision(
                entry.job.id,
                step,
                rack.name,
                waits,
                expected_wait,
                slack,
                lost,
                ahead,
                release,
            )
        )
        return waits

    def _note(self, decision: DelayDecision) -> None:
        key = decision.job, decision.step
        self._decisions[key] = decision.waits
        if self._earlier_decisions.get(key) is not decision.waits:
            self._new_decisions.append(decision)

    def _release(self, rack: Rack) -> float:
        known = self._release_by_rack.get(rack)
        if known is None:
            known = sum(
                self._released_by_vm(vm) for vm in self._vms if _is_on(vm, rack)
            )
            self._release_by_rack[rack] = known
        return known

    def _released_by_vm(self, vm: Vm) -> float:
        return sum(
            run.step.size.cores / max(MIN_RUN_SECONDS, self._expected_seconds(vm, run))
            for run in vm.hosted_by_run.values()
            if not run.step.long_running and not run.step.fills
        )

    def take_decisions(self) -> list[DelayDecision]:
        """Return the decisions since the last call that differ from those before."""
        taken, self._new_decisions = self._new_decisions, []
        return taken


def rack_slowdown(vm: Vm, step: Step, far_factor: float) -> float:
    """Return how many times as long a step's tasks take on a VM's rack."""
    is_far = bool(step.affinity_rack) and vm.rack != step.affinity_rack
    return far_factor if is_far else NO_PENALTY


def _is_on(vm: Vm, rack: Rack) -> bool:
    if vm.worker is None or (vm.service, vm.rack) != (rack.service, rack.name):
        return False
    return not rack.label or rack.label in vm.worker.labels
