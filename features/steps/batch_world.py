"""VMs, team, timing and configuration shared by the in-process batch tests."""

from msgspec.structs import replace

from wagtailcleat.configuration.models import (
    Configuration,
    Inventory,
    Rules,
    Team,
    Vm,
    Zone,
)
from wagtailcleat.resources import Resources
from wagtailcleat.settings import Timing

ZONE_BY_VM = {"vm-1": "zilina-a", "vm-2": "zilina-b", "vm-3": "zilina-a"}
VMS = sorted(ZONE_BY_VM)
HELD = Resources(4.0, 4_000, 0)
TASK = Resources(2.0, 100, 0)
TASKS_A_VM = 2
SHARDS = 2
TEAM = Team("travel-desk", 100, 100_000, shards=SHARDS)
TIMING = Timing(
    reservation=0.5,
    grant=3.0,
    ownership=2,
    gossip=0.2,
    suspicion=1.0,
    outage_grant=15.0,
    drain=3.0,
)


def configured(current: Configuration) -> Configuration:
    """Return the configuration with the inventory and rules of the batch tests."""
    zones = [Zone(zone, "zilina") for zone in ("zilina-a", "zilina-b")]
    vms = [
        Vm(name, zone, f"rack-{name}", HELD.cores, HELD.memory_mb)
        for name, zone in ZONE_BY_VM.items()
    ]
    return replace(
        current, inventory=Inventory(zones, vms, []), rules=Rules(teams=[TEAM])
    )
