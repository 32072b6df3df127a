"""Steps on the parts of a leader that crash, with an entry in this process."""

import asyncio
import itertools
import re

from behave import given, then, when

from standins.platform_cluster import free_ports
from wagtailcleat.clock import boot_time
from wagtailcleat.cluster.entry_app import Entry
from wagtailcleat.cluster.leader import Leader
from wagtailcleat.cluster.leader_lease import LeaderLease
from wagtailcleat.cluster.settings import EntrySettings
from wagtailcleat.ids import Epoch

HOST = "127.0.0.1"
TIMEOUT_SECONDS = 5.0
FIRST_START = 1
RESTARTS = 2


class _FaultError(Exception):
    """A fault of the program."""


async def _crash(*_arguments, **_options):
    raise _FaultError


async def _make_entry():
    peer, metrics, front, ready, store = free_ports(5, HOST)
    settings = EntrySettings(
        node="entry-1",
        zone="zilina-a",
        host=HOST,
        peer_port=peer,
        metrics_port=metrics,
        secret="a secret of this test",
        store=f"{HOST}:{store}",
        front=f"{HOST}:{front}",
        ready=f"{HOST}:{ready}",
    )
    return Entry(settings)


def _given_entry(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.entry = context.loop.run_until_complete(_make_entry())
    context.add_cleanup(context.entry.common.close)


@given('an entry whose leader\'s part "entries" crashes each time')
def step_part_crashes(context):
    _given_entry(context)
    starts = itertools.count(1)
    context.started_again = asyncio.Event()

    async def crash(*_arguments, **_options):
        if next(starts) == FIRST_START + RESTARTS:
            context.started_again.set()
        raise _FaultError

    context.entry.leadership.maintain_entries = crash


@given("an entry whose leader crashes as it restores")
def step_leader_crashes(context):
    _given_entry(context)
    restore = Leader._restore
    Leader._restore = _crash
    context.add_cleanup(setattr, Leader, "_restore", restore)


@when("the entry leads until that part has been started again twice")
def step_lead(context):
    async def lead():
        leading = asyncio.create_task(_lead(context.entry))
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await context.started_again.wait()
            context.restarts_while_leading = _restarts(context.entry)
        finally:
            leading.cancel()
            await asyncio.gather(leading, return_exceptions=True)

    context.loop.run_until_complete(lead())


@when("the entry leads until that fails")
def step_lead_until_failure(context):
    async def lead():
        (ended,) = await asyncio.gather(_lead(context.entry), return_exceptions=True)
        assert isinstance(ended, _FaultError), ended

    context.loop.run_until_complete(lead())


@then("its metrics count at least {count:d} restarts, while it leads and after that")
def step_counted_restarts(context, count):
    assert context.restarts_while_leading >= count
    assert _restarts(context.entry) >= context.restarts_while_leading


@then("its metrics count {count:d} restart")
def step_counted(context, count):
    assert _restarts(context.entry) == count, _restarts(context.entry)


async def _lead(entry):
    """Lead as `Leadership` lets its entry do."""
    now = boot_time()
    lease = LeaderLease(
        Epoch(1),
        1,
        1,
        now + TIMEOUT_SECONDS,
        renewed_at=now,
        claimed_at=now,
        predecessors_until=now,
    )
    await entry.leadership._lead(lease)


def _restarts(entry):
    text = entry.common.introspection.metrics().decode()
    return float(re.search(r"_child_restarts_total (\d\S*)", text).group(1))
