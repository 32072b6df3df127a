"""Nodes of one deployment in one process on virtual time, with network partitions.

Tests of membership and configuration use it.
"""

import asyncio
import random
from typing import Any

from standins.in_process_store import InProcessStore
from standins.keyspace import Keyspace
from standins.virtual_time import VirtualLoop
from wagtailcleat.configuration.follow import Follower
from wagtailcleat.configuration.models import Configuration
from wagtailcleat.node import Node, make_node
from wagtailcleat.settings import AgentSettings, EntrySettings
from wagtailcleat.wire.handshake import Role
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.streams import Stream

SECRET = "a secret of the tests only"
TOKEN = "an admin token of the tests only"
STORE_URL = "http://127.0.0.1:1"
WALL_START = 1_800_000_000.0


class Deployment:
    """Nodes that gossip; those named `entry…` also follow the configuration store."""

    def __init__(self) -> None:
        """Start with an empty store and no node."""
        self.loop = VirtualLoop()
        self.keyspace = Keyspace()
        self.keyspace.on_commit = lambda events, cause: self._on_commit()
        self.node_by_name: dict[str, Node] = {}
        self.store_by_name: dict[str, InProcessStore] = {}
        self.configurations_by_start: dict[str, list[Configuration]] = {}
        self.cuts: set[frozenset[str]] = set()
        self.store_down = False
        self.paused_seconds_by_name: dict[str, float] = {}
        self._side_by_name: dict[str, int] = {}
        self._starts = 0

    def start(self, name: str, seeds: list[str]) -> Node:
        """Start a node that knows the addresses of the nodes named in `seeds`."""
        self._starts += 1
        return self.loop.run(self._start(name, seeds))

    async def _start(self, name: str, seeds: list[str]) -> Node:
        is_entry = name.startswith("entry")
        known = [self.node_by_name[s].view.me for s in seeds if s in self.node_by_name]
        common: dict[str, Any] = {
            "node": name,
            "zone": "zilina-a",
            "secret": SECRET,
            "store": [STORE_URL],
            "seeds": [f"{m.host}:{m.port}" for m in known],
        }
        settings: AgentSettings | EntrySettings
        if is_entry:
            settings = EntrySettings(admin_token=TOKEN, **common)
        else:
            settings = AgentSettings(vm=f"vm-{name}", worker=STORE_URL, **common)
        loop = self.loop
        starts = self._starts
        node = make_node(
            settings,
            Role.ENTRY if is_entry else Role.AGENT,
            vm="" if is_entry else f"vm-{name}",
            clock=lambda: loop.time() + self.paused_seconds_by_name.get(name, 0.0),
            wall_clock=lambda: WALL_START + starts + loop.time(),
        )
        self._install_partition(name, node)
        self._record_configurations(name, node)
        if is_entry:
            self._follow(name, node)
        node.start()
        self.node_by_name[name] = node
        return node

    def stop(self, name: str) -> None:
        """Kill a node: close its sockets without announcing that it leaves."""
        node = self.node_by_name.pop(name)
        self.loop.run(self._kill(node))

    async def _kill(self, node: Node) -> None:
        await node.supervisor.stop()
        node.listener.stop()
        node.peers.close()
        for stream in list(node.listener.streams):
            stream.close("killed")

    def pause(self, name: str, seconds: float) -> None:
        """Advance a node's clock as if the node had been paused for `seconds`."""
        self.paused_seconds_by_name[name] = (
            self.paused_seconds_by_name.get(name, 0.0) + seconds
        )

    def partition(self, side: set[str]) -> None:
        """Partition the network between the nodes in `side` and the rest."""
        for name in self.node_by_name:
            self._side_by_name[name] = 1 if name in side else 0
        for name, node in self.node_by_name.items():
            for stream in [*node.peers.streams, *node.listener.streams]:
                if not self._is_reachable(name, str(stream.peer)):
                    stream.close("cut")

    def heal(self) -> None:
        """End the partition."""
        self._side_by_name.clear()

    def pass_time(self, seconds: float) -> None:
        """Advance virtual time by `seconds`."""
        self.loop.pass_time(seconds)

    def close(self) -> None:
        """Kill all nodes and close the event loop."""
        for name in list(self.node_by_name):
            self.stop(name)
        self.loop.end()

    def _on_commit(self) -> None:
        for store in self.store_by_name.values():
            store.changed.set()

    def _is_reachable(self, one: str, other: str) -> bool:
        sides = self._side_by_name
        return sides.get(one, 0) == sides.get(other, 0)

    def _install_partition(self, name: str, node: Node) -> None:
        open_stream = node.peers.stream

        async def stream(host: str, port: int) -> Stream | Lost:
            other = self._name_at_port(port)
            if other is not None and not self._is_reachable(name, other):
                await asyncio.sleep(1.0)
                return Lost(False, "cut")
            return await open_stream(host, port)

        node.peers.stream = stream  # type: ignore[method-assign]

    def _name_at_port(self, port: int) -> str | None:
        found = (
            n for n, node in self.node_by_name.items() if node.view.me.port == port
        )
        return next(found, None)

    def _record_configurations(self, name: str, node: Node) -> None:
        seen = self.configurations_by_start.setdefault(f"{name}/{self._starts}", [])
        node.gossiper.on_configuration(lambda: seen.append(node.in_force.configuration))

    def _follow(self, name: str, node: Node) -> None:
        store = InProcessStore(self.keyspace)
        store.down = self.store_down
        self.store_by_name[name] = store
        follower = Follower(
            store,  # type: ignore[arg-type]
            node.in_force,
            node.gossiper,
            clock=node.clock,
            rng=random.Random(name),
        )
        node.supervisor.spawn("configuration", follower.run)
