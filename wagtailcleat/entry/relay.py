"""Relays service requests to endpoints, and retries those that may run again.

The callers' port uses one `Relay` for all its requests.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import TypeGuard

import msgspec

from wagtailcleat.clock import Clock
from wagtailcleat.configuration.models import Configuration
from wagtailcleat.configuration.parts import InForce
from wagtailcleat.errors import Code
from wagtailcleat.ids import NodeId, RequestId, ServiceName
from wagtailcleat.membership.view import View
from wagtailcleat.outcomes import (
    Answered,
    NotRun,
    OutcomeUnknown,
    Rejected,
    RequestOutcome,
)
from wagtailcleat.routing.choose import EndpointSelector, candidates
from wagtailcleat.routing.latency import EndpointRecord, Endpoints
from wagtailcleat.routing.retries import MAX_TRIES, RetryBudget
from wagtailcleat.wire.membership import Member
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.parts import Lost, Parts
from wagtailcleat.wire.peers import Peers
from wagtailcleat.wire.request_ids import AgentIncarnation, RequestIds
from wagtailcleat.wire.requests import (
    WRONG_INCARNATION,
    Answer,
    Header,
    Running,
    ServiceRequest,
    Settle,
)
from wagtailcleat.wire.results import Refused
from wagtailcleat.wire.streams import Stream

RETRY_AFTER_SECONDS = 0.5
IN_DOUBT_TIMEOUT_SECONDS = 3.0
IN_DOUBT_RETRY_INTERVAL_SECONDS = 0.1
SERVING_CACHE_SECONDS = 0.02
RETRY_AFTER_JITTER = (0.8, 1.6)
MIN_FAILURE_STATUS = 500


@dataclass(frozen=True)
class CallerRequest:
    """A request as sent by a caller; `deadline` is a time of this process's clock."""

    service: ServiceName
    method: str
    path: str
    headers: list[Header]
    body: bytes
    deadline: float
    idempotent: bool
    idempotency_key: RequestId | None = None


@dataclass(frozen=True)
class Watch:
    """A watcher's open stream: the start of the answer, and the `parts` that follow.

    `member` is the agent that relays the stream.
    """

    answer: Answer
    parts: Parts
    member: Member


class Relay:
    """Relays requests to endpoints, and keeps statistics of each endpoint."""

    def __init__(
        self,
        view: View,
        in_force: InForce,
        peers: Peers,
        *,
        clock: Clock,
        choose: EndpointSelector,
        rng: random.Random,
        ids: RequestIds,
        wait_for_fresh_view: Callable[[], Awaitable[None]],
    ) -> None:
        """Create a relay that routes by `choose` among the endpoints in `view`.

        `wait_for_fresh_view` returns once the view is recent enough to route by, or
        after a short time.
        """
        self.endpoints = Endpoints()
        self.budget = RetryBudget()
        self.retries = 0
        self.requests = 0
        self._view = view
        self._in_force = in_force
        self._peers = peers
        self._clock = clock
        self._choose = choose
        self._random = rng
        self._ids = ids
        self._serving_cache_by_service: dict[
            ServiceName, tuple[list[Member], float]
        ] = {}
        # After a pause of this process, the view may still show a zone in use or an
        # endpoint alive that left long ago. A message from a peer normally arrives
        # within milliseconds; if none does, the agents' own refusals decide.
        self._wait_for_fresh_view = wait_for_fresh_view

    async def send(self, request: CallerRequest) -> RequestOutcome:
        """Relay a request; return its outcome by its deadline at the latest."""
        self.requests += 1
        self.budget.request(self._configuration.rules.retry_share)
        await self._wait_for_fresh_view()
        if request.idempotency_key is not None:
            return await self._send_with_key(request, request.idempotency_key)
        tried: set[NodeId] = set()
        outcome: RequestOutcome = _no_endpoint()
        in_doubt: OutcomeUnknown | None = None
        for _ in range(MAX_TRIES):
            member = self._choose_endpoint(request.service, tried)
            if member is None or (tried and not self._take_retry(outcome, member)):
                break
            tried.add(member.node)
            outcome = await self._send_to(request, member, self._ids.next_plain())
            if isinstance(outcome, OutcomeUnknown):
                in_doubt = outcome
            if not self._may_retry(request, outcome):
                break
        if in_doubt is not None and isinstance(outcome, NotRun):
            # The endpoint that gave no answer may have run the request.
            return in_doubt
        return self._with_jitter(outcome)

    async def open_watch(
        self, request: CallerRequest, tried: set[NodeId]
    ) -> Watch | RequestOutcome:
        """Open a watcher's stream at an endpoint not in `tried`.

        The nodes that are tried are added to `tried`.
        """
        await self._wait_for_fresh_view()
        outcome: RequestOutcome = _no_endpoint()
        for _ in range(MAX_TRIES):
            member = self._choose_endpoint(request.service, tried)
            if member is None:
                break
            tried.add(member.node)
            parts = Parts()
            message = self._make_message(request, member, self._ids.next_plain())
            reply = await self._call(member, message, request.deadline, parts)
            if isinstance(reply, Answer) and reply.parts:
                return Watch(reply, parts, member)
            outcome = _to_outcome(reply)
            if not self._may_retry(request, outcome):
                break
        return self._with_jitter(outcome)

    def cancel_watch(self, watch: Watch) -> None:
        """Notify the agent that a watch has ended, so that it closes the stream."""
        for stream in self._peers.streams:
            if stream.peer == watch.member.node:
                stream.cancel_parts(watch.parts)

    async def new_idempotency_key(self, service: ServiceName) -> RequestId | None:
        """Return an idempotency key for a request; None if no endpoint serves it.

        The key names the agent that runs the request, so that it runs at most once.
        """
        await self._wait_for_fresh_view()
        member = self._choose_endpoint(service, set())
        if member is None:
            return None
        return self._ids.issue_keyed(AgentIncarnation(member.node, member.incarnation))

    @property
    def _configuration(self) -> Configuration:
        return self._in_force.configuration

    def _choose_endpoint(
        self, service: ServiceName, tried: set[NodeId]
    ) -> Member | None:
        now = self._clock()
        serving = self._serving_members(service, now)
        usable = candidates(serving, self._configuration, self.endpoints, tried, now)
        return self._choose(usable, self.endpoints, now) if usable else None

    def _serving_members(self, service: ServiceName, now: float) -> list[Member]:
        # The result is cached, as the view walks all members. A stale read is harmless:
        # an agent that has just left refuses the request.
        members, expires_at = self._serving_cache_by_service.get(service, ([], 0.0))
        if now >= expires_at or not members:
            members = self._view.serving(service)
            self._serving_cache_by_service[service] = (
                members,
                now + SERVING_CACHE_SECONDS,
            )
        return members

    async def _send_with_key(
        self, request: CallerRequest, idempotency_key: RequestId
    ) -> RequestOutcome:
        bound = self._ids.bound_incarnation(idempotency_key)
        if bound is None:
            reason = "the key is none that POST /services/NAME:request-id gave out"
            return Rejected(Code.INVALID, reason)
        member = self._view.member_by_node.get(bound.node)
        if member is None or member.incarnation < bound.incarnation:
            return _unavailable("the agent that the key names is not known here yet")
        if member.incarnation > bound.incarnation:
            return OutcomeUnknown("the agent that the key names was started anew")
        return self._with_jitter(await self._send_to(request, member, idempotency_key))

    async def _send_to(
        self, request: CallerRequest, member: Member, request_id: RequestId
    ) -> RequestOutcome:
        record = self.endpoints.record(member.node)
        message = self._make_message(request, member, request_id)
        started = self._clock()
        record.sent(started)
        try:
            reply = await self._call(member, message, request.deadline, None)
            if isinstance(reply, Lost) and reply.sent:
                reply = await self._resolve_in_doubt(request, member, message)
        finally:
            record.ended(self._clock())
        self._record_reply(record, reply, started)
        outcome = _to_outcome(reply)
        if request.idempotency_key is not None and not _holds_for_earlier_uses(reply):
            # An earlier request with this key may have run, whatever the outcome of
            # this one, so it must not be reported as not run.
            return _unavailable("the agent that the key names can't be asked now")
        return outcome

    def _record_reply(
        self, record: EndpointRecord, reply: Answer | Refused | Lost, started: float
    ) -> None:
        now = self._clock()
        if isinstance(reply, Answer):
            record.record_load(reply.load, now)
            if reply.status < MIN_FAILURE_STATUS:
                record.succeeded(now - started, now)
            else:
                record.failed(now)
        elif isinstance(reply, Refused) and reply.code == Code.NOT_RUN.value:
            record.refused(reply.retry_after, now)
        else:
            record.failed(now)

    async def _call(
        self,
        member: Member,
        message: ServiceRequest,
        deadline: float,
        parts: Parts | None,
    ) -> Answer | Refused | Lost:
        remaining = deadline - self._clock()
        if remaining <= 0:
            return Lost(False, "the deadline passed")
        stream = await self._open_stream(member)
        if isinstance(stream, Lost):
            return stream
        remaining = max(0.001, deadline - self._clock())
        message = msgspec.structs.replace(message, deadline=remaining)
        reply = await stream.call(message, timeout=remaining, parts=parts)
        if isinstance(reply, Refused) and reply.code == WRONG_INCARNATION:
            return Lost(False, "the agent was started anew")
        if isinstance(reply, Answer | Refused | Lost):
            return reply
        return Lost(True, "the agent gave another kind of answer")

    async def _open_stream(self, member: Member) -> Stream | Lost:
        stream = await self._peers.stream(member.host, member.port)
        if isinstance(stream, Stream) and stream.peer != member.node:
            return Lost(False, "another process has the agent's address now")
        return stream

    async def _resolve_in_doubt(
        self, request: CallerRequest, member: Member, message: ServiceRequest
    ) -> Answer | Refused | Lost:
        # The stream went silent or ended after the request was written, so the request
        # is in doubt: only the agent knows the outcome. `not_run` may not be reported
        # until the agent confirms it.
        give_up_at = min(request.deadline, self._clock() + IN_DOUBT_TIMEOUT_SECONDS)
        while (remaining := give_up_at - self._clock()) > 0:
            query = Settle(message.id, message.service, member.incarnation, remaining)
            stream = await self._open_stream(member)
            reply: AnyMessage | Lost = (
                stream
                if isinstance(stream, Lost)
                else (await stream.call(query, timeout=remaining))
            )
            if isinstance(reply, Answer) or _is_refusal_of_request(reply):
                return reply
            if not isinstance(reply, Running):
                await asyncio.sleep(min(IN_DOUBT_RETRY_INTERVAL_SECONDS, remaining))
        return Lost(True, "no answer, and the agent can't be asked")

    def _make_message(
        self, request: CallerRequest, member: Member, request_id: RequestId
    ) -> ServiceRequest:
        return ServiceRequest(
            request_id,
            request.service,
            request.method,
            request.path,
            request.headers,
            request.body,
            0.0,
            member.incarnation,
            request.idempotency_key is not None,
            request.idempotent,
        )

    def _may_retry(self, request: CallerRequest, outcome: RequestOutcome) -> bool:
        if self._clock() >= request.deadline:
            return False
        if isinstance(outcome, OutcomeUnknown):
            return request.idempotent
        return isinstance(outcome, NotRun)

    def _take_retry(self, outcome: RequestOutcome, member: Member) -> bool:
        """Return whether `member` may be tried next; if so, count the retry."""
        # A request that was not run has put no load on an endpoint, so a retry does not
        # use the retry budget; but an endpoint that is refusing is not worth trying.
        if isinstance(outcome, NotRun):
            if self.endpoints.record(member.node).is_refusing(self._clock()):
                return False
            self.retries += 1
            return True
        if not self.budget.spend():
            return False
        self.retries += 1
        return True

    def _with_jitter(self, outcome: RequestOutcome) -> RequestOutcome:
        # Jitter: callers given the same wait would all retry at the same moment.
        if isinstance(outcome, NotRun | Rejected):
            jitter = self._random.uniform(*RETRY_AFTER_JITTER)
            return replace(outcome, retry_after=outcome.retry_after * jitter)
        return outcome


def _no_endpoint() -> NotRun:
    return NotRun("no endpoint serves it now", RETRY_AFTER_SECONDS)


def _unavailable(reason: str) -> Rejected:
    return Rejected(Code.UNAVAILABLE, reason, RETRY_AFTER_SECONDS)


def _holds_for_earlier_uses(reply: Answer | Refused | Lost) -> bool:
    """Return whether a reply also decides earlier requests with the same key."""
    if isinstance(reply, Lost):
        return reply.sent
    return isinstance(reply, Answer) or reply.code != Code.UNAVAILABLE.value


def _is_refusal_of_request(reply: AnyMessage | Lost) -> TypeGuard[Refused]:
    # A busy stream refuses the query itself, which says nothing of the request.
    return isinstance(reply, Refused) and reply.code != Code.UNAVAILABLE.value


def _to_outcome(reply: Answer | Refused | Lost) -> RequestOutcome:
    if isinstance(reply, Answer):
        return Answered(reply)
    if isinstance(reply, Lost):
        if reply.sent:
            return OutcomeUnknown(reply.reason)
        return NotRun(reply.reason, RETRY_AFTER_SECONDS)
    if reply.code in (Code.NOT_RUN.value, Code.UNAVAILABLE.value):
        return NotRun(reply.reason, reply.retry_after or RETRY_AFTER_SECONDS)
    if reply.code in (Code.CONFLICT.value, Code.INVALID.value):
        return Rejected(Code(reply.code), reply.reason)
    return OutcomeUnknown(reply.reason)
