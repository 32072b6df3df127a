"""What the handlers of the operators' port share: token, state, answers."""

import asyncio
import hmac
import json
import secrets
from dataclasses import dataclass
from typing import Any

import msgspec
from tornado.web import RequestHandler

from wagtailcleat.clock import Clock
from wagtailcleat.configuration.parts import InForce
from wagtailcleat.configuration.writer import (
    Accepted,
    Change,
    Changed,
    Faulty,
    Missing,
    Raced,
    write,
)
from wagtailcleat.entry.context import write_refusal
from wagtailcleat.entry.jobs import Jobs
from wagtailcleat.errors import Code
from wagtailcleat.ids import NodeId, Revision
from wagtailcleat.introspection import Introspection
from wagtailcleat.logs import part_logger
from wagtailcleat.membership.gossip import Gossiper
from wagtailcleat.membership.view import View
from wagtailcleat.platform.store import Store
from wagtailcleat.wire.dumps import Dump, DumpState
from wagtailcleat.wire.membership import Member
from wagtailcleat.wire.peers import Peers

log = part_logger("admin")

BEARER = "Bearer "
CHANGE_ID_BYTES = 9
MAX_CHANGE_ID = 100
DUMP_SECONDS = 2.0
DUMPS_AT_ONCE = 64
RETRY_AFTER_SECONDS = 2.0

State = dict[str, Any]


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
