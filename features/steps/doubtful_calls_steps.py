"""Steps on an agent whose worker leaves calls unanswered, in one process."""

import asyncio
import json

from behave import given, then, when
from tornado.web import Application, RequestHandler

from features.steps.hosting_steps import BORN, OWN_HOST, HostingWorld
from wagtailcleat.cluster.timing import RUN_CONTACT_LIMIT_SECONDS
from wagtailcleat.ids import JobId
from wagtailcleat.scheduling.models import Pace, Refusal, RunKey, TaskKey

JOB = "bb" * 8
OTHER_JOB = "cc" * 8
LISTS_BETWEEN_STARTS = 4
"""Lists, 0.05 s apart, after which a start is still on its way as an earlier one fails.
"""


class _UnansweringWorld(HostingWorld):
    """A worker that answers starts and lists only as the test sets."""

    def __init__(self, *, list_period: int = 1, required_fence: int = 0):
        """Answer each list whose number is a multiple of `list_period`."""
        self.list_period = list_period
        self.required_fence = required_fence
        self.is_silent = False
        self.born = BORN
        """Birth time of the incarnation that answers."""
        self.carries_out = False
        self.lists_received = 0
        self.answered_fences: list[int] = []
        self.received_fences: list[int] = []
        self.start_fences_by_job: dict[str, list[int]] = {}
        self.running: list[list] = []
        self.paces: list[tuple[int, int]] = []
        """Percent and fencing token of each pace received."""
        self.fence_raised = asyncio.Event()
        super().__init__(OWN_HOST)

    def make_application(self):
        handlers = [
            ("/hold", _ListHandler, {"world": self}),
            ("/run-start", _StartHandler, {"world": self}),
            ("/run-stop", _UnansweredHandler),
            ("/pace", _PaceHandler, {"world": self}),
        ]
        return Application(handlers)


class _UnansweredHandler(RequestHandler):
    """Answers nothing until the connection closes."""

    def on_connection_close(self):
        if hasattr(self, "closed"):
            self.closed.set()

    async def post(self):
        await self.leave_unanswered()

    async def leave_unanswered(self):
        self.closed = asyncio.Event()
        await self.closed.wait()


class _ListHandler(_UnansweredHandler):
    def initialize(self, world):
        self.world = world

    async def post(self):
        world = self.world
        world.lists_received += 1
        fence = json.loads(self.request.body)["fence"]
        world.received_fences.append(fence)
        if world.is_silent or world.lists_received % world.list_period:
            await self.leave_unanswered()
        elif fence < world.required_fence:
            self.set_status(409)
            self.finish(json.dumps({"clockMs": 1000, "reason": "fence"}))
        else:
            world.answered_fences.append(fence)
            if fence > world.answered_fences[0]:
                world.fence_raised.set()
            body = {"clockMs": 1000, "running": world.running, "finished": []}
            self.finish(json.dumps(body | {"born": world.born}))


class _StartHandler(_UnansweredHandler):
    def initialize(self, world):
        self.world = world

    async def post(self):
        world = self.world
        body = json.loads(self.request.body)
        job = body["task"].partition(".")[0]
        fences = world.start_fences_by_job.setdefault(job, [])
        fences.append(body["fence"])
        row = [body["task"], body["run"], "", 10, 0]
        if job == JOB:
            if world.carries_out:
                world.running.append(row)
            await self.leave_unanswered()
            return
        if len(fences) == 1:
            await world.fence_raised.wait()
            self.set_status(409)
            self.finish(json.dumps({"clockMs": 1000, "reason": "fence"}))
            return
        world.running.append(row)
        self.finish(json.dumps({"clockMs": 1000}))


class _PaceHandler(_UnansweredHandler):
    def initialize(self, world):
        self.world = world

    async def post(self):
        body = json.loads(self.request.body)
        self.world.paces.append((body["percent"], body["fence"]))
        if len(self.world.paces) == 1:
            await self.leave_unanswered()
        else:
            self.finish(json.dumps({"clockMs": 1000}))


def _given(context, **more):
    context.hosting_world = _UnansweringWorld(**more)
    context.add_cleanup(context.hosting_world.close)


@given("an agent whose worker answers lists only")
def step_lists_only(context):
    _given(context)
    context.hosting_world.until(lambda: context.hosting_world.hosting.listed)


@given("an agent whose worker answers each fourth list only")
def step_fourth_list(context):
    _given(context, list_period=4)


@given("an agent whose worker requires a token {seconds:d} s above its clock")
def step_high_token(context, seconds):
    _given(context, required_fence=BORN + seconds * 1000)


def _order(context):
    context.start = context.hosting_world.order(JOB, run=1)
    context.hosting_world.until(
        lambda: context.hosting_world.start_fences_by_job.get(JOB)
    )


@when("a start is ordered that gets no answer")
def step_unanswered(context):
    _order(context)


@when("a start is ordered that gets no answer, and is carried out")
def step_carried_out(context):
    context.hosting_world.carries_out = True
    _order(context)


def _order_two(context):
    """Order a start that gets no answer, and one that is overtaken by the next list."""
    _order(context)
    world = context.hosting_world
    lists = len(world.answered_fences) + LISTS_BETWEEN_STARTS
    world.until(lambda: len(world.answered_fences) >= lists)
    context.other_start = world.order(OTHER_JOB, run=1)
    world.until(lambda: world.start_fences_by_job.get(OTHER_JOB))


@when("two starts are ordered, one gets no answer and the other one is overtaken")
def step_overtaken(context):
    _order_two(context)


@when("two starts are ordered, one gets no answer, and the other one is to stop")
def step_overtaken_stop(context):
    _order_two(context)
    context.hosting_world.stop_runs([context.other_start.key])


@when("two starts are ordered, one gets no answer, and the other one's lease ends")
def step_overtaken_lease(context):
    _order_two(context)
    context.hosting_world.now += RUN_CONTACT_LIMIT_SECONDS


@when("{count:d} starts are ordered that get no answer, and all are to stop at once")
def step_many(context, count):
    world = context.hosting_world
    context.starts = [world.order(JOB, run=1, position=n) for n in range(count)]
    world.until(lambda: world.start_fences_by_job.get(JOB))
    world.stop_runs([start.key for start in context.starts])


@when("stops of {count:d} runs are ordered {times:d} times")
def step_stops(context, count, times):
    task = TaskKey(JobId(OTHER_JOB), 0, 0, 0)
    context.stopped = [RunKey(task._replace(position=n), 1) for n in range(count)]
    for _ in range(times):
        context.hosting_world.stop_runs(context.stopped)


@then("each of these runs has one stop in progress")
def step_one_stop_each(context):
    calls = context.hosting_world.hosting.orders.calls_in_progress
    assert calls == len(context.stopped), calls


@when("a run is paced to 0 percent without an answer, and then to 100 percent")
def step_paces(context):
    world = context.hosting_world
    key = RunKey(TaskKey(JobId(JOB), 0, 0, 0), 1)
    world.pace(Pace(key, 0))
    world.until(lambda: world.paces)
    world.pace(Pace(key, 100))


@then("the last pace is 100 percent, with a higher fencing token than the first")
def step_last_pace(context):
    world = context.hosting_world
    world.until(lambda: world.hosting.orders.calls_in_progress == 0)
    (_, first_fence), *_, (percent, fence) = world.paces
    assert percent == 100, world.paces
    assert fence > first_fence, world.paces


@then("the other one is refused, and was sent once")
def step_refused_once(context):
    world = context.hosting_world
    key = context.other_start.key
    world.until(lambda: key in world.hosting.orders.refusal_by_run)
    assert len(world.start_fences_by_job[OTHER_JOB]) == 1


@then("{count:d} starts were sent at most, and all are known never to have run")
def step_sent_at_most(context, count):
    world = context.hosting_world
    orders = world.hosting.orders
    world.until(lambda: not orders.unsettled_by_run)
    assert len(world.start_fences_by_job[JOB]) <= count, world.start_fences_by_job
    assert {start.key for start in context.starts} == set(orders.refusal_by_run)


@when(
    "a start is ordered that gets no answer, and the worker's port refuses connections"
)
def step_refusing(context):
    _order(context)
    context.hosting_world.refuse(3)


@when("it answers no list until the leases have certainly expired, and then does again")
def step_silent(context):
    world = context.hosting_world
    world.is_silent = True
    world.now += 2 * RUN_CONTACT_LIMIT_SECONDS
    world.until(lambda: world.hosting.runs_lost)
    context.lists_before = len(world.answered_fences)
    world.is_silent = False
    world.until(lambda: len(world.answered_fences) > context.lists_before)


@when("it answers no list, and its next incarnation sends a heartbeat")
def step_replaced(context):
    world = context.hosting_world
    world.is_silent = True
    before = len(world.received_fences)
    # A second list shows that the first one got no answer.
    world.until(lambda: len(world.received_fences) >= before + 2)
    context.earlier_fence = world.received_fences[-1]
    world.begin_incarnation(BORN + 1000)


@when("the next incarnation answers lists at its address")
def step_next_answers(context):
    world = context.hosting_world
    world.born = BORN + 1000
    world.is_silent = False
    world.until(lambda: world.hosting.info.born == world.born)
    context.lists_before = len(world.received_fences)


@then("no further list is asked for with the earlier token")
def step_no_earlier_token(context):
    world = context.hosting_world
    world.until(lambda: world.received_fences[-1] > context.earlier_fence)
    late = world.received_fences[context.lists_before :]
    # The list that was on its way as the heartbeat came may still be received.
    assert late.count(context.earlier_fence) <= 1, late


@when("its lease has certainly expired")
def step_expired(context):
    context.hosting_world.now += 2 * RUN_CONTACT_LIMIT_SECONDS


@then("it is known never to have run")
def step_never_ran(context):
    orders = context.hosting_world.hosting.orders
    key = context.start.key
    context.hosting_world.until(lambda: key in orders.refusal_by_run)
    assert orders.refusal_by_run[key] is Refusal.NEVER_RAN
    assert key not in orders.unsettled_by_run


@then("a list with a higher fencing token than that of the start was answered")
def step_higher_token(context):
    world = context.hosting_world
    assert max(world.answered_fences) > world.start_fences_by_job[JOB][0]


@then("its run counts as running")
def step_running(context):
    world = context.hosting_world
    key = context.start.key
    world.until(lambda: key not in world.hosting.orders.unsettled_by_run)
    assert key in [running.key for running in world.hosting.running]
    assert key not in world.hosting.orders.refusal_by_run


@then("the other one was sent again, and runs")
def step_sent_again(context):
    world = context.hosting_world
    key = context.other_start.key
    world.until(lambda: key in [running.key for running in world.hosting.running])
    assert len(world.start_fences_by_job[OTHER_JOB]) == 2
    assert key not in world.hosting.orders.refusal_by_run


@then("{count:d} lists are answered within 10 s")
def step_lists_answered(context, count):
    world = context.hosting_world
    world.until(lambda: len(world.answered_fences) >= count)


@then("the worker's runs count as lost, and the start is in doubt")
def step_lost_in_doubt(context):
    world = context.hosting_world
    world.until(lambda: world.hosting.runs_lost)
    assert context.start.key in world.hosting.orders.unsettled_by_run


@then("its next list had a higher fencing token than those before")
def step_next_higher(context):
    fences = context.hosting_world.answered_fences
    before = fences[: context.lists_before]
    assert min(fences[context.lists_before :]) > max(before), fences


@then("its runs are listed")
def step_listed(context):
    world = context.hosting_world
    world.until(lambda: world.hosting.listed)
