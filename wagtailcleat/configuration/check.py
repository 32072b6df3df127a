"""Checks of an inventory, rules and a whole configuration for consistency.

The command line checks files here and the writer checks each change. The checks take
the result of `convert_with_problems`: a field that could not be converted is None and
was reported already, so the checks ignore it.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from wagtailcleat.checked import convert_with_problems
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
    """Return every problem of `configuration`, each as `path: sentence`."""
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
    """Return `raw` as an inventory, with every problem of its fields and as a whole."""
    inventory, found = convert_with_problems(raw, Inventory)
    return inventory, found + inventory_problems(inventory) if inventory else found


def check_rules(raw: Any) -> tuple[Rules, list[str]]:
    """Return `raw` as rules, with every problem of their fields and as a whole."""
    rules, found = convert_with_problems(raw, Rules)
    return rules, found + rules_problems(rules) if rules else found


def inventory_problems(inventory: Inventory, path: str = ROOT) -> list[str]:
    """Return duplicate names, unknown names and VMs too small for their services."""
    zones = _readable_items(inventory.zones)
    vms = _readable_items(inventory.vms)
    found = _duplicate_problems(f"{path}.zones", (zone.name for _, zone in zones))
    found += _duplicate_problems(f"{path}.vms", (vm.name for _, vm in vms))
    names = (service.name for _, service in _readable_items(inventory.services))
    found += _duplicate_problems(f"{path}.services", names)
    zone_names = {zone.name for _, zone in zones}
    found += [
        f"{path}.vms[{index}].zone: no availability zone '{vm.zone}' in the inventory"
        for index, vm in vms
        if vm.zone is not None and vm.zone not in zone_names
    ]
    return (
        found
        + _placement_problems(inventory, path)
        + _capacity_problems(inventory, path)
    )


def rules_problems(rules: Rules, path: str = ROOT) -> list[str]:
    """Return duplicate team names in the rules."""
    return _duplicate_problems(
        f"{path}.teams", (team.name for _, team in _readable_items(rules.teams))
    )


def _placement_problems(inventory: Inventory, path: str) -> list[str]:
    vms = {vm.name for _, vm in _readable_items(inventory.vms)}
    found: list[str] = []
    for index, service in _readable_items(inventory.services):
        vm_names = _readable_items(service.vms)
        found += _duplicate_problems(
            f"{path}.services[{index}].vms", (name for _, name in vm_names)
        )
        found += [
            f"{path}.services[{index}].vms[{vm_index}]: no VM '{name}' in the inventory"
            for vm_index, name in vm_names
            if name not in vms
        ]
    return found


def _capacity_problems(inventory: Inventory, path: str) -> list[str]:
    used_by_vm: dict[str, Resources] = {}
    for _, service in _readable_items(inventory.services):
        if not _has_all_amounts(service):
            continue
        for name in {name for _, name in _readable_items(service.vms)}:
            used_by_vm[name] = used_by_vm.get(name, Resources()) + service.size
    return [
        f"{path}.vms[{index}]: the services placed on '{vm.name}' take"
        f" {_amounts_text(used)}, it holds {_amounts_text(vm.capacity)}"
        for index, vm in _readable_items(inventory.vms)
        if _has_all_amounts(vm)
        and not (used := used_by_vm.get(vm.name, Resources())).fits(vm.capacity)
    ]


def _readable_items(items: list[Any] | None) -> list[tuple[int, Any]]:
    return [(i, item) for i, item in enumerate(items or []) if item is not None]


def _has_all_amounts(item: Vm | Service) -> bool:
    return None not in (item.cores, item.memory_mb, item.accelerators)


def _amounts_text(amount: Resources) -> str:
    return (
        f"{amount.cores:g} cores, {amount.memory_mb} MB,"
        f" {amount.accelerators} accelerators"
    )


def _duplicate_problems(path: str, names: Iterable[str | None]) -> list[str]:
    count_by_name = Counter(name for name in names if name is not None)
    return [
        f"{path}: '{n}' stands {c} times" for n, c in count_by_name.items() if c > 1
    ]
