"""The operators' inventory and rules as structs; every process reads them."""

from typing import Annotated

import msgspec

from wagtailcleat.ids import Revision, ServiceName, TeamName, VmName, ZoneName
from wagtailcleat.resources import Accelerators, Cores, MemoryMb, Resources

NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
NAME_WORDS = "a name of a-z, 0-9 and -, at most 63 characters"
Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN, description=NAME_WORDS)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


class Zone(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An availability zone of a region."""

    name: Name
    region: Name


class Vm(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A VM and its total capacity."""

    name: Name
    zone: Name
    rack: Name
    cores: Cores
    memory_mb: MemoryMb
    accelerators: Accelerators = 0

    @property
    def capacity(self) -> Resources:
        """The VM's total capacity."""
        return Resources(self.cores, self.memory_mb, self.accelerators)


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A latency-critical service; each of its endpoints needs the amounts given."""

    name: Name
    vms: list[Name]
    cores: Cores
    memory_mb: MemoryMb
    accelerators: Accelerators = 0
    slots: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 8
    connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 64
    queue: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 16
    deadline_seconds: Seconds = 2.0
    latency_target_seconds: Seconds = 0.5

    @property
    def size(self) -> Resources:
        """The resources that one endpoint of the service needs on its VM."""
        return Resources(self.cores, self.memory_mb, self.accelerators)


class Inventory(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The availability zones, the VMs and the services placed on them."""

    zones: list[Zone] = []
    vms: list[Vm] = []
    services: list[Service] = []


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team and the quota of its batch tasks."""

    name: Name
    cores: Cores
    memory_mb: MemoryMb
    accelerators: Accelerators = 0
    shards: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 1
    """Number of shards over which the team's jobs and quota are spread."""

    @property
    def quota(self) -> Resources:
        """The upper bound of the resources of all running tasks of the team."""
        return Resources(self.cores, self.memory_mb, self.accelerators)


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Policies of the operators: team quotas and limits of retries."""

    teams: list[Team] = []
    retry_share: Share = 0.1
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 20


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One accepted configuration; a higher revision replaces a lower one.

    Revision 0 is the empty configuration before the first change.
    """

    revision: Revision = Revision(0)
    change_id: str = ""
    inventory: Inventory = Inventory()
    rules: Rules = Rules()
    zones_out: list[Name] = []


class VmWithServices(msgspec.Struct, frozen=True):
    """A VM of the inventory, with the services placed on it."""

    vm: Vm
    services: list[Service]

    @property
    def for_services(self) -> Resources:
        """The resources that the VM's services need together."""
        total = Resources()
        for service in self.services:
            total = total + service.size
        return total


def placed(configuration: Configuration, vm: VmName) -> VmWithServices | None:
    """Return `vm` with its services, or None where the inventory lacks it."""
    found = next((v for v in configuration.inventory.vms if v.name == vm), None)
    if found is None:
        return None
    services = [s for s in configuration.inventory.services if vm in s.vms]
    return VmWithServices(found, services)


def service_named(configuration: Configuration, name: ServiceName) -> Service | None:
    """Return the service of that name, or None."""
    services = configuration.inventory.services
    return next((s for s in services if s.name == name), None)


def team_named(configuration: Configuration, name: TeamName) -> Team | None:
    """Return the team of that name, or None."""
    return next((t for t in configuration.rules.teams if t.name == name), None)


def zone_is_out(configuration: Configuration, zone: ZoneName) -> bool:
    """Return whether operators have taken `zone` out of service."""
    return zone in configuration.zones_out
