"""Steps on a leader and agents whose workers do not answer."""

from behave import given, then, when

from features.steps.leader_world import LeaderWorld
from features.steps.scheduling_world import make_job, plain
from wagtailcleat.cluster.keys import AGENT_PREFIX
from wagtailcleat.scheduling.models import RunEnd, RunKey, TaskKey

JOB = "00ff00ff00ff00ff"
PLACES = {"first": 0, "second": 1}


@given("a leader of 2 agents, and a job that runs at the first")
def step_leader(context):
    world = context.leading = LeaderWorld()
    context.add_cleanup(world.close)
    world.lead()
    world.until(lambda: world.leader.ready)
    world.rounds()
    world.store_job(make_job(JOB, plain(2)))
    world.until(lambda: world.runs(JOB))
    world.rounds()
    runs = world.runs(JOB)
    # The workers are put in order, and all runs at the first.
    first = next(w for w in world.workers if w.node == runs[0][0])
    world.workers.sort(key=lambda worker: worker is not first)
    for key in list(world.workers[1].running):
        world.workers[1].end(key, RunEnd.STOPPED)
    world.workers[1].cores = 0.0
    world.rounds()


@when("the worker of the {place} agent has not answered for {seconds:d} s{ends}")
@when("the worker of the {place} agent has not answered for {seconds:d} s")
def step_silent(context, place, seconds, ends=""):
    world = context.leading
    worker = world.workers[PLACES[place]]
    if ends:
        world.store.is_silent = True
        key = RunKey(TaskKey(JOB, 0, 0, 0), 99)
        worker.running[key] = None
        worker.end(key, RunEnd.FAILED)
        world.report(worker)
        world.wait_rounds()
    worker.silent_seconds = float(seconds)
    world.rounds()
    world.store.is_silent = False


@when("the worker of the {place} agent answers again")
def step_answers(context, place):
    worker = context.leading.workers[PLACES[place]]
    worker.silent_seconds = 0.0
    context.leading.rounds()


@then("the agents that a next leader waits for are {places}")
def step_registered(context, places):
    world = context.leading
    wanted = {
        AGENT_PREFIX + world.workers[PLACES[place.split()[-1]]].node
        for place in places.split(" and ")
    }
    found = {key for key in world.store.found_by_key if key.startswith(AGENT_PREFIX)}
    assert found == wanted, (found, wanted)
