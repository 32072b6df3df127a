"""Lookup of services by name, used by the callers' port for each request."""

from dataclasses import dataclass

from wagtailcleat.configuration.models import Configuration, Service
from wagtailcleat.ids import ServiceName, ZoneName


@dataclass(frozen=True)
class ServicePlacement:
    """A service, and the availability zones of the VMs that it is placed on."""

    service: Service
    zones: frozenset[ZoneName]

    def is_out(self, configuration: Configuration) -> bool:
        """Return whether all zones of the service are out of use."""
        return bool(self.zones) and self.zones <= set(configuration.zones_out)


class ServiceLookup:
    """Index of services by name.

    The index is built once for each configuration, as walking the inventory at
    each request would be slow.
    """

    def __init__(self) -> None:
        """Start without a configuration."""
        self._configuration: Configuration | None = None
        self._placement_by_name: dict[ServiceName, ServicePlacement] = {}

    def find(
        self, configuration: Configuration, name: ServiceName
    ) -> ServicePlacement | None:
        """Return the service of that name and its zones, or None."""
        if configuration is not self._configuration:
            self._placement_by_name = _placements_by_name(configuration)
            self._configuration = configuration
        return self._placement_by_name.get(name)


def _placements_by_name(
    configuration: Configuration,
) -> dict[ServiceName, ServicePlacement]:
    inventory = configuration.inventory
    zone_by_vm = {vm.name: ZoneName(vm.zone) for vm in inventory.vms}
    placement_by_name = {}
    for service in inventory.services:
        zones = frozenset(zone_by_vm[vm] for vm in service.vms if vm in zone_by_vm)
        placement_by_name[ServiceName(service.name)] = ServicePlacement(service, zones)
    return placement_by_name
