"""Simulates a gossip mesh: many nodes in one process, connected without sockets.

The gossip is the product's own. Every message is encoded and its bytes counted, as on
a stream; a stream that was not used for the idle time is opened again, and the bytes
of its handshake are counted. Calls can be lost, nodes can fail, and the mesh can be
partitioned.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from wagtailcleat.configuration.parts import InForce
from wagtailcleat.ids import Incarnation, NodeId, VmName, ZoneName
from wagtailcleat.membership.gossip import Gossiper
from wagtailcleat.membership.view import View
from wagtailcleat.settings import Timing
from wagtailcleat.wire.frames import Frame, FrameKind, encode
from wagtailcleat.wire.handshake import PROTOCOL_VERSION, Hello, Proof, Role
from wagtailcleat.wire.membership import Member, MemberState
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.peers import NONCE_BYTES

HOST = "127.0.0.1"
FIRST_PORT = 10_000
INCARNATION = Incarnation(1_800_000_000_000)
ONE_WAY_SECONDS = 0.005
HANDSHAKE_TRIPS = 3
MAC_BYTES = 32
SERVICES = ("booking-core",)
STEP_SECONDS = 0.02
TIMEOUT_SECONDS = 120.0


def member(number: int, zones: int = 5) -> Member:
    """Return the member record of node `number`, of the encoded size of a real one."""
    return Member(
        NodeId(f"agent-vm-{number:04}"),
        Role.AGENT,
        HOST,
        FIRST_PORT + number,
        ZoneName(f"zilina-{'abcde'[number % zones]}"),
        VmName(f"vm-{number:04}"),
        INCARNATION,
        3,
        MemberState.ALIVE,
        list(SERVICES),  # type: ignore[arg-type]
        [],
        30_000,
    )


def handshake_bytes() -> int:
    """Return the bytes that each end sends in the handshake of a stream."""
    hello = Hello(
        PROTOCOL_VERSION,
        member(0).node,
        Role.AGENT,
        INCARNATION,
        bytes(NONCE_BYTES),
    )
    proof = Proof(bytes(MAC_BYTES))
    return sum(len(encode(Frame(FrameKind.CALL, 0, m))) for m in (hello, proof))


class MeshNode:
    """One node with the product's own view, configuration and gossip."""

    def __init__(self, mesh: "Mesh", me: Member, seeds: list[tuple[str, int]]) -> None:
        """Create a node that knows only itself and its seeds' addresses."""
        rng = random.Random(f"{mesh.seed}/{me.node}")
        self.mesh = mesh
        self.port = me.port
        self.bytes_out = 0
        self.bytes_in = 0
        self.alive = True
        self.view = View(me, rng)
        self.in_force = InForce()
        self.gossiper = Gossiper(
            self.view,
            self.in_force,
            self,  # type: ignore[arg-type]
            clock=mesh.clock,
            timing=mesh.timing,
            seeds=seeds,
            rng=rng,
        )
        self.handler_by_type = self.gossiper.handlers()

    async def call(
        self, host: str, port: int, message: AnyMessage, *, timeout: float
    ) -> AnyMessage | Lost:
        """Call the node at `port`."""
        return await self.mesh.call(self, port, message, timeout)


class Mesh:
    """The nodes, and the simulated network that connects them."""

    def __init__(
        self, clock: Callable[[], float], *, seed: int, timing: Timing | None = None
    ) -> None:
        """Create a mesh without nodes and faults."""
        self.clock = clock
        self.seed = seed
        self.timing = timing or Timing()
        self.loss = 0.0
        self.partition_by_port: dict[int, int] = {}
        self.node_by_port: dict[int, MeshNode] = {}
        self.calls = 0
        self._last_used_at_by_pair: dict[tuple[int, int], float] = {}
        self._random = random.Random(f"{seed}/mesh")
        self._handshake_bytes = handshake_bytes()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def nodes(self) -> list[MeshNode]:
        """Return all nodes that are alive."""
        return [node for node in self.node_by_port.values() if node.alive]

    def add_nodes(self, count: int, *, seeds: int) -> None:
        """Add `count` nodes that know each other; the first `seeds` are the seeds."""
        members = [member(number) for number in range(count)]
        addresses = [(m.host, m.port) for m in members[:seeds]]
        for me in members:
            node_seeds = [self._random.choice(addresses)] if addresses else []
            node = MeshNode(self, me, node_seeds)
            for other in members:
                if other is not me:
                    node.view.merge(other, self.clock())
            node.view._transmissions_left_by_node.clear()
            self.node_by_port[me.port] = node

    async def start(self) -> None:
        """Start the gossip rounds of each node at a random time within one interval."""
        for node in self.nodes:
            self._tasks.append(asyncio.create_task(self._run(node)))
        await asyncio.sleep(2 * self.timing.gossip)

    def kill(self, node: MeshNode) -> None:
        """Stop a node for good: it no longer answers or sends."""
        node.alive = False

    def bytes(self) -> int:
        """Return all bytes sent so far, with those of handshakes."""
        return sum(node.bytes_out for node in self.node_by_port.values())

    async def call(
        self, source: MeshNode, port: int, message: Any, timeout: float
    ) -> AnyMessage | Lost:
        """Deliver a call to the node at `port` and return its answer, or the loss."""
        self.calls += 1
        target = self.node_by_port.get(port)
        if target is None or not source.alive or not self._reaches(source, target):
            await asyncio.sleep(self.timing.connect)
            return Lost(False, "no stream")
        await self._open(source, target)
        lost = self._random.random() < self.loss
        answer_lost = lost and self._random.random() < 0.5  # noqa: PLR2004
        self._send(source, target, Frame(FrameKind.CALL, self.calls, message))
        if lost and not answer_lost:
            await asyncio.sleep(timeout)
            return Lost(True, "no answer in time")
        await asyncio.sleep(ONE_WAY_SECONDS)
        answer = await target.handler_by_type[type(message)](message)
        self._send(target, source, Frame(FrameKind.REPLY, self.calls, answer))
        if answer_lost:
            await asyncio.sleep(timeout)
            return Lost(True, "no answer in time")
        await asyncio.sleep(ONE_WAY_SECONDS)
        return answer

    async def _run(self, node: MeshNode) -> None:
        await asyncio.sleep(self._random.random() * self.timing.gossip)
        while node.alive:
            await node.gossiper.run_round()
            pause = self.timing.gossip * self._random.uniform(0.7, 1.3)
            await asyncio.sleep(pause)

    async def _open(self, source: MeshNode, target: MeshNode) -> None:
        pair = (source.port, target.port)
        last_used_at = self._last_used_at_by_pair.get(pair)
        now = self.clock()
        self._last_used_at_by_pair[pair] = now
        if last_used_at is not None and now - last_used_at < self.timing.idle_close:
            return
        for node in (source, target):
            node.bytes_out += self._handshake_bytes
            node.bytes_in += self._handshake_bytes
        await asyncio.sleep(HANDSHAKE_TRIPS * ONE_WAY_SECONDS)

    def _reaches(self, source: MeshNode, target: MeshNode) -> bool:
        partitions = self.partition_by_port
        is_same = partitions.get(source.port, 0) == partitions.get(target.port, 0)
        return target.alive and is_same

    def _send(self, source: MeshNode, target: MeshNode, frame: Frame) -> None:
        size = len(encode(frame))
        source.bytes_out += size
        target.bytes_in += size


async def wait_until(mesh: Mesh, condition: Callable[[], bool]) -> float:
    """Wait until `condition` holds; return the seconds waited.

    Give up after `TIMEOUT_SECONDS`, and return that.
    """
    began = mesh.clock()
    for _ in range(round(TIMEOUT_SECONDS / STEP_SECONDS)):
        if condition():
            break
        await asyncio.sleep(STEP_SECONDS)
    return mesh.clock() - began
