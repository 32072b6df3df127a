"""Steps on the leader's questions to an advice service that takes long."""

import asyncio

from behave import given, then, when

from features.steps.scheduling_world import make_job, plain
from features.steps.takeover_world import TakeoverWorld
from wagtailcleat.cluster import advice_questions
from wagtailcleat.cluster.keys import encode, job_key
from wagtailcleat.platform.advice import Granted
from wagtailcleat.scheduling.advice import Question, WorkerIncarnation
from wagtailcleat.storage import Txn

ALL = 30
MANY_QUESTIONS = 60
ADVISED = "ab" * 8
OTHER = "cd" * 8
TICKET = "t"
TICKET_SECONDS = 10.0


class _Service:
    """Answers, or not, at once: `seconds` is how long the answer would take."""

    def __init__(self, decide, period):
        self.decide, self.period = decide, period
        self.asked = []
        """Number of workers, time limit and whether it was answered, by question."""

    async def ask(self, question, *, timeout):
        workers = len(question.workers)
        answered = self.decide + self.period * workers <= timeout
        self.asked.append((workers, timeout, answered))
        if len(self.asked) > MANY_QUESTIONS:
            raise AssertionError(self.asked)
        return Granted({}, 10.0) if answered else None


class _Advice:
    """Always has a question about all workers, and takes the answers."""

    def __init__(self):
        self.taken = 0

    def question(self, *_, max_workers=ALL, **__):
        named = [WorkerIncarnation(f"i-{n}", 1) for n in range(min(ALL, max_workers))]
        return Question("ab" * 8, (0, 0), tuple(named))

    def take(self, question, ticket_by_worker, *, until):
        self.taken += 1

    def forget_ended(self, job_table):
        pass


class _Scheduler:
    def __init__(self):
        self.advice = _Advice()
        self.job_table = None
        self.vm_by_node = {}


async def _ask_until(context, condition):
    """Let the leader ask until a condition on the service and the answers is met."""
    enough = asyncio.Event()

    def granted():
        if condition():
            enough.set()

    work = asyncio.create_task(
        advice_questions.ask_advice(
            context.service,
            context.scheduler,
            acting=lambda: not enough.is_set(),
            clock=lambda: 100.0,
            wall_clock=lambda: 100.0,
            on_granted=granted,
        )
    )
    waiting = asyncio.create_task(enough.wait())
    await asyncio.wait([work, waiting], return_when=asyncio.FIRST_COMPLETED)
    waiting.cancel()
    if work.done():
        work.result()
    work.cancel()


@given(
    "an advice service that takes {decide:g} s and {period:g} s for each worker named"
)
def step_service(context, decide, period):
    context.service = _Service(decide, period)
    context.scheduler = _Scheduler()
    pause = advice_questions.RETRY_PAUSE_SECONDS
    context.add_cleanup(setattr, advice_questions, "RETRY_PAUSE_SECONDS", pause)
    advice_questions.RETRY_PAUSE_SECONDS = 0.0


@when("the leader asks about {count:d} workers")
def step_asks(context, count):
    assert count == ALL
    asyncio.run(_ask_until(context, lambda: context.scheduler.advice.taken))


@then("it gets an answer after {count:d} questions without one")
def step_answered(context, count):
    answered = [answered for *_, answered in context.service.asked]
    assert answered == [False] * count + [True], context.service.asked


@then("no question takes longer than {seconds:d} s")
def step_longest(context, seconds):
    assert max(timeout for _, timeout, _ in context.service.asked) <= seconds


@when("the service takes {seconds:g} s again")
def step_fast(context, seconds):
    context.service.decide, context.service.period = seconds, 0.0
    context.before = len(context.service.asked)


@then("questions name {count:d} workers again after {more:d} more")
def step_all_again(context, count, more):
    service = context.service

    def names_all():
        return len(service.asked) >= context.before + more

    asyncio.run(_ask_until(context, names_all))
    assert service.asked[-1][0] == count, service.asked


class _ServiceInTurn:
    """Handles one call at a time; a caller that gives up does not end its call."""

    def __init__(self, loop, decide):
        self._loop, self._decide = loop, decide
        self._free_at = 0.0

    async def ask(self, question, *, timeout):
        now = self._loop.time()
        self._free_at = max(now, self._free_at) + self._decide
        if self._free_at > now + timeout:
            await asyncio.sleep(timeout)
            return None
        await asyncio.sleep(self._free_at - now)
        granted = {worker.id: TICKET for worker in question.workers}
        return Granted(granted, TICKET_SECONDS)


@given(
    "{entries:d} entries and {agents:d} agents on virtual time, and an advice service"
    " that takes {decide:g} s for each call in turn"
)
def step_in_turn(context, entries, agents, decide):
    world = context.world = TakeoverWorld(entries=entries, agents=agents)
    context.add_cleanup(world.close)
    world.advice = _ServiceInTurn(world.loop, decide)
    world.until_led()
    # Until every agent is registered.
    world.wait(2.0)


@when(
    "a job of {count:d} tasks of an advised queue is stored, and one of another queue"
)
def step_stored(context, count):
    jobs = [
        make_job(ADVISED, plain(count, cores=1.0), advised=True),
        make_job(OTHER, plain(1)),
    ]
    context.count_by_job = {ADVISED: count, OTHER: 1}
    for job in jobs:
        context.world.keyspace.commit(Txn([], {job_key(job.id): encode(job)}))


def _starts(context, job):
    return [
        start
        for agent in context.world.agents
        for key, start in agent.worker.running.items()
        if key.task.job == job
    ]


def _wait_for_starts(context, job, seconds):
    count = context.count_by_job[job]
    context.world.until(
        lambda: len(_starts(context, job)) == count, seconds, f"{job} runs"
    )


@then("the other job runs within {seconds:d} s")
def step_other_runs(context, seconds):
    _wait_for_starts(context, OTHER, seconds)


@then("the advised job runs within {seconds:d} s, each task with a ticket")
def step_advised_runs(context, seconds):
    _wait_for_starts(context, ADVISED, seconds)
    assert all(start.ticket == TICKET for start in _starts(context, ADVISED))
