"""Steps on what is lost, or comes late, between leader and agents."""

from behave import then, when

ROUNDS = 3


def _rounds(world, count=ROUNDS):
    for _ in range(count):
        world.round()


def _members(world, job):
    return [
        (worker, key)
        for worker in world.worker_by_node.values()
        for key in worker.running
        if key.task.job == job
    ]


# ---- acknowledgements


@when(
    "it succeeds, and the orders that acknowledge that are lost with their connection"
)
def step_ack_lost(context):
    world = context.world
    world.end_all()
    for worker in world.worker_by_node.values():
        world.report(worker)
    world.commit()
    lost = world.decide()
    assert [orders for _, orders in lost if orders.acknowledged], lost
    for worker in world.worker_by_node.values():
        worker.session += 1


@then("no worker lists an end")
def step_none_listed(context):
    listed = [w.ended for w in context.world.worker_by_node.values() if w.ended]
    assert not listed, listed
