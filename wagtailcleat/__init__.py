"""A scheduler for colocated latency-critical and batch work.

>>> from wagtailcleat import Inventory, convert, read_json
>>> text = '{"zones": [{"name": "muenchen", "region": "bayern"}]}'
>>> convert(read_json(text), Inventory)
Inventory(zones=[Zone(name='muenchen', region='bayern')], vms=[], services=[])
"""

from wagtailcleat.checked import convert, read_json
from wagtailcleat.configuration.check import inventory_problems, rules_problems
from wagtailcleat.configuration.models import (
    Configuration,
    Inventory,
    Rules,
    Service,
    Team,
    Vm,
    Zone,
)
from wagtailcleat.errors import (
    Code,
    IdentityError,
    InvariantError,
    ListenError,
    SettingsError,
    StreamError,
    WagtailcleatError,
)
from wagtailcleat.resources import Resources
from wagtailcleat.settings import AgentSettings, EntrySettings, load

__all__ = [
    "AgentSettings",
    "Code",
    "Configuration",
    "EntrySettings",
    "IdentityError",
    "InvariantError",
    "Inventory",
    "ListenError",
    "Resources",
    "Rules",
    "Service",
    "SettingsError",
    "StreamError",
    "Team",
    "Vm",
    "WagtailcleatError",
    "Zone",
    "convert",
    "inventory_problems",
    "load",
    "read_json",
    "rules_problems",
]
