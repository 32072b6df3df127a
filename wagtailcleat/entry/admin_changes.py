"""The operators' port: what changes the configuration."""

import msgspec

from wagtailcleat.checked import convert, read_json
from wagtailcleat.configuration.history import difference
from wagtailcleat.configuration.models import (
    Configuration,
    Inventory,
    Rules,
    zone_is_out,
)
from wagtailcleat.configuration.writer import (
    Faulty,
    Missing,
    StoreFailed,
    checked_change,
    raced,
    read,
)
from wagtailcleat.entry.admin_base import AdminHandler, State
from wagtailcleat.errors import SettingsError
from wagtailcleat.ids import Revision, ZoneName
from wagtailcleat.storage import Unavailable

ZONE_SECTIONS = ["revision", "tasks_running", "requests_in_flight", "services"]


class ChangeRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A new inventory, new rules, or both, based on the revision the operator saw."""

    base_revision: int
    change_id: str = ""
    inventory: Inventory | None = None
    rules: Rules | None = None

    def apply(self, current: Configuration) -> Configuration:
        """Return `current` with what is asked for put in its place."""
        inventory = current.inventory if self.inventory is None else self.inventory
        rules = current.rules if self.rules is None else self.rules
        return msgspec.structs.replace(current, inventory=inventory, rules=rules)


class ConfigurationHandler(AdminHandler):
    """`/admin/configuration`: read, try and change the accepted configuration."""

    async def get(self) -> None:
        """Answer with what the store accepted; `?in_force=true`: what is in force."""
        if self.get_query_argument("in_force", "false") == "true":
            self.say(msgspec.to_builtins(self.admin.in_force.configuration))
            return
        stored = await read(self.admin.store)
        if isinstance(stored, Unavailable):
            self.say_changed(StoreFailed(stored.reason, unknown=False))
            return
        self.say(msgspec.to_builtins(stored.configuration))

    async def put(self) -> None:
        """Apply a new inventory or new rules; `?dry_run=true` only says the diff."""
        try:
            asked = convert(read_json(self.request.body), ChangeRequest)
        except SettingsError as error:
            self.say_changed(Faulty(error.problems))
            return
        change_id = self.change_id(asked.change_id)
        if change_id is None:
            return
        if self.get_query_argument("dry_run", "false") == "true":
            await self._try(asked)
            return
        base = Revision(asked.base_revision)
        self.say_changed(await self.admin.change(base, change_id, asked.apply))

    async def _try(self, asked: ChangeRequest) -> None:
        # What is in force at this entry may be older than what the store accepted;
        # a diff against it would show changes that another operator has made.
        stored = await read(self.admin.store)
        if isinstance(stored, Unavailable):
            self.say_changed(StoreFailed(stored.reason, unknown=False))
            return
        current = stored.configuration
        if asked.base_revision != current.revision:
            base = Revision(asked.base_revision)
            self.say_changed(await raced(self.admin.store, base, current))
            return
        after = checked_change(current, "dry run", asked.apply)
        if not isinstance(after, Configuration):
            self.say_changed(after)
            return
        changes = msgspec.to_builtins(difference(current, after))
        self.say({"revision": current.revision, "changes": changes})


class ZoneHandler(AdminHandler):
    """`/admin/zones/ZONE`: what still runs in an availability zone."""

    async def get(self, zone: str) -> None:
        """Answer with what still runs in the zone, and who has not heard yet."""
        configuration = self.admin.in_force.configuration
        if not _has_zone(configuration, zone):
            self.say_changed(_no_zone(zone))
            return
        members = [m for m in self.admin.view.agents() if m.zone == zone]
        states = await self.admin.states(members, ZONE_SECTIONS)
        reached = [state for state in states if state is not None]
        revision = configuration.revision
        self.say(
            {
                "zone": zone,
                "out": zone_is_out(configuration, ZoneName(zone)),
                "revision": revision,
                "agents": len(members),
                "agents_behind": sum(1 for s in reached if s["revision"] < revision),
                "agents_not_reached": len(states) - len(reached),
                "tasks_running": sum(s["tasks_running"] for s in reached),
                "requests_in_flight": sum(s["requests_in_flight"] for s in reached),
                "watchers": sum(_watchers(s) for s in reached),
            }
        )


class ZoneMoveHandler(AdminHandler):
    """`/admin/zones/ZONE/out` and `/in`: take a zone out, bring it back."""

    async def post(self, zone: str, direction: str) -> None:
        """Take the zone out (`out`) or bring it back (`in`); idempotent."""
        change_id = self.change_id(self.get_query_argument("change_id", ""))
        if change_id is None:
            return

        def change(current: Configuration) -> Configuration | Missing:
            if not _has_zone(current, zone):
                return _no_zone(zone)
            out = set(current.zones_out) - {zone}
            if direction == "out":
                out.add(zone)
            return msgspec.structs.replace(current, zones_out=sorted(out))

        self.say_changed(await self.admin.change(None, change_id, change))


def _watchers(state: State) -> int:
    return sum(service["watchers"] for service in state["services"].values())


def _has_zone(configuration: Configuration, zone: str) -> bool:
    return any(known.name == zone for known in configuration.inventory.zones)


def _no_zone(zone: str) -> Missing:
    return Missing(f"no availability zone '{zone}' in the inventory")
