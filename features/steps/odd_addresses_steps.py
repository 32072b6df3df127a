"""Steps on addresses of peers that can't be called."""

import asyncio

from behave import then, when

from wagtailcleat.cluster.other_entries import connection_refused
from wagtailcleat.wire.handshake import Role
from wagtailcleat.wire.limits import StreamTiming
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.peers import Identity, Peers
from wagtailcleat.wire.scheduling import WhoLeads

CALL_SECONDS = 1.0
AT_ONCE_SECONDS = 0.1


def _call(host, port):
    async def call():
        peers = Peers(Identity("entry-1", Role.ENTRY, 1, "s"), None, StreamTiming())
        started_at = asyncio.get_running_loop().time()
        try:
            answer = await peers.call(host, port, WhoLeads(), timeout=CALL_SECONDS)
        finally:
            peers.close()
        return answer, asyncio.get_running_loop().time() - started_at

    return asyncio.run(call())


@then('a call to host "{host}" and port {port:d} is lost at once')
def step_lost(context, host, port):
    answer, seconds = _call(host, port)
    assert isinstance(answer, Lost), answer
    assert "no stream" not in answer.reason, answer
    assert seconds < AT_ONCE_SECONDS, seconds


@then("a call to a host of {count:d} letters is lost at once")
def step_long_host(context, count):
    answer, _ = _call("a" * count, 9)
    assert isinstance(answer, Lost), answer


@then('a probe of host "{host}" and port {port:d} does not take it for refused')
def step_probe(context, host, port):
    assert not asyncio.run(connection_refused(host, port))


@when("a message asks it who leads, with port 70000 and then with a host name")
def step_asks(context):
    leadership = context.old_leader.leadership
    for message in (WhoLeads("10.0.0.9", 70_000, 1), WhoLeads("localhost", 9, 1)):
        context.world.loop.create_task(leadership.who_leads(message))
    context.world.wait(0.1)


@then("it knows one other entry")
def step_knows(context):
    others = context.old_leader.leadership._other_entries
    assert len(others.entries()) == 1, others.entries()
