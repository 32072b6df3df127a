"""Steps on workers that leave, and that may run on after they have said so."""

from random import Random

from behave import given, then, when

from features.steps.departures import Departure, leave
from features.steps.late_world import LateWorld
from features.steps.scheduling_world import plain

DEPARTURE_BY_NAME = {
    "it reads the acknowledgement at once": Departure(),
    "it reads the acknowledgement after 0.8 s": Departure(ack_seconds=0.8),
    "the acknowledgement is lost": Departure(ack_seconds=None),
    "the message is lost": Departure(reaches_agent=False),
    "its agent ends with the acknowledgement on its way": Departure(
        ack_seconds=0.5, agent_ends_after=0.01
    ),
    "its agent ends before the acknowledgement has been read": Departure(
        ack_seconds=None, agent_ends_after=0.0
    ),
}
NOTICE_SECONDS = 30.0
"""Long enough for each departure to be over."""


@given("a leader and {agents:d} agents, each on the VM of its worker")
def step_local_world(context, agents):
    world = _new_world(context, agents)
    world.local_nodes |= set(world.worker_by_node)
    _settle(world)


@given("a leader and {agents:d} agents, each worker at another address of its VM")
def step_second_world(context, agents):
    world = _new_world(context, agents)
    world.second_nodes |= set(world.worker_by_node)
    _settle(world)


def _new_world(context, agents):
    world = context.world = LateWorld(entries=2, agents=agents, random=Random(1))
    context.add_cleanup(world.close)
    context.workers = list(world.worker_by_node.values())
    return world


def _settle(world):
    world.until_led()
    # Until every agent is registered and the leader's first heartbeats are stored.
    world.wait(2.0)


@when("{count:d} tasks of {seconds:d} s run and a worker of theirs leaves: {what}")
def step_leaves(context, count, seconds, what):
    world = context.world
    for worker in context.workers:
        worker.run_seconds = lambda key: float(seconds)
    context.job = world.submit_steps(plain(count, cores=2.0))
    runs = world.oracle.runs
    world.until(lambda: len(runs) == count, NOTICE_SECONDS, "the tasks run")
    world.wait(1.0)
    node, worker = next(
        (node, worker)
        for node, worker in world.worker_by_node.items()
        if worker.boot.run_by_key
    )
    context.left_boot = worker.boot
    context.left_tasks = {key.task for key in worker.boot.run_by_key}
    world.loop.create_task(leave(world, node, DEPARTURE_BY_NAME[what]))


@then("each of its tasks runs on another worker within {seconds:d} s")
def step_run_elsewhere(context, seconds):
    world = context.world

    def tasks_elsewhere():
        return {
            run.key.task
            for run in world.oracle.runs
            if run.boot is not context.left_boot.record and run.started_at > left_at
        }

    left_at = world.clock()
    world.until(
        lambda: context.left_tasks <= tasks_elsewhere(), seconds, "tasks run elsewhere"
    )


@then("no task had two runs at the same time")
def step_no_overlap(context):
    context.world.wait(NOTICE_SECONDS)
    assert not context.world.breaches(), "\n".join(context.world.breaches())
