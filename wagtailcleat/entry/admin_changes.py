"""Handlers of the operators' port that read and change the configuration."""

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
from wagtailcleat.entry.admin_base import AdminHandler, StateDump
from wagtailcleat.errors import SettingsError
from wagtailcleat.ids import Revision, ZoneName
from wagtailcleat.storage import Unavailable

ZONE_DUMP_SECTIONS = ["revision", "tasks_running", "requests_in_flight", "services"]


class ChangeRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A new inventory, new rules, or both, based on the revision the operator saw."""

    base_revision: int
    change_id: str = ""
    inventory: Inventory | None = None
    rules: Rules | None = None

    def apply(self, current: Configuration) -> Configuration:
        """Return `current` with the inventory and rules of this request."""
        inventory = current.inventory if self.inventory is None else self.inventory
        rules = current.rules if self.rules is None else self.rules
        return msgspec.structs.replace(current, inventory=inventory, rules=rules)


class ConfigurationHandler(AdminHandler):
    """`/admin/configuration`: read, dry-run and change the accepted configuration."""

    async def get(self) -> None:
        """Answer with the configuration in the store.

        `?in_force=true`: the one in force at this entry.
        """
        if self.get_query_argument("in_force", "false") == "true":
            self.write_json(msgspec.to_builtins(self.admin.in_force.configuration))
            return
        stored = await read(self.admin.store)
        if isinstance(stored, Unavailable):
            self.write_change_outcome(StoreFailed(stored.reason, unknown=False))
            return
        self.write_json(msgspec.to_builtins(stored.configuration))

    async def put(self) -> None:
        """Apply a new inventory or new rules; `?dry_run=true`: only return the diff."""
        try:
            change_request = convert(read_json(self.request.body), ChangeRequest)
        except SettingsError as error:
            self.write_change_outcome(Faulty(error.problems))
            return
        change_id = self.checked_change_id(change_request.change_id)
        if change_id is None:
            return
        if self.get_query_argument("dry_run", "false") == "true":
            await self._dry_run(change_request)
            return
        base = Revision(change_request.base_revision)
        self.write_change_outcome(
            await self.admin.apply_change(base, change_id, change_request.apply)
        )

    async def _dry_run(self, change_request: ChangeRequest) -> None:
        # The configuration in force at this entry may be older than the stored one;
        # a diff against it would include the changes of other operators.
        stored = await read(self.admin.store)
        if isinstance(stored, Unavailable):
            self.write_change_outcome(StoreFailed(stored.reason, unknown=False))
            return
        current = stored.configuration
        if change_request.base_revision != current.revision:
            base = Revision(change_request.base_revision)
            self.write_change_outcome(await raced(self.admin.store, base, current))
            return
        after = checked_change(current, "dry run", change_request.apply)
        if not isinstance(after, Configuration):
            self.write_change_outcome(after)
            return
        changes = msgspec.to_builtins(difference(current, after))
        self.write_json({"revision": current.revision, "changes": changes})


class ZoneHandler(AdminHandler):
    """`/admin/zones/ZONE`: the work that still runs in an availability zone."""

    async def get(self, zone: str) -> None:
        """Answer with the work in the zone, and the number of agents behind.

        An agent is behind while an older revision is in force at it.
        """
        configuration = self.admin.in_force.configuration
        if not _has_zone(configuration, zone):
            self.write_change_outcome(_zone_not_found(zone))
            return
        members = [m for m in self.admin.view.agents() if m.zone == zone]
        dumps = await self.admin.state_dumps(members, ZONE_DUMP_SECTIONS)
        reached = [dump for dump in dumps if dump is not None]
        revision = configuration.revision
        self.write_json(
            {
                "zone": zone,
                "out": zone_is_out(configuration, ZoneName(zone)),
                "revision": revision,
                "agents": len(members),
                "agents_behind": sum(1 for s in reached if s["revision"] < revision),
                "agents_not_reached": len(dumps) - len(reached),
                "tasks_running": sum(s["tasks_running"] for s in reached),
                "requests_in_flight": sum(s["requests_in_flight"] for s in reached),
                "watchers": sum(_watcher_count(s) for s in reached),
            }
        )


class ZoneOutHandler(AdminHandler):
    """`/admin/zones/ZONE/out` and `/in`: take a zone out of use, or back into use."""

    async def post(self, zone: str, direction: str) -> None:
        """Take the zone out of use (`out`) or back into use (`in`); idempotent."""
        change_id = self.checked_change_id(self.get_query_argument("change_id", ""))
        if change_id is None:
            return

        def change(current: Configuration) -> Configuration | Missing:
            if not _has_zone(current, zone):
                return _zone_not_found(zone)
            out = set(current.zones_out) - {zone}
            if direction == "out":
                out.add(zone)
            return msgspec.structs.replace(current, zones_out=sorted(out))

        self.write_change_outcome(
            await self.admin.apply_change(None, change_id, change)
        )


def _watcher_count(dump: StateDump) -> int:
    return sum(service["watchers"] for service in dump["services"].values())


def _has_zone(configuration: Configuration, zone: str) -> bool:
    return any(known.name == zone for known in configuration.inventory.zones)


def _zone_not_found(zone: str) -> Missing:
    return Missing(f"no availability zone '{zone}' in the inventory")
