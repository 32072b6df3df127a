"""Whether an inventory and rules hang together; every problem with its path."""

from collections import Counter
from collections.abc import Iterable

from wagtailcleat.configuration.models import Configuration, Inventory, Rules
from wagtailcleat.resources import Resources


def problems(configuration: Configuration) -> list[str]:
    """Return every problem of `configuration`, each `path: sentence`."""
    found = inventory_problems(configuration.inventory)
    found += rules_problems(configuration.rules)
    zones = {zone.name for zone in configuration.inventory.zones}
    found += [
        f"zones_out[{index}]: no availability zone '{name}' in the inventory"
        for index, name in enumerate(configuration.zones_out)
        if name not in zones
    ]
    return found


def inventory_problems(inventory: Inventory) -> list[str]:
    """Return what is wrong with the inventory as a whole."""
    found = _twice("zones", (zone.name for zone in inventory.zones))
    found += _twice("vms", (vm.name for vm in inventory.vms))
    found += _twice("services", (service.name for service in inventory.services))
    zones = {zone.name for zone in inventory.zones}
    found += [
        f"vms[{index}].zone: no availability zone '{vm.zone}' in the inventory"
        for index, vm in enumerate(inventory.vms)
        if vm.zone not in zones
    ]
    return found + _services_problems(inventory) + _overfull(inventory)


def rules_problems(rules: Rules) -> list[str]:
    """Return what is wrong with the rules as a whole."""
    return _twice("teams", (team.name for team in rules.teams))


def _services_problems(inventory: Inventory) -> list[str]:
    vms = {vm.name for vm in inventory.vms}
    found: list[str] = []
    for index, service in enumerate(inventory.services):
        path = f"services[{index}].vms"
        found += _twice(path, service.vms)
        found += [
            f"{path}[{place}]: no VM '{name}' in the inventory"
            for place, name in enumerate(service.vms)
            if name not in vms
        ]
    return found


def _overfull(inventory: Inventory) -> list[str]:
    taken_by_vm: dict[str, Resources] = {}
    for service in inventory.services:
        for name in set(service.vms):
            taken_by_vm[name] = taken_by_vm.get(name, Resources()) + service.size
    return [
        f"vms[{index}]: the services placed on '{vm.name}' take {_said(taken)},"
        f" it holds {_said(vm.capacity)}"
        for index, vm in enumerate(inventory.vms)
        if not (taken := taken_by_vm.get(vm.name, Resources())).fits(vm.capacity)
    ]


def _said(amount: Resources) -> str:
    return (
        f"{amount.cores:g} cores, {amount.memory_mb} MB,"
        f" {amount.accelerators} accelerators"
    )


def _twice(path: str, names: Iterable[str]) -> list[str]:
    counted = Counter(names)
    return [f"{path}: '{n}' stands {c} times" for n, c in counted.items() if c > 1]
