"""Steps on the answers of leaders and entries to callers that count waiting jobs."""

import asyncio
import json

from behave import given, then, when
from tornado.httpclient import AsyncHTTPClient
from tornado.testing import bind_unused_port

from features.steps.leader_world import VALID_SECONDS, LeaderWorld
from features.steps.scheduling_world import make_job, plain
from wagtailcleat.cluster.job_states import NotAnswered
from wagtailcleat.cluster.keys import ProcessInfo, agent_key, encode
from wagtailcleat.cluster.submissions import Submissions
from wagtailcleat.errors import Code
from wagtailcleat.ids import ServiceName
from wagtailcleat.platform.submissions import caller_server
from wagtailcleat.scheduling.models import WorkerState
from wagtailcleat.scheduling.queues import Queue, queue_table
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.results import Refused
from wagtailcleat.wire.scheduling import CountWaiting, Leads, Waiting

QUEUE = "seat-hold"
PREFIX = "/holds/"
LEADER = Leads(1, "entry-2", 1, "127.0.0.1", 1)
RESTORING = Refused(Code.RESTORING.value, "the leader is still restoring")


@given("a leader that waits for the list of {count:d} stored jobs, with 2 agents")
def step_leader_restoring(context, count):
    world = context.leading = LeaderWorld()
    context.add_cleanup(world.close)
    for worker in world.workers:
        worker.state = WorkerState.DRAINING
        world.store.put(agent_key(worker.node), encode(ProcessInfo("127.0.0.1", 1, 0)))
    for number in range(count):
        world.store_job(make_job(f"{number:016x}", plain(1), queue=QUEUE))
    world.store.open.clear()
    world.lead()
    world.until(lambda: world.store.lists_requested)


@then("it refuses to count, because it is {code}")
def step_refuses(context, code):
    answer = context.leading.leader.waiting(CountWaiting(QUEUE))
    assert isinstance(answer, Refused) and answer.code == code, answer


@when("it has restored the stored jobs and no agent has reported")
def step_restored(context):
    world = context.leading
    world.store.open.set()
    world.until(lambda: world.leader.ready)


@when("both agents have reported and start nothing")
def step_reported(context):
    context.leading.rounds()


@when("its lease has run out")
def step_lease_out(context):
    context.leading.now += VALID_SECONDS + 1


@then("it counts {count:d} waiting jobs")
def step_counts(context, count):
    answer = context.leading.leader.waiting(CountWaiting(QUEUE))
    assert answer == Waiting(count), answer


class _CountingLeader:
    """A leader that another process reaches by a call, with its next answer."""

    def __init__(self) -> None:
        self.now = 100.0
        self.answer = RESTORING
        self.answer_seconds = 0.0

    async def call(self, host, port, message, *, timeout):
        """Answer a call, after a while if that is set."""
        assert isinstance(message, CountWaiting)
        answer = self.answer
        self.now += self.answer_seconds
        # Other calls go on meanwhile.
        await asyncio.sleep(0)
        return answer


class _OwnLeader:
    """The leader of this entry while it leads, with its next answer."""

    ready = False

    def __init__(self) -> None:
        self.answer = RESTORING

    def waiting(self, message):
        """Answer at once."""
        assert isinstance(message, CountWaiting)
        return self.answer


class _Leadership:
    leader = LEADER
    leads = False


class _EntryWorld:
    """An entry's operations on jobs, and the leader that it asks."""

    def __init__(self) -> None:
        self.leader = _CountingLeader()
        self.own_leader = None
        self.submissions = Submissions(
            store=None,
            peers=self.leader,
            leadership=_Leadership(),
            leader=lambda: self.own_leader,
            clock=lambda: self.leader.now,
        )

    def count(self, queue=QUEUE):
        """Return what the entry answers."""
        return asyncio.run(self.submissions.waiting(queue))


@given("an entry that does not lead")
def step_entry(context):
    context.entry = _EntryWorld()


@when("the leader counts {count:d} waiting jobs")
def step_leader_counts(context, count):
    context.entry.leader.answer = Waiting(count)


@when("the leader refuses to count")
def step_leader_refuses(context):
    context.entry.leader.answer = RESTORING


@when("{seconds:g} s pass, and the leader refuses to count")
def step_pass_refuses(context, seconds):
    context.entry.leader.now += seconds
    context.entry.leader.answer = RESTORING


@when("{seconds:g} s passes, and the leader does not answer for {silent:g} s")
@when("{seconds:g} s pass, and the leader does not answer for {silent:g} s")
def step_pass_silent(context, seconds, silent):
    leader = context.entry.leader
    leader.now += seconds
    leader.answer, leader.answer_seconds = Lost(True, "no answer in time"), silent


@when("it has led for {seconds:g} s without restoring them")
def step_led_without(context, seconds):
    context.entry.leader.now += seconds


@when(
    "a count of {first:d} arrives after a count of {second:d} that was asked for later"
)
def step_out_of_order(context, first, second):
    entry = context.entry

    async def ask():
        entry.leader.answer = Waiting(first)
        arrives = asyncio.Event()
        call = entry.leader.call

        async def held(*arguments, **more):
            answer = await call(*arguments, **more)
            if answer == Waiting(first):
                await arrives.wait()
            return answer

        entry.leader.call = held
        slow = asyncio.create_task(entry.submissions.waiting(QUEUE))
        await asyncio.sleep(0)
        entry.leader.now += 0.5
        entry.leader.answer = Waiting(second)
        assert await entry.submissions.waiting(QUEUE) == second
        arrives.set()
        assert await slow == first

    asyncio.run(ask())


@when("the entry leads and has not restored the jobs")
def step_entry_leads(context):
    # The earlier leader still answers, but nobody follows it any more.
    context.entry.own_leader = _OwnLeader()
    context.entry.leader.answer = Waiting(9)


@when("its own leader counts {count:d} waiting jobs")
def step_own_counts(context, count):
    context.entry.own_leader.answer = Waiting(count)


@then("the entry answers {count:d}")
def step_entry_answers(context, count):
    answer = context.entry.count()
    assert answer == count, answer


@then("the entry does not answer")
def step_entry_silent(context):
    answer = context.entry.count()
    assert isinstance(answer, NotAnswered), answer


@then("the entry does not answer for another queue")
def step_entry_other_queue(context):
    answer = context.entry.count("fares")
    assert isinstance(answer, NotAnswered), answer


def _ask(count):
    """Return the answer of a callers' server whose entry returns `count`."""
    queue = Queue(QUEUE, "127.0.0.1", PREFIX, ServiceName("booking-core"), 0, 4, 1.5, 1)

    class Service:
        async def waiting(self, name):
            assert name == QUEUE
            return count

    async def fetch():
        server = caller_server(
            Service(),
            queues=lambda: queue_table(1, [queue]),
            clock=lambda: 0.0,
            wall_clock=lambda: 0.0,
        )
        socket, port = bind_unused_port()
        server.add_socket(socket)
        url = f"http://127.0.0.1:{port}{PREFIX}"
        try:
            return await AsyncHTTPClient().fetch(url, raise_error=False)
        finally:
            server.stop()
            await server.close_all_connections()

    return asyncio.run(fetch())


@then("a count that is not known is answered {status:d} with a time to come back")
def step_not_known_status(context, status):
    reply = _ask(NotAnswered())
    assert reply.code == status, reply.code
    assert int(reply.headers["Retry-After"]) >= 1, dict(reply.headers)


@then("a count of {count:d} is answered {status:d}")
def step_known_status(context, count, status):
    reply = _ask(count)
    assert (reply.code, json.loads(reply.body)) == (status, {"pending": count})
