"""A configuration cut into parts, each with the revision of its last change.

The whole inventory of the target size can't go to every process within seconds at
16 KB a second; a change is seldom more than a part or two, so only changed parts
travel. The hot part (zones out) is one part of its own.
"""

from typing import Any

import msgspec

from wagtailcleat.configuration.models import (
    Configuration,
    Inventory,
    Rules,
    Service,
    Team,
    Vm,
    Zone,
)
from wagtailcleat.errors import SettingsError
from wagtailcleat.ids import Revision
from wagtailcleat.wire.configuration import ConfigurationDelta, ConfigurationPart

ZONES_OUT = "zones_out"
RULES = "rules"
REMOVED = b""
MAX_REMOVED_KEPT = 1000
NAMED_LISTS = ("zones", "vms", "services")
TEAMS = "teams"
TYPE_BY_KIND = {"zones": Zone, "vms": Vm, "services": Service, TEAMS: Team}

_encode = msgspec.json.Encoder(order="sorted").encode


def cut(configuration: Configuration) -> dict[str, bytes]:
    """Return the JSON value of each part, by the part's key."""
    value_by_key: dict[str, bytes] = {
        ZONES_OUT: _encode(sorted(configuration.zones_out)),
    }
    for team in configuration.rules.teams:
        value_by_key[f"{TEAMS}/{team.name}"] = _encode(team)
    rules = msgspec.structs.replace(configuration.rules, teams=[])
    value_by_key[RULES] = _encode(rules)
    for name in NAMED_LISTS:
        for item in getattr(configuration.inventory, name):
            value_by_key[f"{name}/{item.name}"] = _encode(item)
    return value_by_key


def join(
    revision: Revision, change_id: str, value_by_key: dict[str, bytes]
) -> Configuration:
    """Return the configuration that was cut into `value_by_key`."""
    items_by_kind: dict[str, list[Any]] = {kind: [] for kind in TYPE_BY_KIND}
    rules = Rules()
    zones_out: list[str] = []
    for key in sorted(value_by_key):
        value = value_by_key[key]
        kind = key.split("/")[0]
        if key == ZONES_OUT:
            zones_out = _decoded(key, value, list[str])
        elif key == RULES:
            rules = _decoded(key, value, Rules)
        else:
            item = _decoded(key, value, TYPE_BY_KIND[kind])
            items_by_kind[kind].append(item)
    rules = msgspec.structs.replace(rules, teams=items_by_kind.pop(TEAMS))
    return Configuration(
        revision, change_id, Inventory(**items_by_kind), rules, zones_out
    )


def _decoded(key: str, value: bytes, kind: Any) -> Any:
    # Read by msgspec alone: the reading that names every problem of a file took
    # 90 ms a change at the target size, and stopped all requests meanwhile.
    try:
        return msgspec.json.decode(value, type=kind)
    except msgspec.MsgspecError as error:
        raise SettingsError([f"$.{key}: {error}"]) from None


def changed(before: Configuration, after: Configuration) -> dict[str, bytes]:
    """Return the parts that differ; a removed part has an empty value."""
    old, new = cut(before), cut(after)
    different = {key: value for key, value in new.items() if old.get(key) != value}
    removed = {key: REMOVED for key in old if key not in new}
    return different | removed


class InForce:
    """The configuration in force at this process; it never goes back."""

    def __init__(self) -> None:
        """Start with revision 0: nothing is configured."""
        self.configuration = Configuration()
        self.changed_at = 0.0
        self._part_by_key: dict[str, ConfigurationPart] = {}
        self._complete_since = Revision(0)

    def __repr__(self) -> str:
        """Show the revision in force."""
        return f"<InForce revision {self.revision}>"

    @property
    def revision(self) -> Revision:
        """The revision in force."""
        return self.configuration.revision

    def adopt(self, configuration: Configuration, now: float) -> bool:
        """Take a whole configuration; one that is not newer changes nothing."""
        if configuration.revision <= self.revision:
            return False
        if self.revision == 0:
            self._complete_since = configuration.revision
        for key, value in changed(self.configuration, configuration).items():
            part = ConfigurationPart(key, configuration.revision, value)
            self._part_by_key[key] = part
        self._take(configuration, now)
        return True

    def delta(self, since: Revision) -> ConfigurationDelta:
        """Return every part changed after `since`.

        What was removed before this process first took a configuration is not
        known here, so a peer from before then gets the whole.
        """
        whole = since < self._complete_since
        parts = [
            part
            for part in self._part_by_key.values()
            if part.revision > since or (whole and part.value)
        ]
        change_id = self.configuration.change_id
        return ConfigurationDelta(self.revision, change_id, parts, whole)

    def merge(self, delta: ConfigurationDelta, now: float) -> bool:
        """Take a delta that was asked for with the revision in force.

        A delta asked for at an older revision holds all that is needed and more,
        so it may come late; one of a revision not newer changes nothing.
        """
        if delta.revision <= self.revision:
            return False
        if delta.whole:
            self._part_by_key.clear()
            self._complete_since = delta.revision
        for part in delta.parts:
            known = self._part_by_key.get(part.key)
            if known is None or part.revision > known.revision:
                self._part_by_key[part.key] = part
        values = {k: p.value for k, p in self._part_by_key.items() if p.value}
        self._take(join(delta.revision, delta.change_id, values), now)
        return True

    def _take(self, configuration: Configuration, now: float) -> None:
        self.configuration = configuration
        self.changed_at = now
        removed = [k for k, part in self._part_by_key.items() if not part.value]
        if len(removed) > MAX_REMOVED_KEPT:
            self._complete_since = configuration.revision
            for key in removed:
                del self._part_by_key[key]
