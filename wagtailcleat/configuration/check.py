"""Whether an inventory and rules hang together; every problem with its path.

The checks take what `convert_partly` could read: a field that could not be read is
None and was reported already, so the checks pass over it.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from wagtailcleat.checked import convert_partly
from wagtailcleat.configuration.models import (
    Configuration,
    Inventory,
    Rules,
    Service,
    Vm,
)
from wagtailcleat.resources import Resources

ROOT = "$"


def problems(configuration: Configuration) -> list[str]:
    """Return every problem of `configuration`, each `path: sentence`."""
    found = inventory_problems(configuration.inventory, path="$.inventory")
    found += rules_problems(configuration.rules, path="$.rules")
    zones = {zone.name for zone in configuration.inventory.zones}
    found += [
        f"$.zones_out[{index}]: no availability zone '{name}' in the inventory"
        for index, name in enumerate(configuration.zones_out)
        if name not in zones
    ]
    return found


def check_inventory(raw: Any) -> tuple[Inventory, list[str]]:
    """Return `raw` as an inventory, and every problem of its form and as a whole."""
    inventory, found = convert_partly(raw, Inventory)
    return inventory, found + inventory_problems(inventory) if inventory else found


def check_rules(raw: Any) -> tuple[Rules, list[str]]:
    """Return `raw` as rules, and every problem of their form and as a whole."""
    rules, found = convert_partly(raw, Rules)
    return rules, found + rules_problems(rules) if rules else found


def inventory_problems(inventory: Inventory, path: str = ROOT) -> list[str]:
    """Return what is wrong with the inventory as a whole."""
    zones = _read(inventory.zones)
    vms = _read(inventory.vms)
    found = _twice(f"{path}.zones", (zone.name for _, zone in zones))
    found += _twice(f"{path}.vms", (vm.name for _, vm in vms))
    names = (service.name for _, service in _read(inventory.services))
    found += _twice(f"{path}.services", names)
    zone_names = {zone.name for _, zone in zones}
    found += [
        f"{path}.vms[{index}].zone: no availability zone '{vm.zone}' in the inventory"
        for index, vm in vms
        if vm.zone is not None and vm.zone not in zone_names
    ]
    return found + _services_problems(inventory, path) + _overfull(inventory, path)


def rules_problems(rules: Rules, path: str = ROOT) -> list[str]:
    """Return what is wrong with the rules as a whole."""
    return _twice(f"{path}.teams", (team.name for _, team in _read(rules.teams)))


def _services_problems(inventory: Inventory, path: str) -> list[str]:
    vms = {vm.name for _, vm in _read(inventory.vms)}
    found: list[str] = []
    for index, service in _read(inventory.services):
        placed = _read(service.vms)
        found += _twice(f"{path}.services[{index}].vms", (name for _, name in placed))
        found += [
            f"{path}.services[{index}].vms[{place}]: no VM '{name}' in the inventory"
            for place, name in placed
            if name not in vms
        ]
    return found


def _overfull(inventory: Inventory, path: str) -> list[str]:
    taken_by_vm: dict[str, Resources] = {}
    for _, service in _read(inventory.services):
        if not _sized(service):
            continue
        for name in {name for _, name in _read(service.vms)}:
            taken_by_vm[name] = taken_by_vm.get(name, Resources()) + service.size
    return [
        f"{path}.vms[{index}]: the services placed on '{vm.name}' take {_said(taken)},"
        f" it holds {_said(vm.capacity)}"
        for index, vm in _read(inventory.vms)
        if _sized(vm)
        and not (taken := taken_by_vm.get(vm.name, Resources())).fits(vm.capacity)
    ]


def _read(items: list[Any] | None) -> list[tuple[int, Any]]:
    return [(i, item) for i, item in enumerate(items or []) if item is not None]


def _sized(item: Vm | Service) -> bool:
    return None not in (item.cores, item.memory_mb, item.accelerators)


def _said(amount: Resources) -> str:
    return (
        f"{amount.cores:g} cores, {amount.memory_mb} MB,"
        f" {amount.accelerators} accelerators"
    )


def _twice(path: str, names: Iterable[str | None]) -> list[str]:
    counted = Counter(name for name in names if name is not None)
    return [f"{path}: '{n}' stands {c} times" for n, c in counted.items() if c > 1]
