"""The operators' inventory and rules, as checked values."""

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
    """A VM, with all that it holds."""

    name: Name
    zone: Name
    rack: Name
    cores: Cores
    memory_mb: MemoryMb
    accelerators: Accelerators = 0

    @property
    def capacity(self) -> Resources:
        """All that the VM holds."""
        return Resources(self.cores, self.memory_mb, self.accelerators)


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A latency-critical service; each of its endpoints takes the amounts given."""

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
        """What one endpoint of the service takes on its VM."""
        return Resources(self.cores, self.memory_mb, self.accelerators)


class Inventory(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What there is: zones, VMs and the services placed on them."""

    zones: list[Zone] = []
    vms: list[Vm] = []
    services: list[Service] = []


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team and the most its batch tasks may take at one time."""

    name: Name
    cores: Cores
    memory_mb: MemoryMb
    accelerators: Accelerators = 0
    shards: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 1
    """Over how many shards the team's jobs and quota are spread."""

    @property
    def quota(self) -> Resources:
        """The most the team's running tasks may take together."""
        return Resources(self.cores, self.memory_mb, self.accelerators)


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What operators add on top of the inventory."""

    teams: list[Team] = []
    retry_share: Share = 0.1
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 20


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One accepted configuration; a higher revision replaces a lower one."""

    revision: Revision = Revision(0)
    change_id: str = ""
    inventory: Inventory = Inventory()
    rules: Rules = Rules()
    zones_out: list[Name] = []


class Placed(msgspec.Struct, frozen=True):
    """One VM as the configuration has it, with its services."""

    vm: Vm
    services: list[Service]

    @property
    def for_services(self) -> Resources:
        """What the VM's services take together."""
        total = Resources()
        for service in self.services:
            total = total + service.size
        return total


def placed(configuration: Configuration, vm: VmName) -> Placed | None:
    """Return what stands on `vm`, or nothing where the inventory lacks it."""
    found = next((v for v in configuration.inventory.vms if v.name == vm), None)
    if found is None:
        return None
    services = [s for s in configuration.inventory.services if vm in s.vms]
    return Placed(found, services)


def service_named(configuration: Configuration, name: ServiceName) -> Service | None:
    """Return the service of that name, if there is one."""
    services = configuration.inventory.services
    return next((s for s in services if s.name == name), None)


def team_named(configuration: Configuration, name: TeamName) -> Team | None:
    """Return the team of that name, if there is one."""
    return next((t for t in configuration.rules.teams if t.name == name), None)


def zone_is_out(configuration: Configuration, zone: ZoneName) -> bool:
    """Tell whether operators have taken `zone` out of service."""
    return zone in configuration.zones_out
