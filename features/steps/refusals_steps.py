"""Steps on the verdict on a submission while the store and the leader fail."""

import asyncio
import json
from dataclasses import dataclass, field

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st
from msgspec.structs import replace
from tornado.httpclient import AsyncHTTPClient
from tornado.testing import bind_unused_port

from bench.virtual_time import run_virtual
from features.steps.scheduling_world import make_job, plain
from wagtailcleat.cluster.submissions import Acceptance, Submissions
from wagtailcleat.ids import Epoch, NodeId, ServiceName
from wagtailcleat.platform.keyvalue import OUTAGE_AFTER_SECONDS
from wagtailcleat.platform.submissions import caller_server
from wagtailcleat.scheduling.queues import Queue, queue_table
from wagtailcleat.storage import Conflict, Unavailable, Unknown, Written
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.scheduling import JobStored, Leads, StoreJob

JOB = "00ff00ff00ff00ff"
ANSWER_SECONDS = 0.004
TIMEOUT_SECONDS = 1.0
LATE_SECONDS = 5.0
SETTLED_SECONDS = 20.0

WRITES = ("written", "refused", "lost", "lost and done", "lost and done late")
RELAYS = (
    "accepted",
    "not stored",
    "unknown and done late",
    "unreachable",
    "lost",
    "lost and done",
)


@dataclass
class _World:
    """The store's keys, and what becomes of each write and relayed write."""

    writes: list[str]
    relays: list[str]
    stored: bool = False
    down_since: float | None = None
    pending: set = field(default_factory=set)

    def _next(self, outcomes, default):
        return outcomes.pop(0) if outcomes else default

    def _store_late(self):
        async def store():
            await asyncio.sleep(LATE_SECONDS)
            self.stored = True

        self.pending.add(asyncio.ensure_future(store()))

    def is_unavailable(self, now):
        """Return whether the store has failed for long, as the client does."""
        return (
            self.down_since is not None
            and now - self.down_since >= OUTAGE_AFTER_SECONDS
        )

    async def write(self, txn):
        """Carry out a write, or fail in the next drawn way."""
        how = self._next(self.writes, "refused")
        now = asyncio.get_running_loop().time()
        if how == "written":
            await asyncio.sleep(ANSWER_SECONDS)
            self.down_since = None
            outcome = Conflict(()) if self.stored else Written(1)
            self.stored = True
            return outcome
        if self.down_since is None:
            self.down_since = now
        if how == "refused":
            await asyncio.sleep(ANSWER_SECONDS)
            return Unavailable("503")
        if how == "lost and done":
            self.stored = True
        if how == "lost and done late":
            self._store_late()
        await asyncio.sleep(TIMEOUT_SECONDS)
        return Unknown("no answer")

    async def call(self, host, port, message, *, timeout):
        """Answer as the leader would, in the next drawn way."""
        if not isinstance(message, StoreJob):
            return Lost(False, "not asked in this test")
        how = self._next(self.relays, "unreachable")
        if how in ("lost", "lost and done"):
            self.stored = self.stored or how == "lost and done"
            await asyncio.sleep(timeout)
            return Lost(True, "no answer in time")
        await asyncio.sleep(ANSWER_SECONDS)
        if how == "unreachable":
            return Lost(False, "no stream")
        if how == "accepted":
            self.stored = True
            return JobStored(Acceptance.ACCEPTED.value)
        if how == "unknown and done late":
            self._store_late()
            return JobStored(Acceptance.UNKNOWN.value)
        return JobStored(Acceptance.NOT_STORED.value)


class _Leadership:
    leads = False
    leader = Leads(Epoch(1), NodeId("leader"), 1, "h", 1)


def _submit(world, *, after=0.0, seconds=3.0, spec_bytes=1, max_value_bytes=100_000):
    """Return the verdict on a submission, the seconds it took, and the truth."""

    async def main(clock):
        await asyncio.sleep(after)
        submissions = Submissions(
            store=world,
            peers=world,
            leadership=_Leadership(),
            leader=lambda: None,
            clock=clock,
            max_value_bytes=max_value_bytes,
        )
        began = clock()
        job = replace(make_job(JOB, plain(1)), spec="x" * spec_bytes)
        verdict = await submissions.submit(job, deadline=began + seconds)
        taken = clock() - began
        await asyncio.sleep(SETTLED_SECONDS)
        return verdict, taken

    return run_virtual(main)


@then("in {count:d} random sequences of failures each verdict on a submission is true")
def step_true(context, count):
    @settings(max_examples=count, deadline=None)
    @drawn(
        st.lists(st.sampled_from(WRITES), max_size=8),
        st.lists(st.sampled_from(RELAYS), max_size=8),
    )
    def prop(writes, relays):
        world = _World(list(writes), list(relays))
        verdict, seconds = _submit(world)
        if verdict is Acceptance.ACCEPTED:
            assert world.stored
        if verdict is Acceptance.NOT_STORED:
            assert not world.stored
        # A call that is under way at the deadline is waited for.
        assert seconds < 3.0 + 2 * TIMEOUT_SECONDS, seconds

    prop()


@given("an entry and a leader whose stores answer nothing, on virtual time")
def step_nobody(context):
    context.submission_world = _World(["refused"] * 99, ["not stored"] * 99)


@when("a submission with {seconds:g} s to its deadline comes after {after:g} s of it")
def step_comes(context, seconds, after):
    world = context.submission_world
    world.down_since = 0.0
    context.verdict, context.seconds = _submit(world, after=after, seconds=seconds)


@then("it is refused within {seconds:g} s")
def step_refused(context, seconds):
    assert context.verdict is Acceptance.NOT_STORED, context.verdict
    assert context.seconds <= seconds, context.seconds


@given("an entry whose first write gets no answer and is carried out after 5 s")
def step_late(context):
    context.submission_world = _World(["lost and done late"], [])


@when(
    "a submission with {seconds:g} s to its deadline comes,"
    " and the store answers nothing more"
)
def step_no_more(context, seconds):
    context.verdict, _ = _submit(context.submission_world, seconds=seconds)


@then("its outcome is unknown, and it is stored in the end")
def step_unknown(context):
    assert context.verdict is Acceptance.UNKNOWN, context.verdict
    assert context.submission_world.stored


@given("an entry whose store takes values of {size:d} bytes at most")
def step_small_values(context, size):
    # The store answers no larger write, so it is not known whether it was stored.
    context.submission_world = _World(["lost"] * 99, [])
    context.max_value_bytes = size


@when("a submission with a spec of {size:d} bytes comes")
def step_large(context, size):
    context.verdict, context.seconds = _submit(
        context.submission_world,
        spec_bytes=size,
        max_value_bytes=context.max_value_bytes,
    )


@then("it is refused within {seconds:g} s as too large, with status {status:d}")
def step_too_large(context, seconds, status):
    assert context.verdict is Acceptance.TOO_LARGE, context.verdict
    assert context.seconds <= seconds, context.seconds
    assert _status_of(Acceptance.TOO_LARGE) == status


def _status_of(verdict):
    """Return the status of a callers' server whose entry returns a verdict."""
    queue = Queue("q", "127.0.0.1", "/q/", ServiceName("s"), 0, 4, 1.5, 1)

    class Service:
        async def submit(self, job, *, deadline):
            return verdict

    async def fetch():
        server = caller_server(
            Service(),
            queues=lambda: queue_table(1, [queue]),
            clock=lambda: 0.0,
            wall_clock=lambda: 0.0,
        )
        socket, port = bind_unused_port()
        server.add_socket(socket)
        url = f"http://127.0.0.1:{port}/q/{JOB}"
        body = json.dumps({"spec": "x", "steps": [{"count": 1}]})
        try:
            client = AsyncHTTPClient()
            return await client.fetch(url, method="POST", body=body, raise_error=False)
        finally:
            server.stop()
            await server.close_all_connections()

    return asyncio.run(fetch()).code
