"""Steps on questions for the state of a job, on virtual time."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when

from standins.virtual_time import VirtualLoop
from wagtailcleat.cluster.job_states import NoSuchJob, NotAnswered
from wagtailcleat.cluster.keys import cancel_key, job_key
from wagtailcleat.cluster.submissions import Submissions
from wagtailcleat.scheduling.models import JobState
from wagtailcleat.storage import (
    Absent,
    Conflict,
    Found,
    Unavailable,
    Unknown,
    Written,
)
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.scheduling import Leads, StateShown

JOB = "00ff00ff00ff00ff"
LEADER = Leads(1, "entry-2", 1, "127.0.0.1", 1)
LOST_SECONDS = 1.0
"""How long a read takes whose answer is lost."""


class _Leader:
    """A leader that another process reaches by a call."""

    def __init__(self, seconds, state):
        self.seconds = seconds
        self.state = state

    async def call(self, host, port, message, *, timeout):
        """Answer after a while, or not at all."""
        await asyncio.sleep(self.seconds)
        return StateShown(self.state) if self.state else Lost(True, "no answer in time")


class _Store:
    """A store that answers reads late, after it has lost some of them."""

    def __init__(self, seconds, lost, *, has_job, is_away=False):
        self.seconds = seconds
        self.lost = lost
        self.lost_writes = 0
        self.keys = {job_key(JOB)} if has_job else set()
        self.is_away = is_away

    def is_unavailable(self, now):
        """Return whether it is known to be away."""
        return self.is_away

    async def get(self, key):
        """Return the job, or the absence of any other key."""
        if self.lost or self.is_away:
            self.lost -= 1
            await asyncio.sleep(LOST_SECONDS)
            return Unavailable("lost")
        await asyncio.sleep(self.seconds)
        return Found(key, b"", 7) if key in self.keys else Absent(9)

    async def write(self, txn):
        """Carry out a write of keys that must be absent; its answer may be lost."""
        present = [c.key for c in txn.compares if c.key in self.keys]
        if not present:
            self.keys |= set(txn.puts)
        if self.lost_writes or self.is_away:
            self.lost_writes -= 1
            await asyncio.sleep(LOST_SECONDS)
            return Unknown("lost")
        await asyncio.sleep(self.seconds)
        if present:
            return Conflict(tuple(Found(key, b"", 7) for key in present))
        return Written(10)


@given("an entry whose leader gives no answer within {seconds:g} s")
def step_leader(context, seconds):
    context.asked_leader = _Leader(seconds, "")


@given('an entry whose leader tells "{state}" after {seconds:g} s')
def step_leader_tells(context, state, seconds):
    context.asked_leader = _Leader(seconds, JobState(state).value)


@given(
    "a store {word} the job, which answers after {seconds:g} s and loses {lost:d} reads"
)
def step_store(context, word, seconds, lost):
    context.read_store = _Store(seconds, lost, has_job=word == "with")


@given("a store with the job, which has been away for 2 s")
def step_store_away(context):
    context.read_store = _Store(0.01, 0, has_job=True, is_away=True)


@given("it loses the answers to {count:d} writes")
def step_lost_writes(context, count):
    context.read_store.lost_writes = count


@when("a caller asks for the state and waits for {seconds:g} s")
def step_asks(context, seconds):
    _ask(context, seconds, Submissions.state)


@when("a caller cancels the job and waits for {seconds:g} s")
def step_cancels(context, seconds):
    _ask(context, seconds, Submissions.cancel)
    if context.answer is JobState.CANCELLED or isinstance(context.answer, NoSuchJob):
        assert cancel_key(JOB) in context.read_store.keys


def _ask(context, seconds, question):
    loop = VirtualLoop()
    context.add_cleanup(loop.end)
    submissions = Submissions(
        store=context.read_store,
        peers=context.asked_leader,
        leadership=SimpleNamespace(leader=LEADER, leads=False),
        leader=lambda: None,
        clock=loop.time,
    )
    started_at = loop.time()
    context.answer = loop.run_until_complete(
        question(submissions, JOB, deadline=started_at + seconds)
    )
    context.answer_seconds = loop.time() - started_at


@then('it is told "no such job" within {limit:g} s')
def step_told_none(context, limit):
    step_no_such_job(context, limit)


@then('it is told "{state}" within {limit:g} s')
def step_told(context, state, limit):
    assert context.answer is JobState(state), (context.answer, context.answer_seconds)
    assert context.answer_seconds <= limit, context.answer_seconds


@then("it is not told a state, within {limit:g} s")
def step_not_told(context, limit):
    assert isinstance(context.answer, NotAnswered), context.answer
    assert context.answer_seconds <= limit, context.answer_seconds


@then("it is told that there is no such job within {limit:g} s")
def step_no_such_job(context, limit):
    assert isinstance(context.answer, NoSuchJob), context.answer
    assert context.answer_seconds <= limit, context.answer_seconds
