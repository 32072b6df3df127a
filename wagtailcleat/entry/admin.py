"""The operators' port: the administration API, behind a bearer token."""

import asyncio
import hmac
import json
import secrets
from dataclasses import dataclass
from typing import Any

import msgspec
from prometheus_client import generate_latest
from tornado.web import Application, RequestHandler

from wagtailcleat.checked import convert, read_json
from wagtailcleat.clock import Clock
from wagtailcleat.configuration.check import problems
from wagtailcleat.configuration.models import (
    Configuration,
    Inventory,
    Rules,
    zone_is_out,
)
from wagtailcleat.configuration.parts import InForce
from wagtailcleat.configuration.writer import (
    Accepted,
    Change,
    Changed,
    Faulty,
    Raced,
    described,
    write,
)
from wagtailcleat.entry.context import write_refusal
from wagtailcleat.errors import Code, SettingsError
from wagtailcleat.ids import NodeId, Revision, ZoneName
from wagtailcleat.logs import part_logger
from wagtailcleat.membership.gossip import Gossiper
from wagtailcleat.membership.view import View
from wagtailcleat.platform.store import Store
from wagtailcleat.process import Introspection
from wagtailcleat.wire.messages import Dump, DumpState, Member
from wagtailcleat.wire.streams import Lost, Peers

log = part_logger("admin")

BEARER = "Bearer "
CHANGE_ID_BYTES = 9
DUMP_SECONDS = 2.0
RETRY_AFTER_SECONDS = 2.0


class ChangeRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A new inventory, new rules, or both, based on the revision the operator saw."""

    base_revision: int
    change_id: str = ""
    inventory: Inventory | None = None
    rules: Rules | None = None


@dataclass(frozen=True)
class Admin:
    """What the handlers of the operators' port work with."""

    token: str
    store: Store
    view: View
    in_force: InForce
    peers: Peers
    gossiper: Gossiper
    introspection: Introspection
    clock: Clock

    async def change(
        self, base: Revision | None, change_id: str, change: Change
    ) -> Changed:
        """Write a change, put it in force here and push it at once."""
        change_id = change_id or secrets.token_urlsafe(CHANGE_ID_BYTES)
        outcome = await write(self.store, base, change_id, change)
        if isinstance(outcome, Accepted):
            current = outcome.configuration
            if self.in_force.adopt(current, self.clock()):
                self.gossiper.configuration_changed()
            log.info("A change was accepted", extra={"revision": current.revision})
        return outcome

    async def dump(self, node: NodeId) -> Dump | None:
        """Return the state dump of a node, wherever it runs."""
        if node == self.view.me.node:
            return Dump(self.introspection.text())
        member = self.view.member_by_node.get(node)
        if member is None:
            return None
        answer = await self.peers.call(
            member.host, member.port, DumpState(), timeout=DUMP_SECONDS
        )
        return answer if isinstance(answer, Dump) else None


class AdminHandler(RequestHandler):
    """Base of the operators' handlers: no token, no answer."""

    def initialize(self, admin: Admin) -> None:
        """Keep what the handler works with."""
        self.admin = admin

    def prepare(self) -> None:
        """Refuse whoever lacks the token, compared in constant time."""
        given = self.request.headers.get("Authorization", "")
        expected = BEARER + self.admin.token
        if not hmac.compare_digest(given.encode(), expected.encode()):
            write_refusal(
                self, Code.UNAUTHORIZED, "send the token as Authorization: Bearer"
            )

    def say(self, body: object, status: int = 200) -> None:
        """Answer with JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body) + "\n")

    def say_changed(self, outcome: Changed) -> None:
        """Answer with what became of a change."""
        if isinstance(outcome, Accepted):
            self.say({"revision": outcome.configuration.revision})
        elif isinstance(outcome, Faulty):
            body: dict[str, object] = {
                "code": Code.INVALID.value,
                "message": "nothing was applied",
                "problems": outcome.problems,
            }
            self.say(body, 400)
        elif isinstance(outcome, Raced):
            body = {
                "code": Code.CONFLICT.value,
                "message": "another change came first; nothing was applied",
                "revision": outcome.current.revision,
                "changes": described(
                    self.admin.in_force.configuration, outcome.current
                ),
            }
            self.say(body, 409)
        else:
            code = Code.OUTCOME_UNKNOWN if outcome.unknown else Code.UNAVAILABLE
            write_refusal(self, code, outcome.reason, RETRY_AFTER_SECONDS)

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Answer an error of the server itself in the same form."""
        code = Code.INVALID if status_code < 500 else Code.INTERNAL
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps({"code": code.value, "message": self._reason}) + "\n")


class ConfigurationHandler(AdminHandler):
    """`/admin/configuration`: read, try and change the configuration."""

    def get(self) -> None:
        """Answer with the configuration in force here."""
        body = msgspec.to_builtins(self.admin.in_force.configuration)
        self.say(body)

    async def put(self) -> None:
        """Apply a new inventory or new rules; `?dry_run=true` only says the diff."""
        try:
            asked = convert(read_json(self.request.body), ChangeRequest)
        except SettingsError as error:
            self.say_changed(Faulty(error.problems))
            return

        def change(current: Configuration) -> Configuration:
            return msgspec.structs.replace(
                current,
                inventory=asked.inventory or current.inventory,
                rules=asked.rules or current.rules,
            )

        if self.get_query_argument("dry_run", "false") == "true":
            self._try(change)
            return
        base = Revision(asked.base_revision)
        self.say_changed(await self.admin.change(base, asked.change_id, change))

    def _try(self, change: Change) -> None:
        current = self.admin.in_force.configuration
        after = change(current)
        found = problems(after)
        if found:
            self.say_changed(Faulty(found))
            return
        changes = described(current, after)
        self.say({"revision": current.revision, "changes": changes})


class ZoneHandler(AdminHandler):
    """`/admin/zones/ZONE`: take an availability zone out, bring it back, look."""

    async def get(self, zone: str) -> None:
        """Answer with what still runs in the zone."""
        configuration = self.admin.in_force.configuration
        if not self._exists(zone):
            return
        members = [m for m in self.admin.view.agents() if m.zone == zone]
        dumps = await asyncio.gather(*(self.admin.dump(m.node) for m in members))
        running = in_flight = unknown = 0
        for dump in dumps:
            if dump is None:
                unknown += 1
                continue
            state = json.loads(dump.text)
            running += state.get("tasks_running", 0)
            in_flight += state.get("requests_in_flight", 0)
        self.say(
            {
                "zone": zone,
                "out": zone_is_out(configuration, ZoneName(zone)),
                "revision": configuration.revision,
                "agents": len(members),
                "agents_not_reached": unknown,
                "tasks_running": running,
                "requests_in_flight": in_flight,
            }
        )

    async def post(self, zone: str, direction: str) -> None:
        """Take the zone out (`out`) or bring it back (`in`); idempotent."""
        if not self._exists(zone):
            return

        def change(current: Configuration) -> Configuration:
            out = set(current.zones_out) - {zone}
            if direction == "out":
                out.add(zone)
            return msgspec.structs.replace(current, zones_out=sorted(out))

        change_id = self.get_query_argument("change_id", "")
        self.say_changed(await self.admin.change(None, change_id, change))

    def _exists(self, zone: str) -> bool:
        zones = self.admin.in_force.configuration.inventory.zones
        if any(known.name == zone for known in zones):
            return True
        write_refusal(
            self, Code.NOT_FOUND, f"no availability zone '{zone}' in the inventory"
        )
        return False


class NodesHandler(AdminHandler):
    """`/admin/nodes`: every process known, with the revision in force at each."""

    async def get(self) -> None:
        """Answer with one object a process."""
        members = sorted(self.admin.view.live(), key=lambda m: m.node)
        dumps = await asyncio.gather(*(self.admin.dump(m.node) for m in members))
        self.say({"nodes": [_node(m, d) for m, d in zip(members, dumps, strict=True)]})


class StateHandler(AdminHandler):
    """`/admin/state/NODE`: the state dump of any process."""

    async def get(self, node: str) -> None:
        """Answer with the dump."""
        dump = await self.admin.dump(NodeId(node))
        if dump is None:
            write_refusal(self, Code.NOT_FOUND, f"'{node}' is not known or not reached")
            return
        self.set_header("Content-Type", "application/json")
        self.finish(dump.text + "\n")


class MetricsHandler(AdminHandler):
    """`/metrics`: counts and latencies in the usual text format."""

    def get(self) -> None:
        """Answer with all metrics of this process."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(generate_latest(self.admin.introspection.registry))


def admin_application(admin: Admin) -> Application:
    """Return the operators' port's application."""
    own = {"admin": admin}
    return Application(
        [
            (r"/admin/configuration", ConfigurationHandler, own),
            (r"/admin/zones/([a-z0-9-]+)", ZoneHandler, own),
            (r"/admin/zones/([a-z0-9-]+)/(out|in)", ZoneHandler, own),
            (r"/admin/nodes", NodesHandler, own),
            (r"/admin/state/([a-z0-9-]+)", StateHandler, own),
            (r"/metrics", MetricsHandler, own),
        ],
        log_function=lambda _: None,
    )


def _node(member: Member, dump: Dump | Lost | None) -> dict[str, Any]:
    revision = None
    if isinstance(dump, Dump):
        revision = json.loads(dump.text).get("revision")
    return {
        "node": member.node,
        "role": member.role.value,
        "zone": member.zone,
        "vm": member.vm,
        "state": member.state.value,
        "address": f"{member.host}:{member.port}",
        "services": member.services,
        "shards": member.shards,
        "revision": revision,
    }
