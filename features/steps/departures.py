"""How simulated workers leave: what they say, and when they end, are apart."""

import asyncio
from random import Random
from typing import NamedTuple

ACK_SECONDS = 1.0
"""How long a worker waits for the acknowledgement of its `leave`."""


class Departure(NamedTuple):
    """How one worker leaves; durations are in seconds."""

    drain_seconds: float = 0.0
    """How long it reports that it drains before it sends `leave`."""
    reaches_agent: bool = True
    """Whether its `leave` reaches the agent."""
    ack_seconds: float | None = 0.0
    """How long the acknowledgement takes to the worker, which then ends; None: lost."""
    linger_seconds: float = 4.0
    """How long it goes on if it reads no acknowledgement."""
    agent_ends_after: float | None = None
    """How long after the `leave` its agent is killed; None: it is not."""
    agent_starts_after: float = 0.5
    """How long after that the agent starts again."""
    closes_connections: bool = True
    """Whether the agent sees its connections to the worker end."""
    vacant_seconds: float = 1.0
    """How long after its end the next worker begins."""


def draw(random: Random) -> Departure:
    """Return a random departure."""
    return Departure(
        drain_seconds=random.choice([0.0, 0.3, 1.0]),
        reaches_agent=random.random() < 0.9,
        ack_seconds=random.choice([0.0, 0.02, 0.3, 0.8, None, None]),
        linger_seconds=random.choice([0.5, 2.0, 4.0, 8.0]),
        agent_ends_after=random.choice([None, None, 0.0, 0.01, 0.2]),
        agent_starts_after=random.choice([0.05, 0.5, 2.0]),
        closes_connections=random.random() < 0.8,
        vacant_seconds=random.choice([0.01, 0.3, 2.0]),
    )


async def leave(world, node: str, how: Departure) -> None:
    """Let the worker of a node leave; the next one begins later."""
    worker = world.worker_by_node[node]
    boot = worker.boot
    if boot is None or boot.draining:
        return
    boot.draining = True
    worker.trace(f"drains, {how}")
    await asyncio.sleep(how.drain_seconds)
    acknowledged = False
    if worker.boot is boot and how.reaches_agent:
        acknowledged = await _send_leave(world, node, how)
    await asyncio.sleep(how.ack_seconds if acknowledged else how.linger_seconds)
    if worker.boot is boot:
        worker.leave(closes_connections=how.closes_connections)
        await asyncio.sleep(how.vacant_seconds)
        if worker.boot is None:
            worker.start()


async def _send_leave(world, node: str, how: Departure) -> bool:
    """Send the `leave` of a node's worker; return whether it reads the answer."""
    worker, agent = world.worker_by_node[node], world.agent(node)
    if not agent.alive:
        return False
    worker.trace("sends its leave")
    message = agent.hosting.leave(worker.instance, worker.born)
    answer = agent.create_task(message)
    if how.agent_ends_after is not None:
        world.loop.call_later(how.agent_ends_after, _restart, world, agent, how)
    await asyncio.wait([answer], timeout=ACK_SECONDS)
    answered = answer.done() and not answer.cancelled()
    return answered and how.ack_seconds is not None


def _restart(world, agent, how: Departure) -> None:
    if not agent.alive:
        return
    agent.kill()

    def start() -> None:
        if agent in world.agents:
            world.restart(agent)

    world.loop.call_later(how.agent_starts_after, start)
