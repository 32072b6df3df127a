"""Shares of a pool's VMs that bound placement, computed once a round."""

from collections.abc import Mapping

from wagtailcleat.ids import ServiceName
from wagtailcleat.scheduling.job_entry import Task
from wagtailcleat.scheduling.placement import has_required_label
from wagtailcleat.scheduling.vms import Vm

MAX_QUARANTINED_SHARE = 0.25
"""Quarantined share of a pool up to which the quarantine is respected.

If more VMs fail everything, it is more likely that the work itself fails wherever it
runs, and quarantining the VMs would keep sound work waiting.
"""


class PoolShares:
    """The committed and the quarantined share of each service's usable VMs."""

    def __init__(self, pool_by_service: Mapping[ServiceName, list[Vm]]) -> None:
        """Compute nothing yet; `pool_by_service` has the usable VMs of a round."""
        self._pool_by_service = pool_by_service
        self._committed_by_service: dict[ServiceName, float] = {}
        self._quarantine_by_pool: dict[tuple[ServiceName, str], bool] = {}
        """Whether the quarantine is respected, by service and required label."""

    def __repr__(self) -> str:
        """Show the number of pools."""
        return f"<PoolShares of {len(self._pool_by_service)} pools>"

    def committed(self, service: ServiceName) -> float:
        """Return the committed share of a pool's cores; 1 of a pool without any."""
        known = self._committed_by_service.get(service)
        if known is None:
            pool = self._pool_by_service.get(service, [])
            total = sum(vm.capacity.cores for vm in pool)
            known = sum(vm.committed.cores for vm in pool) / total if total else 1.0
            self._committed_by_service[service] = known
        return known

    def allows_quarantine(self, task: Task, now: float) -> bool:
        """Return whether few enough VMs are quarantined for a task to avoid them."""
        key = task.entry.job.service, task.step.required_label
        known = self._quarantine_by_pool.get(key)
        if known is None:
            pool = self._pool_by_service.get(key[0], [])
            labelled = [vm for vm in pool if has_required_label(vm, task.step)]
            quarantined = sum(vm.is_quarantined(now) for vm in labelled)
            known = self._quarantine_by_pool[key] = (
                quarantined <= MAX_QUARANTINED_SHARE * len(labelled)
            )
        return known
