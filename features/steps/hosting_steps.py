"""Steps on an agent's control of its worker, in one process with a virtual clock."""

import asyncio
import json
import logging
import socket
from dataclasses import replace

from behave import given, then, when
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from wagtailcleat.cluster.hosting import Hosting
from wagtailcleat.cluster.local_addresses import is_local_address
from wagtailcleat.cluster.timing import RUN_CONTACT_LIMIT_SECONDS
from wagtailcleat.ids import JobId, ServiceName, ZoneName
from wagtailcleat.platform.heartbeats import Heartbeat, decode_leave
from wagtailcleat.platform.runs import WRONG_INCARNATION, RunWorker, StartOutcome
from wagtailcleat.resources import Resources
from wagtailcleat.scheduling.models import (
    RunKey,
    Start,
    TaskKey,
    WorkerInfo,
    WorkerState,
)

OWN_HOST = "127.0.1.9"
SECOND_HOST = "127.0.1.11"
"""Another address of the agent's VM."""
OTHER_HOST = "127.0.1.10"
"""Stands for the address of another VM."""
BORN = 1_800_000_000_000
TASK = "00ff00ff00ff00ff.0.0.0"
TIMEOUT_SECONDS = 10.0
POLL_SECONDS = 0.01
HEARD_SECONDS = 0.15
"""Longer than the agent's pause after a list that was refused."""
HEARTBEATS = 5
"""More than it takes a worker to begin."""
LATER_LISTS = 4
"""Lists after which an event has had its effect on later ones."""


class _ListHandler(RequestHandler):
    """Answers lists with the runs and ends of the world."""

    def initialize(self, world):
        self.world = world

    def post(self):
        self.world.lists.append(json.loads(self.request.body))
        if self.world.is_replaced:
            self.set_status(WRONG_INCARNATION)
            self.finish({"clockMs": 1000})
            return
        rows = [[task, 1, "", 10, 0] for task in self.world.listed_tasks]
        ends = self.world.ends
        body = {"clockMs": 1000, "running": rows, "finished": ends}
        body["born"] = self.world.listed_born
        self.finish(json.dumps(body))


class _StopHandler(RequestHandler):
    """Accepts stops, and notes them."""

    def initialize(self, world):
        self.world = world

    def post(self):
        self.world.stops.append(json.loads(self.request.body)["task"])
        self.finish({"clockMs": 1000})


class HostingWorld:
    """An agent's `Hosting`, with a simulated worker that can stop listening."""

    def __init__(self, worker_host):
        """Begin an agent whose worker listens at `worker_host`."""
        self.now = 100.0
        self.wall_now = BORN / 1000
        self.worker_host = worker_host
        self.listed_tasks = [TASK]
        self.ends = []
        self.listed_born = BORN
        """Birth time that its lists name."""
        self.lists = []
        """Bodies of the lists that the worker was asked for."""
        self.stops = []
        """Tasks that the worker was told to stop."""
        self.is_replaced = False
        """Whether another incarnation answers at the worker's address."""
        self.loop = asyncio.new_event_loop()
        self.hosting = Hosting(
            clock=lambda: self.now,
            wall_clock=lambda: self.wall_now,
            own_host=OWN_HOST,
            lease_limit=6.0,
            may_start=lambda: True,
            leader_contact_at=lambda: self.now,
            is_zone_out=lambda zone: False,
            on_change=lambda: None,
            is_local_address=lambda host: host in (OWN_HOST, SECOND_HOST),
        )
        self.loop.run_until_complete(self._begin())

    def make_application(self):
        """Return the simulated worker."""
        arguments = {"world": self}
        return Application(
            [("/hold", _ListHandler, arguments), ("/run-stop", _StopHandler, arguments)]
        )

    async def listen(self):
        """Open the worker's port."""
        sockets = bind_sockets(0, self.worker_host)
        self.address = f"{self.worker_host}:{sockets[0].getsockname()[1]}"
        self.server = HTTPServer(self.make_application())
        self.server.add_sockets(sockets)

    async def _begin(self):
        await self.listen()
        self.work = asyncio.create_task(self.hosting.run())
        await self._hear_first()

    async def _hear_first(self):
        await self.hosting.take_heartbeat(self._heartbeat(BORN))

    def _heartbeat(self, born, cores=8.0, labels=(), instance="i-1", sequence=1):
        info = WorkerInfo(
            instance,
            born,
            ServiceName("booking-core"),
            ZoneName("zilina-a"),
            WorkerState.READY,
            Resources(cores, 64_000, 0),
            labels,
        )
        return Heartbeat(info, self.address, sequence)

    def begin_incarnation(self, born, **more):
        """Deliver a heartbeat, the first one unless `more` says otherwise."""
        beat = self.hosting.take_heartbeat(self._heartbeat(born, **more))
        self.loop.run_until_complete(beat)

    def until(self, condition):
        """Let the agent run until a condition is met."""
        ends_at = self.loop.time() + TIMEOUT_SECONDS
        while not condition():
            assert self.loop.time() < ends_at, "condition not met in time"
            self.loop.run_until_complete(asyncio.sleep(POLL_SECONDS))

    def end_process(self):
        """Close the worker's port and its connections."""

        async def stop():
            self.server.stop()
            await self.server.close_all_connections()

        self.loop.run_until_complete(stop())

    def refuse(self, count):
        """Close the worker's port until it has refused `count` connections."""
        self.end_process()
        self.until(lambda: self.hosting.refusals >= count)

    def leave(self, born):
        """Deliver the leave of the incarnation born then."""
        body = json.dumps({"born": born}).encode()
        left = self.hosting.leave("i-1", decode_leave(body))
        self.loop.run_until_complete(left)

    def pace(self, pace):
        """Order a pace."""

        async def order():
            self.hosting.orders.pace(pace)

        self.loop.run_until_complete(order())

    def stop_runs(self, keys):
        """Order that runs stop."""

        async def stop():
            for key in keys:
                self.hosting.orders.stop(key)

        self.loop.run_until_complete(stop())

    def order(self, job, *, run, born=BORN, position=0):
        """Order the start of a run of a job's task, and return it."""
        start = Start(RunKey(TaskKey(JobId(job), 0, 0, position), run), "")

        async def order():
            self.hosting.orders.start(start, born)

        self.loop.run_until_complete(order())
        return start

    def close(self):
        """Stop the agent."""
        self.work.cancel()
        self.loop.run_until_complete(asyncio.gather(self.work, return_exceptions=True))
        self.loop.close()


@given("an agent whose worker listens at its VM's address")
def step_own(context):
    context.hosting_world = HostingWorld(OWN_HOST)
    context.add_cleanup(context.hosting_world.close)


@given(
    "an agent that has heard a worker, born later, whose address refuses connections"
)
def step_stranger(context):
    context.hosting_world = _StrangerWorld(OWN_HOST)
    context.add_cleanup(context.hosting_world.close)


@when("a heartbeat of its own worker arrives")
def step_own_heard(context):
    context.hosting_world.begin_incarnation(BORN)


@when(
    "its own worker and that one are heard for {seconds:d} s, the latter born later"
    " each second"
)
def step_both_heard(context, seconds):
    world = context.hosting_world
    for second in range(seconds):
        born = BORN + 6000 + second * 1000
        world.loop.run_until_complete(world.hear_stranger(born))
        world.begin_incarnation(BORN, sequence=second + 1)
        world.now += 1.0
        world.loop.run_until_complete(asyncio.sleep(HEARD_SECONDS))


@then("the runs of that worker are known")
def step_runs_listed(context):
    world = context.hosting_world
    world.until(lambda: world.hosting.running)


@given("an agent whose worker listens at another address than its VM's")
def step_other(context):
    context.hosting_world = HostingWorld(OTHER_HOST)
    context.add_cleanup(context.hosting_world.close)


@given("an agent whose worker listens at another address of its VM")
def step_second(context):
    context.hosting_world = HostingWorld(SECOND_HOST)
    context.add_cleanup(context.hosting_world.close)


class _StrangerWorld(HostingWorld):
    """An agent that has heard only a worker of another VM."""

    stranger_host = OTHER_HOST

    async def _hear_first(self):
        await self.hear_stranger(BORN + 5000)

    async def hear_stranger(self, born):
        """Deliver the first heartbeat of the other VM's worker born then."""
        stranger = self._heartbeat(born, instance="i-9")
        address = f"{self.stranger_host}:1"
        await self.hosting.take_heartbeat(replace(stranger, address=address))


class _LocalStrangerWorld(_StrangerWorld):
    """The same; the other worker's address is one that this VM has as well."""

    stranger_host = SECOND_HOST


@given("an agent that has heard a worker of another VM, at an address that both have")
def step_local_stranger(context):
    context.hosting_world = _LocalStrangerWorld(OWN_HOST)
    context.add_cleanup(context.hosting_world.close)


@when("the leave of that worker arrives, and its address refuses {count:d} connections")
def step_stranger_leaves(context, count):
    world = context.hosting_world
    world.loop.run_until_complete(world.hosting.leave("i-9", 0))
    world.until(lambda: world.hosting.refusals >= count)


@then("its worker does not count as having left")
def step_not_left(context):
    assert not context.hosting_world.hosting.left


@when("the worker runs a task and its port refuses {count:d} connections")
def step_refuses(context, count):
    world = context.hosting_world
    world.until(lambda: world.hosting.running)
    world.refuse(count)


@when("the leases have certainly expired")
def step_leases_out(context):
    context.hosting_world.now += 2 * RUN_CONTACT_LIMIT_SECONDS


@then("the task still counts as running")
def step_still_running(context):
    assert context.hosting_world.hosting.running, "its runs count as lost"


@then("the task counts as lost")
def step_lost(context):
    world = context.hosting_world
    world.until(lambda: not world.hosting.running)
    assert world.hosting.listed, "the report would not list the runs"


@when("the worker runs a task and a leave of its earlier incarnation arrives")
def step_late_leave(context):
    world = context.hosting_world
    world.until(lambda: world.hosting.running)
    world.leave(BORN - 1000)


@when("the leave of its present incarnation arrives")
def step_leave(context):
    context.hosting_world.leave(BORN)


@then("its worker has left")
def step_left(context):
    world = context.hosting_world
    world.until(lambda: world.hosting.left)
    assert not world.hosting.running
    assert world.hosting.info is None


@when("the worker runs a task and the leave of its present incarnation arrives")
def step_runs_and_leaves(context):
    world = context.hosting_world
    world.until(lambda: world.hosting.running)
    world.until(lambda: "deadlineMs" in world.lists[-1])
    world.leave(BORN)


@when("its port refuses {count:d} connections")
def step_port_refuses(context, count):
    context.hosting_world.refuse(count)


@when("its process ends")
def step_process_ends(context):
    context.hosting_world.end_process()


@then("the worker is told to stop the task")
def step_told_to_stop(context):
    world = context.hosting_world
    world.until(lambda: world.stops)
    assert world.stops == [TASK], world.stops


@then("no list renews its leases any more")
def step_no_renewal(context):
    world = context.hosting_world
    world.lists.clear()
    world.until(lambda: len(world.lists) >= LATER_LISTS)
    renewals = [body for body in world.lists[1:] if "deadlineMs" in body]
    assert not renewals, renewals


@when("the worker lists that the task has stopped")
def step_lists_stop(context):
    world = context.hosting_world
    world.ends = [[1, TASK, 1, "stopped", "saved"]]
    world.listed_tasks = []


@then("the task counts as ended")
def step_task_ended(context):
    world = context.hosting_world
    world.until(lambda: world.hosting.ended)
    assert not world.hosting.running
    assert world.hosting.listed, "the report would not list the end"


@when("a heartbeat of the worker that has left arrives")
def step_heard_again(context):
    context.hosting_world.begin_incarnation(BORN, sequence=9)


@when("the worker runs a task and a heartbeat of another worker arrives")
def step_other_heard(context):
    world = context.hosting_world
    world.until(lambda: world.hosting.running)
    world.begin_incarnation(BORN + 1, instance="i-2")


@when("a heartbeat of another worker arrives")
def step_other_arrives(context):
    context.hosting_world.begin_incarnation(BORN + 1, instance="i-2")


@when(
    "its process ends, and such heartbeats arrive beside those of the next worker for"
    " {seconds:d} s"
)
def step_strangers(context, seconds):
    world = context.hosting_world
    world.end_process()
    world.until(lambda: world.hosting.refusals)
    world.listed_born = BORN + 1
    world.loop.run_until_complete(world.listen())
    for number in range(2 * seconds):
        world.now += 0.5
        stranger = world._heartbeat(BORN + 5000 + number, instance="i-9")
        stranger = replace(stranger, address=f"{OTHER_HOST}:1")
        world.loop.run_until_complete(world.hosting.take_heartbeat(stranger))
        world.begin_incarnation(BORN + 1, instance="i-2", sequence=number)
        world.loop.run_until_complete(asyncio.sleep(POLL_SECONDS))
        if world.hosting.info.id == "i-2":
            # Otherwise its leases lapse: calls take real time, and 0.5 s have passed.
            known = len(world.lists)
            world.until(lambda known=known: len(world.lists) > known + 1)


@when("the worker runs a task and its process ends")
def step_runs_and_ends(context):
    world = context.hosting_world
    world.until(lambda: world.hosting.running)
    world.end_process()
    world.until(lambda: not world.hosting.running)


@when('the next worker "{instance}" begins there, born earlier by its clock')
def step_earlier_by_clock(context, instance):
    _begin_next(context.hosting_world, BORN - 5000, instance)


@when('a next worker "{instance}" begins there, born later')
def step_next_begins(context, instance):
    _begin_next(context.hosting_world, BORN + 1, instance)


def _begin_next(world, born, instance):
    world.listed_born = born
    world.loop.run_until_complete(world.listen())
    for number in range(HEARTBEATS):
        world.begin_incarnation(born, instance=instance, sequence=number)
        world.loop.run_until_complete(asyncio.sleep(POLL_SECONDS))


@then("the worker born then is the worker of this VM")
def step_born_then(context):
    world = context.hosting_world
    assert world.hosting.info.born == BORN - 5000, world.hosting.info


@when("the worker runs a task and a heartbeat of an earlier worker arrives")
def step_late_heartbeat(context):
    world = context.hosting_world
    world.until(lambda: world.hosting.running)
    step_earlier_arrives(context)


@when("a heartbeat of an earlier worker arrives")
def step_earlier_arrives(context):
    context.hosting_world.begin_incarnation(BORN - 5000, instance="i-0")


@when("{seconds:d} s pass without another heartbeat")
def step_time_passes(context, seconds):
    context.hosting_world.now += seconds


@when("a heartbeat of a third worker arrives")
def step_third_arrives(context):
    context.hosting_world.begin_incarnation(BORN + 2, instance="i-3")


@when("the end is acknowledged, and the worker lists nothing any more")
def step_lists_nothing(context):
    context.hosting_world.ends = []


@when("another worker answers at its address")
def step_replaced(context):
    context.hosting_world.is_replaced = True


@then('"{instance}" is still the worker of this VM')
def step_still_worker(context, instance):
    world = context.hosting_world
    seen = len(world.lists) + world.hosting.refusals
    world.until(lambda: len(world.lists) + world.hosting.refusals >= seen + LATER_LISTS)
    assert world.hosting.info.id == instance, world.hosting.info


@then('"{instance}" is the worker of this VM')
def step_is_worker(context, instance):
    world = context.hosting_world
    world.until(lambda: world.hosting.info.id == instance)


@then("the worker counts as silent")
def step_silent(context):
    world = context.hosting_world
    assert world.hosting.silent_seconds(world.now) > 0.0


@when("a start is ordered")
def step_start(context):
    world = context.hosting_world
    context.start = world.order("aa" * 8, run=1)


@when("a start is ordered for the worker's earlier incarnation")
def step_start_earlier(context):
    world = context.hosting_world
    world.until(lambda: world.hosting.listed)
    context.start = world.order("aa" * 8, run=1, born=BORN - 1000)


@when("the worker runs a task and the next run of that task is ordered")
def step_start_next(context):
    world = context.hosting_world
    world.until(lambda: world.hosting.running)
    context.start = world.order(TASK.partition(".")[0], run=2)


@then("that start is refused at once")
def step_start_refused(context):
    world = context.hosting_world
    world.until(lambda: not world.hosting.orders.unsettled_by_run)
    assert context.start.key in world.hosting.orders.refusal_by_run


class _StartHandler(RequestHandler):
    def initialize(self, connections):
        self.connections = connections

    async def post(self):
        self.connections.add(self.request.connection.stream.socket.getpeername())
        await asyncio.sleep(POLL_SECONDS)
        self.finish(json.dumps({"clockMs": 1000}))


@given("a worker that counts the connections to it")
def step_counting_worker(context):
    context.connections = set()
    handler = ("/run-start", _StartHandler, {"connections": context.connections})
    context.application = Application([handler])


@when("{count:d} runs are started at one time, three times in a row")
def step_burst(context, count):
    async def main():
        sockets = bind_sockets(0, OWN_HOST)
        server = HTTPServer(context.application)
        server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        worker = RunWorker(f"{OWN_HOST}:{port}", "i-1", fence=1, call_seconds=5.0)
        outcomes = []
        for burst in range(3):
            starts = [
                Start(RunKey(TaskKey("00ff00ff00ff00ff", 0, 0, n), burst + 1), "x")
                for n in range(count)
            ]
            outcomes += await asyncio.gather(
                *(worker.start(start, until=10.0) for start in starts)
            )
        worker.close()
        server.stop()
        await server.close_all_connections()
        return outcomes

    context.outcomes = asyncio.run(main())


@then("all of them have started")
def step_all_started(context):
    assert set(context.outcomes) == {StartOutcome.STARTED}, context.outcomes


@then("{count:d} connections were opened at most")
def step_connections(context, count):
    assert 0 < len(context.connections) <= count, len(context.connections)


@when('the worker is replaced by one of {cores:d} cores, of kind "{kind}"')
def step_other_kind(context, cores, kind):
    context.records = logged = []
    handler = logging.Handler()
    handler.emit = logged.append
    logger = logging.getLogger("wagtailcleat.hosting")
    context.add_cleanup(logger.setLevel, logger.level)
    context.add_cleanup(logger.removeHandler, handler)
    logger.setLevel(logging.INFO)
    logger.addHandler(handler)
    world = context.hosting_world
    world.begin_incarnation(BORN + 1, cores=float(cores), labels=(kind,))
    world.is_replaced = True
    world.until(lambda: world.hosting.info.born == BORN + 1)


@then('the log says that a worker of {cores:d} cores and of kind "{kind}" began')
def step_kind_logged(context, cores, kind):
    (began,) = [r for r in context.records if r.getMessage().endswith("Worker began")]
    assert (began.cores, began.labels) == (cores, [kind]), vars(began)


@then('the address "{address}" belongs to this VM')
def step_local(context, address):
    assert is_local_address(address)


@then('the address "{address}" does not belong to this VM')
def step_not_local(context, address):
    assert not is_local_address(address)


@then("each address that the kernel uses as a source belongs to this VM")
def step_sources(context):
    for far in ("127.0.0.1", "198.51.100.7"):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unsent:
            try:
                unsent.connect((far, 9))
            except OSError:
                continue  # A machine without a network has no route there.
            assert is_local_address(unsent.getsockname()[0]), unsent
