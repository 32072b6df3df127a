"""Steps on a relay whose agents leave requests in doubt, on virtual time."""

import random

from behave import given, then, when
from msgspec.structs import replace

from bench.mesh import SERVICES, member
from bench.virtual_time import run_virtual
from wagtailcleat.configuration.parts import InForce
from wagtailcleat.entry.relay import CallerRequest, Relay
from wagtailcleat.errors import Code
from wagtailcleat.membership.view import View
from wagtailcleat.outcomes import OutcomeUnknown
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.request_ids import RequestIds
from wagtailcleat.wire.requests import ServiceRequest, Settle
from wagtailcleat.wire.results import Refused

DEADLINE_SECONDS = 10.0
LOST = Lost(True, "no answer")
TYPE_BY_CODE = {Code.OUTCOME_UNKNOWN.value: OutcomeUnknown}


class _Agent:
    """A stream to an agent that gives prepared answers; the last one is repeated."""

    def __init__(self, peer, answers_by_type):
        self.peer = peer
        self.received = []
        self._answers_by_type = answers_by_type

    async def call(self, message, *, timeout, parts=None):
        self.received.append(message)
        answers = self._answers_by_type[type(message)]
        return answers.pop(0) if len(answers) > 1 else answers[0]


class _Peers:
    def __init__(self, agents):
        self._agents = agents

    async def stream(self, host, port):
        return self._agents[port - member(0).port]


def _begin(context, *answers):
    context.agents = [
        _Agent(member(number).node, answers_by_type)
        for number, answers_by_type in enumerate(answers)
    ]


@given("an agent that does not answer a request and refuses the first query for it")
def step_refused_query(context):
    busy = Refused(Code.UNAVAILABLE.value, "too many calls on this stream")
    unknown = Refused(Code.OUTCOME_UNKNOWN.value, "the endpoint gave no answer")
    _begin(context, {ServiceRequest: [LOST], Settle: [busy, unknown]})


@given("an agent that answers neither a request nor a query, and one that refuses it")
def step_lost_and_refused(context):
    full = Refused(Code.NOT_RUN.value, "no slot came free in time")
    _begin(context, {ServiceRequest: [LOST], Settle: [LOST]}, {ServiceRequest: [full]})


async def _view_is_fresh():
    """Return at once: this process is not paused."""


def _relay(context, *, idempotent):
    async def main(clock):
        me = replace(member(len(context.agents)), services=[])
        view = View(me, random.Random(1))
        for number in range(len(context.agents)):
            view.merge(member(number), clock())
        relay = Relay(
            view,
            InForce(),
            _Peers(context.agents),
            clock=clock,
            choose=lambda members, endpoints, now: min(members, key=lambda m: m.port),
            rng=random.Random(1),
            ids=RequestIds(me.node, me.incarnation, "secret"),
            wait_for_fresh_view=_view_is_fresh,
        )
        relay.budget.tokens = 1.0
        deadline = clock() + DEADLINE_SECONDS
        return await relay.send(
            CallerRequest(SERVICES[0], "GET", "/", [], b"", deadline, idempotent)
        )

    context.outcome = run_virtual(main)


@when("a request is relayed")
def step_relay(context):
    _relay(context, idempotent=False)


@when("an idempotent request is relayed")
def step_relay_idempotent(context):
    _relay(context, idempotent=True)


@then('its outcome is that of the next query, "{code}"')
@then('the request\'s outcome is "{code}"')
def step_outcome(context, code):
    assert isinstance(context.outcome, TYPE_BY_CODE[code]), context.outcome


@then("both agents have received it")
def step_both(context):
    for agent in context.agents:
        kinds = [type(message) for message in agent.received]
        assert kinds.count(ServiceRequest) == 1, (agent.peer, kinds)
