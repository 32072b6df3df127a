"""A configuration split into parts, each with the revision of its last change.

Gossip sends only changed parts: at 16 KB a second, the whole inventory of the target
size can't reach every process within seconds, and a change is seldom more than one or
two parts. The hot part (the zones out of service) is a part of its own.
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
TOMBSTONE = b""
MAX_TOMBSTONES = 1000
INVENTORY_LISTS = ("zones", "vms", "services")
TEAMS = "teams"
TYPE_BY_KIND = {"zones": Zone, "vms": Vm, "services": Service, TEAMS: Team}

_encode = msgspec.json.Encoder(order="sorted").encode


def split_parts(configuration: Configuration) -> dict[str, bytes]:
    """Return the JSON value of each part of `configuration`, by the part's key."""
    value_by_key: dict[str, bytes] = {
        ZONES_OUT: _encode(sorted(configuration.zones_out)),
    }
    for team in configuration.rules.teams:
        value_by_key[f"{TEAMS}/{team.name}"] = _encode(team)
    rules = msgspec.structs.replace(configuration.rules, teams=[])
    value_by_key[RULES] = _encode(rules)
    for name in INVENTORY_LISTS:
        for item in getattr(configuration.inventory, name):
            value_by_key[f"{name}/{item.name}"] = _encode(item)
    return value_by_key


def join_parts(
    revision: Revision, change_id: str, value_by_key: dict[str, bytes]
) -> Configuration:
    """Return the configuration whose parts are `value_by_key`."""
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
    # Decoded by msgspec directly. `convert`, which reports every problem, takes
    # 90 ms a change at the target size and blocks all requests meanwhile.
    try:
        return msgspec.json.decode(value, type=kind)
    except msgspec.MsgspecError as error:
        raise SettingsError([f"$.{key}: {error}"]) from None


def changed_parts(before: Configuration, after: Configuration) -> dict[str, bytes]:
    """Return the parts that differ; a removed part has the value `TOMBSTONE`."""
    old_value_by_key, new_value_by_key = split_parts(before), split_parts(after)
    added_or_changed = {
        key: value
        for key, value in new_value_by_key.items()
        if old_value_by_key.get(key) != value
    }
    removed = {
        key: TOMBSTONE for key in old_value_by_key if key not in new_value_by_key
    }
    return added_or_changed | removed


class InForce:
    """The configuration in force at this process; its revision never decreases.

    It keeps a tombstone of each removed part, so that a delta can tell a peer which
    parts to remove; beyond `MAX_TOMBSTONES` all of them are discarded, and peers with
    an older revision get the whole configuration.
    """

    def __init__(self) -> None:
        """Start with the empty configuration, revision 0."""
        self.configuration = Configuration()
        self.changed_at = 0.0
        self._part_by_key: dict[str, ConfigurationPart] = {}
        self._tombstones_complete_since = Revision(0)

    def __repr__(self) -> str:
        """Show the revision in force."""
        return f"<InForce revision {self.revision}>"

    @property
    def revision(self) -> Revision:
        """The revision in force."""
        return self.configuration.revision

    def adopt(self, configuration: Configuration, now: float) -> bool:
        """Put a whole configuration in force; return whether it was newer."""
        if configuration.revision <= self.revision:
            return False
        if self.revision == 0:
            self._tombstones_complete_since = configuration.revision
        for key, value in changed_parts(self.configuration, configuration).items():
            part = ConfigurationPart(key, configuration.revision, value)
            self._part_by_key[key] = part
        self._set_configuration(configuration, now)
        return True

    def delta(self, since: Revision) -> ConfigurationDelta:
        """Return every part changed after revision `since`.

        Parts removed before this process first got a configuration are unknown
        here, so a peer with a revision older than that gets the whole.
        """
        whole = since < self._tombstones_complete_since
        parts = [
            part
            for part in self._part_by_key.values()
            if part.revision > since or (whole and part.value)
        ]
        change_id = self.configuration.change_id
        return ConfigurationDelta(self.revision, change_id, parts, whole)

    def merge(self, delta: ConfigurationDelta, now: float) -> bool:
        """Apply a delta since the revision in force; return whether it was newer.

        A delta that was requested at an older revision holds all needed parts and
        more, so it may arrive late.
        """
        if delta.revision <= self.revision:
            return False
        if delta.whole:
            self._part_by_key.clear()
            self._tombstones_complete_since = delta.revision
        for part in delta.parts:
            known = self._part_by_key.get(part.key)
            if known is None or part.revision > known.revision:
                self._part_by_key[part.key] = part
        value_by_key = {k: p.value for k, p in self._part_by_key.items() if p.value}
        self._set_configuration(
            join_parts(delta.revision, delta.change_id, value_by_key), now
        )
        return True

    def _set_configuration(self, configuration: Configuration, now: float) -> None:
        self.configuration = configuration
        self.changed_at = now
        removed = [k for k, part in self._part_by_key.items() if not part.value]
        if len(removed) > MAX_TOMBSTONES:
            self._tombstones_complete_since = configuration.revision
            for key in removed:
                del self._part_by_key[key]
