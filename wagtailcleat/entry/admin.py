"""The operators' port: the administration API, behind a bearer token."""

import asyncio
import hmac
import json
import secrets
from dataclasses import dataclass
from typing import Any

import msgspec
from tornado.web import Application, RequestHandler

from wagtailcleat.batch.shards import team_shards
from wagtailcleat.checked import convert, read_json
from wagtailcleat.clock import Clock
from wagtailcleat.configuration.history import difference
from wagtailcleat.configuration.models import (
    Configuration,
    Inventory,
    Rules,
    Team,
    zone_is_out,
)
from wagtailcleat.configuration.parts import InForce
from wagtailcleat.configuration.writer import (
    Accepted,
    Change,
    Changed,
    Faulty,
    Missing,
    Raced,
    StoreFailed,
    checked_change,
    raced,
    read,
    write,
)
from wagtailcleat.entry.context import write_refusal
from wagtailcleat.entry.jobs import Jobs
from wagtailcleat.errors import Code, SettingsError
from wagtailcleat.ids import NodeId, Revision, TeamName, ZoneName
from wagtailcleat.introspection import Introspection
from wagtailcleat.logs import part_logger
from wagtailcleat.membership.gossip import Gossiper
from wagtailcleat.membership.view import View
from wagtailcleat.platform.store import Store, Unavailable
from wagtailcleat.wire.messages import Dump, DumpState, JobAccounts, ListJobs, Member
from wagtailcleat.wire.streams import Peers

log = part_logger("admin")

BEARER = "Bearer "
CHANGE_ID_BYTES = 9
MAX_CHANGE_ID = 100
DUMP_SECONDS = 2.0
DUMPS_AT_ONCE = 64
RETRY_AFTER_SECONDS = 2.0
ZONE_SECTIONS = ["revision", "tasks_running", "requests_in_flight", "services"]

State = dict[str, Any]


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
    jobs: Jobs

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
            if current.change_id == change_id:
                fields = {"revision": outcome.revision, "change": change_id}
                log.info("A change was accepted", extra=fields)
        return outcome

    async def dump(self, node: NodeId, sections: list[str]) -> str | None:
        """Return the state dump of a node, or some sections of it, as JSON text."""
        if node == self.view.me.node:
            return self.introspection.text(sections)
        member = self.view.member_by_node.get(node)
        if member is None:
            return None
        answer = await self.peers.call(
            member.host, member.port, DumpState(sections), timeout=DUMP_SECONDS
        )
        return answer.text if isinstance(answer, Dump) else None

    async def states(
        self, members: list[Member], sections: list[str]
    ) -> list[State | None]:
        """Return sections of each member's state; None for those not reached."""
        limit = asyncio.Semaphore(DUMPS_AT_ONCE)

        async def state(member: Member) -> State | None:
            async with limit:
                text = await self.dump(member.node, sections)
            return None if text is None else json.loads(text)

        return list(await asyncio.gather(*(state(member) for member in members)))


class AdminHandler(RequestHandler):
    """Base of the operators' handlers: no token, no answer."""

    def initialize(self, admin: Admin) -> None:
        """Keep what the handler works with."""
        self.admin = admin

    def set_default_headers(self) -> None:
        """Tell nobody what serves here."""
        self.clear_header("Server")

    def prepare(self) -> None:
        """Refuse whoever lacks the token, compared in constant time."""
        given = self.request.headers.get("Authorization", "")
        expected = BEARER + self.admin.token
        if not hmac.compare_digest(given.encode(), expected.encode()):
            write_refusal(
                self, Code.UNAUTHORIZED, "send the token as Authorization: Bearer TOKEN"
            )

    def say(self, body: object, status: int = 200) -> None:
        """Answer with JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body) + "\n")

    def say_changed(self, outcome: Changed) -> None:
        """Answer with what became of a change."""
        if isinstance(outcome, Accepted):
            self.say({"revision": outcome.revision})
        elif isinstance(outcome, Faulty):
            body: dict[str, object] = {
                "code": Code.INVALID.value,
                "message": "nothing was applied; mend every problem and apply again",
                "problems": outcome.problems,
            }
            self.say(body, 400)
        elif isinstance(outcome, Raced):
            self.say(_conflict(outcome), 409)
        elif isinstance(outcome, Missing):
            write_refusal(self, Code.NOT_FOUND, outcome.reason)
        else:
            code = Code.OUTCOME_UNKNOWN if outcome.unknown else Code.UNAVAILABLE
            write_refusal(self, code, outcome.reason, RETRY_AFTER_SECONDS)

    def change_id(self, given: str) -> str | None:
        """Return the change id if it is usable, or refuse."""
        if len(given) <= MAX_CHANGE_ID:
            return given
        self.say_changed(
            Faulty([f"$.change_id: at most {MAX_CHANGE_ID} characters, please"])
        )
        return None

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Answer an error of the server itself in the same form."""
        code = Code.INVALID if status_code < 500 else Code.INTERNAL
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps({"code": code.value, "message": self._reason}) + "\n")


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
    """`/admin/zones/ZONE`: take an availability zone out, bring it back, look."""

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


class NodesHandler(AdminHandler):
    """`/admin/nodes`: every process known, with the revision in force at each."""

    async def get(self) -> None:
        """Answer with one object a process."""
        members = sorted(self.admin.view.live(), key=lambda m: m.node)
        states = await self.admin.states(members, ["revision"])
        nodes = [_node(m, s) for m, s in zip(members, states, strict=True)]
        self.say({"revision": self.admin.in_force.revision, "nodes": nodes})


class TeamsHandler(AdminHandler):
    """`/admin/teams`: each team's quota, and what its running tasks are."""

    async def get(self) -> None:
        """Answer with one object a team."""
        teams = self.admin.in_force.configuration.rules.teams
        answers = await asyncio.gather(*(self._team(team) for team in teams))
        self.say({"teams": answers})

    async def _team(self, team: Team) -> dict[str, Any]:
        jobs = self.admin.jobs
        shards = set(team_shards(team, jobs.shards))
        name = TeamName(team.name)
        answers = await asyncio.gather(
            *(jobs.ask(shard, ListJobs(shard, name)) for shard in shards)
        )
        known = [a for a in answers if isinstance(a, JobAccounts)]
        accounts = [json.loads(text) for answer in known for text in answer.texts]
        shown: dict[str, Any] = msgspec.to_builtins(team)
        return shown | {
            "jobs": len(accounts),
            "tasks_assigned": sum(account["assigned"] for account in accounts),
            "tasks_pending": sum(account["pending"] for account in accounts),
            "shards_not_reached": len(answers) - len(known),
        }


class StateHandler(AdminHandler):
    """`/admin/state/NODE`: the state dump of any process."""

    async def get(self, node: str) -> None:
        """Answer with the dump; `?section=NAME`, repeated, with some of it."""
        sections = self.get_query_arguments("section")
        text = await self.admin.dump(NodeId(node), sections)
        if text is None:
            write_refusal(self, Code.NOT_FOUND, f"'{node}' is not known or not reached")
            return
        self.set_header("Content-Type", "application/json")
        self.finish(text + "\n")


class MetricsHandler(AdminHandler):
    """`/metrics`: counts and latencies in Prometheus' text format."""

    def get(self) -> None:
        """Answer with all metrics of this process."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.admin.introspection.metrics())


class UnknownHandler(AdminHandler):
    """Every other path."""

    def handle(self) -> None:
        """Answer 404 with what there is."""
        write_refusal(
            self,
            Code.NOT_FOUND,
            "there are /admin/configuration, /admin/zones/ZONE, /admin/nodes,"
            " /admin/teams, /admin/state/NODE and /metrics",
        )

    get = head = post = put = delete = patch = options = handle


def admin_application(admin: Admin) -> Application:
    """Return the operators' port's application."""
    own = {"admin": admin}
    return Application(
        [
            (r"/admin/configuration", ConfigurationHandler, own),
            (r"/admin/zones/([a-z0-9-]+)", ZoneHandler, own),
            (r"/admin/zones/([a-z0-9-]+)/(out|in)", ZoneHandler, own),
            (r"/admin/nodes", NodesHandler, own),
            (r"/admin/teams", TeamsHandler, own),
            (r"/admin/state/([a-z0-9-]+)", StateHandler, own),
            (r"/metrics", MetricsHandler, own),
            (r".*", UnknownHandler, own),
        ],
        log_function=lambda _: None,
    )


def _conflict(outcome: Raced) -> dict[str, object]:
    revision = outcome.current.revision
    reason = f"revision {revision} came first"
    if outcome.base > revision:
        reason = f"there is no revision {outcome.base}; the present one is {revision}"
    body: dict[str, object] = {
        "code": Code.CONFLICT.value,
        "message": f"{reason}; nothing was applied",
        "revision": revision,
        "changes_known": outcome.changes is not None,
        "changes": msgspec.to_builtins(outcome.changes or []),
    }
    return body


def _has_zone(configuration: Configuration, zone: str) -> bool:
    return any(known.name == zone for known in configuration.inventory.zones)


def _no_zone(zone: str) -> Missing:
    return Missing(f"no availability zone '{zone}' in the inventory")


def _watchers(state: State) -> int:
    return sum(service["watchers"] for service in state["services"].values())


def _node(member: Member, state: State | None) -> dict[str, Any]:
    return {
        "node": member.node,
        "role": member.role.value,
        "zone": member.zone,
        "vm": member.vm,
        "state": member.state.value,
        "address": f"{member.host}:{member.port}",
        "services": member.services,
        "shards": member.shards,
        "revision": None if state is None else state["revision"],
    }
