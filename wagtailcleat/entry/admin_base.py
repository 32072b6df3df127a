"""Shared parts of the handlers of the operators' port.

Authentication, configuration changes, state dumps and JSON answers.
"""

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
from wagtailcleat.entry.jobs import JobClient
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

BEARER_PREFIX = "Bearer "
RANDOM_CHANGE_ID_BYTES = 9
MAX_CHANGE_ID_LENGTH = 100
DUMP_TIMEOUT_SECONDS = 2.0
MAX_CONCURRENT_DUMPS = 64
RETRY_AFTER_SECONDS = 2.0

StateDump = dict[str, Any]


@dataclass(frozen=True)
class AdminContext:
    """The dependencies of the handlers of the operators' port."""

    token: str
    store: Store
    view: View
    in_force: InForce
    peers: Peers
    gossiper: Gossiper
    introspection: Introspection
    clock: Clock
    jobs: JobClient

    async def apply_change(
        self, base: Revision | None, change_id: str, change: Change
    ) -> Changed:
        """Write a change to the store; apply it here and announce it by gossip.

        A change without an id gets a random one.
        """
        change_id = change_id or secrets.token_urlsafe(RANDOM_CHANGE_ID_BYTES)
        outcome = await write(self.store, base, change_id, change)
        if isinstance(outcome, Accepted):
            current = outcome.configuration
            if self.in_force.adopt(current, self.clock()):
                self.gossiper.configuration_changed()
            if current.change_id == change_id:
                fields = {"revision": outcome.revision, "change": change_id}
                log.info("A change was accepted", extra=fields)
        return outcome

    async def state_dump(self, node: NodeId, sections: list[str]) -> str | None:
        """Return the state dump of a node as JSON text; None if it was not reached.

        Only the named sections, or all of them if none is named.
        """
        if node == self.view.me.node:
            return self.introspection.text(sections)
        member = self.view.member_by_node.get(node)
        if member is None:
            return None
        answer = await self.peers.call(
            member.host, member.port, DumpState(sections), timeout=DUMP_TIMEOUT_SECONDS
        )
        return answer.text if isinstance(answer, Dump) else None

    async def state_dumps(
        self, members: list[Member], sections: list[str]
    ) -> list[StateDump | None]:
        """Return sections of each member's state dump; None for those not reached."""
        limit = asyncio.Semaphore(MAX_CONCURRENT_DUMPS)

        async def fetch(member: Member) -> StateDump | None:
            async with limit:
                text = await self.state_dump(member.node, sections)
            return None if text is None else json.loads(text)

        return list(await asyncio.gather(*(fetch(member) for member in members)))


class AdminHandler(RequestHandler):
    """Base of the handlers of the operators' port; requires the bearer token."""

    def initialize(self, admin: AdminContext) -> None:
        """Store the dependencies of the handler."""
        self.admin = admin

    def set_default_headers(self) -> None:
        """Remove the `Server` header, so that the server software is not disclosed."""
        self.clear_header("Server")

    def prepare(self) -> None:
        """Refuse a request without the token.

        The comparison takes constant time.
        """
        authorization = self.request.headers.get("Authorization", "")
        expected = BEARER_PREFIX + self.admin.token
        if not hmac.compare_digest(authorization.encode(), expected.encode()):
            write_refusal(
                self, Code.UNAUTHORIZED, "send the token as Authorization: Bearer TOKEN"
            )

    def write_json(self, body: object, status: int = 200) -> None:
        """Answer with `body` as JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body) + "\n")

    def write_change_outcome(self, outcome: Changed) -> None:
        """Answer with the outcome of a change."""
        if isinstance(outcome, Accepted):
            self.write_json({"revision": outcome.revision})
        elif isinstance(outcome, Faulty):
            body: dict[str, object] = {
                "code": Code.INVALID.value,
                "message": "nothing was applied; mend every problem and apply again",
                "problems": outcome.problems,
            }
            self.write_json(body, 400)
        elif isinstance(outcome, Raced):
            self.write_json(_conflict_body(outcome), 409)
        elif isinstance(outcome, Missing):
            write_refusal(self, Code.NOT_FOUND, outcome.reason)
        else:
            code = Code.OUTCOME_UNKNOWN if outcome.unknown else Code.UNAVAILABLE
            write_refusal(self, code, outcome.reason, RETRY_AFTER_SECONDS)

    def checked_change_id(self, change_id: str) -> str | None:
        """Return the change id; if it is too long, refuse it and return None."""
        if len(change_id) <= MAX_CHANGE_ID_LENGTH:
            return change_id
        self.write_change_outcome(
            Faulty([f"$.change_id: at most {MAX_CHANGE_ID_LENGTH} characters, please"])
        )
        return None

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Answer an error raised by the web framework in the same JSON form."""
        code = Code.INVALID if status_code < 500 else Code.INTERNAL
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps({"code": code.value, "message": self._reason}) + "\n")


def _conflict_body(outcome: Raced) -> dict[str, object]:
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
