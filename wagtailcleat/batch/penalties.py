"""How much a job class slows services down, as agents told this owner.

An agent learns it for the services on its own VM. What it tells with each answer to
a reservation is taken for every VM with the same services, so that a pair known to
be bad on one VM is not tried on all the others.
"""

from dataclasses import dataclass, field

from wagtailcleat.configuration.models import Configuration
from wagtailcleat.ids import Revision, VmName

Services = tuple[str, ...]

WEIGHT = 0.3
LEVELS = (0.005, 0.015, 0.04)
"""Slowdown for each core from which on a VM is asked later than others."""
MAX_PAIRS = 10_000


@dataclass
class Penalties:
    """The latest slowdown for one core, by the services of a VM and a job class."""

    by_pair: dict[tuple[Services, str], float] = field(default_factory=dict)
    _services_by_vm: dict[str, Services] = field(default_factory=dict)
    _revision: Revision = Revision(-1)

    def note(
        self,
        configuration: Configuration,
        vm: VmName,
        job_class: str,
        penalty: float | None,
    ) -> None:
        """Take what an agent told, if it knows the class."""
        if penalty is None:
            return
        pair = (self._services(configuration, vm), job_class)
        before = self.by_pair.get(pair, penalty)
        self.by_pair[pair] = before + WEIGHT * (penalty - before)
        if len(self.by_pair) > MAX_PAIRS:
            del self.by_pair[next(iter(self.by_pair))]

    def known(
        self, configuration: Configuration, vm: VmName, job_class: str
    ) -> float | None:
        """Return the slowdown to expect on a VM, if any agent has told one."""
        return self.by_pair.get((self._services(configuration, vm), job_class))

    def level(self, configuration: Configuration, vm: VmName, job_class: str) -> int:
        """Return how late a VM is to be asked, from 0 on."""
        pair = (self._services(configuration, vm), job_class)
        penalty = self.by_pair.get(pair, 0.0)
        return sum(penalty > limit for limit in LEVELS)

    def _services(self, configuration: Configuration, vm: VmName) -> Services:
        if configuration.revision != self._revision:
            self._revision = configuration.revision
            on_vm: dict[str, list[str]] = {}
            for service in configuration.inventory.services:
                for name in service.vms:
                    on_vm.setdefault(name, []).append(service.name)
            self._services_by_vm = {v: tuple(sorted(n)) for v, n in on_vm.items()}
        return self._services_by_vm.get(vm, ())
