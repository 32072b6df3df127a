"""Penalties of job classes, as agents report them to a shard's owner.

A penalty is the worst relative slowdown of any of a VM's services per core of a job
class. Each agent estimates it for its own VM and sends it with each answer to a
reservation. The placer applies it to every VM with the same services, so that a
combination known to be bad on one VM is not tried on all the others.
"""

from dataclasses import dataclass, field

from wagtailcleat.configuration.models import Configuration
from wagtailcleat.ids import Revision, VmName

ServiceNames = tuple[str, ...]

SMOOTHING_FACTOR = 0.3
LEVEL_THRESHOLDS = (0.005, 0.015, 0.04)
"""Slowdown per core at which a VM moves to the next level and is tried later."""
MAX_PAIRS = 10_000
"""Beyond this number of pairs, the one that was inserted first is dropped."""


@dataclass
class Penalties:
    """Smoothed penalties, by a VM's services and a job class."""

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
        """Add the penalty that an agent reported; ignore None.

        An agent reports None for a job class that it has no estimate for.
        """
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
        """Return the expected slowdown per core on a VM, or None if not reported."""
        return self.slowdown_by_pair.get(
            (self._services_on(configuration, vm), job_class)
        )

    def level(self, configuration: Configuration, vm: VmName, job_class: str) -> int:
        """Return how many thresholds a VM's penalty exceeds.

        VMs of lower levels are tried first.
        """
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
