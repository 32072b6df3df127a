"""The components that entries and agents share: gossip, streams, store and dump."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from wagtailcleat.clock import Clock, boot_time, wall_time
from wagtailcleat.configuration.parts import InForce
from wagtailcleat.ids import NodeId, VmName, ZoneName
from wagtailcleat.introspection import Introspection
from wagtailcleat.membership.gossip import Gossiper, parse_seeds
from wagtailcleat.membership.identity import refuse_taken_name
from wagtailcleat.membership.pause_detector import PauseDetector
from wagtailcleat.membership.view import View
from wagtailcleat.platform.store import Store
from wagtailcleat.process import (
    Dispatch,
    bind,
    bound_port,
    make_incarnation,
    stream_timing,
)
from wagtailcleat.resources import NOTHING, Resources
from wagtailcleat.settings import AgentSettings, EntrySettings
from wagtailcleat.supervise import Supervisor
from wagtailcleat.wire.handshake import Role
from wagtailcleat.wire.membership import Member, MemberState
from wagtailcleat.wire.peers import Identity, Listener, Peers

LEAVE_TIMEOUT_SECONDS = 2.0


@dataclass
class Node:
    """The components that entries and agents share; `start` runs those of gossip."""

    clock: Clock
    supervisor: Supervisor
    introspection: Introspection
    dispatch: Dispatch
    listener: Listener
    peers: Peers
    view: View
    in_force: InForce
    gossiper: Gossiper
    seeds: list[tuple[str, int]]
    pause_detector: PauseDetector
    store: Store

    async def refuse_taken_name(self) -> None:
        """Check that no other running process has this node's name.

        Raises:
            IdentityError: another process has it.

        """
        await refuse_taken_name(self.view, self.peers, self.seeds)

    def start(self) -> None:
        """Start gossip and the freshness check under the supervisor."""
        self.supervisor.spawn("gossip", self.gossiper.run)
        self.supervisor.spawn("freshness", self.pause_detector.run)

    def is_view_fresh(self) -> bool:
        """Return whether the view may be used: refreshed since the last pause."""
        return self.pause_detector.is_view_fresh(self.clock())

    async def wait_for_fresh_view(self) -> None:
        """Wait until the view may be used, or for a fraction of a second."""
        await self.pause_detector.wait_for_fresh_view()

    def rng(self, purpose: str) -> random.Random:
        """Return a random generator for one purpose, seeded by incarnation too."""
        return _rng(self.view.me, purpose)

    async def change_me(self, **changes: object) -> None:
        """Change this node's own member record and announce it at once."""
        self.view.change_me(self.clock(), **changes)
        await self.gossiper.push_updates()

    async def leave(self) -> None:
        """Announce that this node leaves, stop its tasks and close all streams."""
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_SECONDS):
                await self.change_me(state=MemberState.LEFT)
        except TimeoutError:
            pass
        await self.supervisor.stop()
        self.listener.stop()
        self.peers.close()
        for stream in list(self.listener.streams):
            stream.close("this process ends")
        self.store.close()


def make_node(
    settings: AgentSettings | EntrySettings,
    role: Role,
    *,
    vm: str = "",
    http_port: int = 0,
    free: Callable[[], Resources] = lambda: NOTHING,
    clock: Clock = boot_time,
    wall_clock: Clock = wall_time,
) -> Node:
    """Build the components that entries and agents share, and bind the peer port."""
    node = NodeId(settings.node)
    identity = Identity(node, role, make_incarnation(wall_clock()), settings.secret)
    introspection = Introspection()
    dispatch = Dispatch(introspection)
    timing = stream_timing(settings.timing)
    listener = Listener(identity, dispatch, timing)
    sockets = bind(settings.host, settings.peer_port)
    listener.add_sockets(sockets)  # type: ignore[arg-type]
    me = Member(
        node,
        role,
        settings.host,
        settings.advertised_port or bound_port(sockets),
        ZoneName(settings.zone),
        VmName(vm),
        identity.incarnation,
        1,
        MemberState.ALIVE,
        [],
        [],
        http_port,
    )
    peers = Peers(identity, dispatch, timing)
    view = View(me, _rng(me, "view"))
    in_force = InForce()
    seeds = parse_seeds(settings.seeds)
    gossiper = Gossiper(
        view,
        in_force,
        peers,
        clock=clock,
        timing=settings.timing,
        seeds=seeds,
        rng=_rng(me, "gossip"),
        free=free,
    )
    dispatch.add_plain(gossiper.handlers())
    store = Store(
        settings.store,
        clock=clock,
        call_seconds=settings.timing.store_call,
        seed=settings.node,
    )
    made = Node(
        clock,
        Supervisor(settings.node),
        introspection,
        dispatch,
        listener,
        peers,
        view,
        in_force,
        gossiper,
        seeds,
        PauseDetector(clock, gossiper.refresh),
        store,
    )
    _add_sections(made)
    return made


def _rng(me: Member, purpose: str) -> random.Random:
    return random.Random(f"{me.node}/{me.incarnation}/{purpose}")


def _add_sections(node: Node) -> None:
    add = node.introspection.add
    add("node", lambda: node.view.me.node)
    add("role", lambda: node.view.me.role.value)
    add("zone", lambda: node.view.me.zone)
    add("incarnation", lambda: node.view.me.incarnation)
    add("state", lambda: node.view.me.state.value)
    add("revision", lambda: node.in_force.revision)
    add("zones_out", lambda: node.in_force.configuration.zones_out)
    add("members", lambda: _members(node.view))
    add("streams", lambda: _streams(node))
    add("store", node.store.dump)
    add("pauses", lambda: node.pause_detector.pauses)
    add("supervisor", node.supervisor.dump)


def _members(view: View) -> dict[str, object]:
    count_by_state: dict[str, object] = {}
    for state in MemberState:
        members = view.member_by_node.values()
        count_by_state[state.value] = sum(1 for m in members if m.state is state)
    return count_by_state


def _streams(node: Node) -> dict[str, object]:
    streams = [*node.peers.streams, *node.listener.streams]
    return {
        "opened": len(node.peers.streams),
        "accepted": len(node.listener.streams),
        "bytes_in": sum(stream.bytes_in for stream in streams),
        "bytes_out": sum(stream.bytes_out for stream in streams),
        "bytes_of_closed": node.peers.closed_bytes + node.listener.closed_bytes,
    }
