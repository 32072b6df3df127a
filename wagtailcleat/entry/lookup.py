"""The services of the configuration in force, found by name at each request."""

from dataclasses import dataclass

from wagtailcleat.configuration.models import Configuration, Service
from wagtailcleat.ids import ServiceName, ZoneName


@dataclass(frozen=True)
class ServedIn:
    """A service, and the zones of the VMs that it is placed on."""

    service: Service
    zones: frozenset[ZoneName]

    def all_out(self, configuration: Configuration) -> bool:
        """Tell whether every zone of the service is out."""
        return bool(self.zones) and self.zones <= set(configuration.zones_out)


class ServiceLookup:
    """Walks the inventory once a configuration, and not at each request."""

    def __init__(self) -> None:
        """Know no configuration yet."""
        self._configuration: Configuration | None = None
        self._by_name: dict[ServiceName, ServedIn] = {}

    def find(self, configuration: Configuration, name: ServiceName) -> ServedIn | None:
        """Return the service of that name, if there is one."""
        if configuration is not self._configuration:
            self._by_name = _by_name(configuration)
            self._configuration = configuration
        return self._by_name.get(name)


def _by_name(configuration: Configuration) -> dict[ServiceName, ServedIn]:
    inventory = configuration.inventory
    zone_by_vm = {vm.name: ZoneName(vm.zone) for vm in inventory.vms}
    found = {}
    for service in inventory.services:
        zones = frozenset(zone_by_vm[vm] for vm in service.vms if vm in zone_by_vm)
        found[ServiceName(service.name)] = ServedIn(service, zones)
    return found
