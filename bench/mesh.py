"""Many gossiping nodes in one process: the real gossip, on calls without sockets.

Every message is encoded and its bytes counted, as on a stream; a stream that was not
used for the idle time is opened anew, and its hello counted. Calls can be lost,
nodes can be dead, and the mesh can be cut in two.
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
HELLO_TRIPS = 3
MAC_BYTES = 32
SERVICES = ("booking-core",)
STEP_SECONDS = 0.02
PATIENCE_SECONDS = 120.0


def member(number: int, zones: int = 5) -> Member:
    """Return the record of node `number`, as long as a real one."""
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


def hello_bytes() -> int:
    """Return the bytes that one end sends to open a stream."""
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
    """One node: the real view, configuration and gossip."""

    def __init__(self, mesh: "Mesh", me: Member, seeds: list[tuple[str, int]]) -> None:
        """Make a node that knows only itself."""
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
    """Nodes that know each other, and what lies between them."""

    def __init__(
        self, clock: Callable[[], float], *, seed: int, timing: Timing | None = None
    ) -> None:
        """Start without nodes and faults."""
        self.clock = clock
        self.seed = seed
        self.timing = timing or Timing()
        self.loss = 0.0
        self.side_by_port: dict[int, int] = {}
        self.node_by_port: dict[int, MeshNode] = {}
        self.calls = 0
        self._used_at_by_pair: dict[tuple[int, int], float] = {}
        self._random = random.Random(f"{seed}/mesh")
        self._hello = hello_bytes()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def nodes(self) -> list[MeshNode]:
        """Return all nodes that are alive."""
        return [node for node in self.node_by_port.values() if node.alive]

    def fill(self, count: int, *, seeds: int) -> None:
        """Make `count` nodes that all know each other; the first are the seeds."""
        members = [member(number) for number in range(count)]
        known = [(m.host, m.port) for m in members[:seeds]]
        for me in members:
            given = [self._random.choice(known)] if known else []
            node = MeshNode(self, me, given)
            for other in members:
                if other is not me:
                    node.view.merge(other, self.clock())
            node.view._transmissions_left_by_node.clear()
            self.node_by_port[me.port] = node

    async def start(self) -> None:
        """Start each node's rounds, spread over one round."""
        for node in self.nodes:
            self._tasks.append(asyncio.create_task(self._run(node)))
        await asyncio.sleep(2 * self.timing.gossip)

    def kill(self, node: MeshNode) -> None:
        """Let a node fail: it answers and sends nothing any more."""
        node.alive = False

    def bytes(self) -> int:
        """Return all bytes sent so far, hellos too."""
        return sum(node.bytes_out for node in self.node_by_port.values())

    async def call(
        self, source: MeshNode, port: int, message: Any, timeout: float
    ) -> AnyMessage | Lost:
        """Carry a call there and its answer back."""
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
        used_at = self._used_at_by_pair.get(pair)
        now = self.clock()
        self._used_at_by_pair[pair] = now
        if used_at is not None and now - used_at < self.timing.idle_close:
            return
        for node in (source, target):
            node.bytes_out += self._hello
            node.bytes_in += self._hello
        await asyncio.sleep(HELLO_TRIPS * ONE_WAY_SECONDS)

    def _reaches(self, source: MeshNode, target: MeshNode) -> bool:
        sides = self.side_by_port
        same = sides.get(source.port, 0) == sides.get(target.port, 0)
        return target.alive and same

    def _send(self, source: MeshNode, target: MeshNode, frame: Frame) -> None:
        size = len(encode(frame))
        source.bytes_out += size
        target.bytes_in += size


async def until(mesh: Mesh, condition: Callable[[], bool]) -> float:
    """Wait until `condition` holds; return the seconds, or the patience."""
    began = mesh.clock()
    for _ in range(round(PATIENCE_SECONDS / STEP_SECONDS)):
        if condition():
            break
        await asyncio.sleep(STEP_SECONDS)
    return mesh.clock() - began
