"""How much a job class slows services down, as agents told this owner.

An agent learns it for the services on its own VM. What it tells with each answer to
a reservation is taken for every VM with the same services, so that a pair known to
be bad on one VM is not tried on all the others.
"""

from dataclasses import dataclass, field

from wagtailcleat.configuration.models import Configuration
from wagtailcleat.ids import Revision, VmName

ServiceNames = tuple[str, ...]

SMOOTHING_FACTOR = 0.3
LEVEL_THRESHOLDS = (0.005, 0.015, 0.04)
"""Slowdown for each core from which on a VM is asked later than others."""
MAX_PAIRS = 10_000


@dataclass
class Penalties:
    """The latest slowdown for one core, by the services of a VM and a job class."""

    slowdown_by_pair: dict[tuple[ServiceNames, str], float] = field(
        default_factory=dict
    )
    _services_by_vm: dict[str, ServiceNames] = field(default_factory=dict)
    _revision: Revision = Revision(-1)

    def add(
        self,
        configuration: Configuration,
        vm: VmName,
        job_class: str,
        penalty: float | None,
    ) -> None:
        """Take what an agent told, if it knows the class."""
        if penalty is None:
            return
        pair = (self._services_on(configuration, vm), job_class)
        before = self.slowdown_by_pair.get(pair, penalty)
        self.slowdown_by_pair[pair] = before + SMOOTHING_FACTOR * (penalty - before)
        if len(self.slowdown_by_pair) > MAX_PAIRS:
            del self.slowdown_by_pair[next(iter(self.slowdown_by_pair))]

    def expected_slowdown(
        self, configuration: Configuration, vm: VmName, job_class: str
    ) -> float | None:
        """Return the slowdown to expect on a VM, if any agent has told one."""
        return self.slowdown_by_pair.get(
            (self._services_on(configuration, vm), job_class)
        )

    def level(self, configuration: Configuration, vm: VmName, job_class: str) -> int:
        """Return how late a VM is to be asked, from 0 on."""
        pair = (self._services_on(configuration, vm), job_class)
        penalty = self.slowdown_by_pair.get(pair, 0.0)
        return sum(penalty > limit for limit in LEVEL_THRESHOLDS)

    def _services_on(self, configuration: Configuration, vm: VmName) -> ServiceNames:
        if configuration.revision != self._revision:
            self._revision = configuration.revision
            names_by_vm: dict[str, list[str]] = {}
            for service in configuration.inventory.services:
                for name in service.vms:
                    names_by_vm.setdefault(name, []).append(service.name)
            self._services_by_vm = {v: tuple(sorted(n)) for v, n in names_by_vm.items()}
        return self._services_by_vm.get(vm, ())
