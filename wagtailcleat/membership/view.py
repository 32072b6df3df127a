"""One node's view of the cluster members, as gossip reports them.

Gossip merges updates into it; routing, placement and shard ownership read it. It is
eventually consistent, so whatever needs a guarantee must not rest on it.

The view holds all members rather than a bounded sample of them: at the target size
it takes well under a megabyte. Lost members are remembered and probed, which heals a
partition as a random long-term memory would (docs/DESIGN.md compares the two).
"""

import math
import random
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from wagtailcleat.ids import NodeId, ServiceName, ShardId
from wagtailcleat.resources import Resources
from wagtailcleat.wire.handshake import Role
from wagtailcleat.wire.membership import Member, MemberState

BUCKET_COUNT = 64
CHECKSUM_MASK = 0xFFFFFFFF
MAX_UPDATES_PER_MESSAGE = 24
RETRANSMIT_MULTIPLIER = 1
"""An update is sent this many times for each doubling of the member count."""
GONE_STATES = (MemberState.LOST, MemberState.LEFT)
EXPIRING_STATES = (MemberState.SUSPECT, *GONE_STATES)
PRECEDENCE_BY_STATE = {
    MemberState.ALIVE: 0,
    MemberState.LEAVING: 0,
    MemberState.SUSPECT: 1,
    MemberState.LOST: 2,
    MemberState.LEFT: 3,
}


def supersedes(new: Member, old: Member) -> bool:
    """Return whether `new` replaces `old`, a record of the same node.

    The higher incarnation and version wins; between equals the state decides, since
    a suspicion carries the version that it refers to.
    """
    if (new.incarnation, new.version) != (old.incarnation, old.version):
        return (new.incarnation, new.version) > (old.incarnation, old.version)
    return PRECEDENCE_BY_STATE[new.state] > PRECEDENCE_BY_STATE[old.state]


@dataclass
class _Index:
    """Members by state, role, service and shard; rebuilt after each change of the view.

    Members are looked up at each request, exchange and claim round, but change only
    some hundred times a day. Walking over all of them at each look-up took a larger
    share of a core than a daemon may use.
    """

    live: list[Member] = field(default_factory=list)
    others: list[Member] = field(default_factory=list)
    agents: list[Member] = field(default_factory=list)
    agents_by_service: dict[ServiceName, list[Member]] = field(default_factory=dict)
    owner_by_shard: dict[ShardId, Member] = field(default_factory=dict)
    expiring: list[Member] = field(default_factory=list)
    """Members whose state changes with time: suspect, lost or left."""

    def add(self, member: Member, *, is_me: bool) -> None:
        """Add a member to every list and mapping that it belongs to."""
        if member.state in EXPIRING_STATES:
            self.expiring.append(member)
        if member.state in GONE_STATES:
            return
        self.live.append(member)
        if not is_me:
            self.others.append(member)
        if member.role is not Role.AGENT:
            return
        self.agents.append(member)
        for service in member.services:
            self.agents_by_service.setdefault(service, []).append(member)
        for shard in member.shards:
            known = self.owner_by_shard.get(shard)
            if known is None or member.version > known.version:
                self.owner_by_shard[shard] = member


class View:
    """All known members by node, and the updates that are still to be gossiped.

    A member is gone when its state is lost or left.
    """

    def __init__(self, me: Member, rng: random.Random) -> None:
        """Create a view that holds only `me`, the record of this node."""
        self.me = me
        self.member_by_node: dict[NodeId, Member] = {me.node: me}
        self._checksum_by_bucket = [0] * BUCKET_COUNT
        self._index: _Index | None = None
        self._add_to_checksums(me, 1)
        self.changed_at_by_node: dict[NodeId, float] = {}
        self.free_by_node: dict[NodeId, tuple[Resources, float]] = {}
        """Free resources that each node reported, and when."""
        self._transmissions_left_by_node: dict[NodeId, int] = {}
        self._random = rng

    def __repr__(self) -> str:
        """Show the node and how many members it knows."""
        return f"<View of {self.me.node}: {len(self.member_by_node)} members>"

    def live(self) -> list[Member]:
        """Return all members that are not gone, including this node."""
        return list(self._current_index().live)

    def others(self) -> list[Member]:
        """Return all members that are not gone, except this node."""
        return list(self._current_index().others)

    def agents(self) -> list[Member]:
        """Return all agents that are not gone."""
        return list(self._current_index().agents)

    def serving(self, service: ServiceName) -> list[Member]:
        """Return the agents whose endpoint serves `service`."""
        return list(self._current_index().agents_by_service.get(service, []))

    def owner(self, shard: ShardId) -> Member | None:
        """Return the member that reports owning `shard`.

        If several do, return the one with the highest version; if none, None.
        """
        return self._current_index().owner_by_shard.get(shard)

    def digest(self) -> int:
        """Return a checksum of the whole view; equal views have equal digests."""
        return sum(self._checksum_by_bucket) & CHECKSUM_MASK

    def bucket_checksums(self) -> list[int]:
        """Return the checksum of each bucket over its members that are not gone."""
        return list(self._checksum_by_bucket)

    def differing_buckets(self, checksums: list[int]) -> list[int]:
        """Return the buckets whose checksums differ from `checksums`."""
        return [
            i
            for i, (a, b) in enumerate(
                zip(self._checksum_by_bucket, checksums, strict=False)
            )
            if a != b
        ]

    def members_in_buckets(self, buckets: Iterable[int]) -> list[Member]:
        """Return all members of `buckets`, including those that are gone."""
        wanted = set(buckets)
        return [m for n, m in self.member_by_node.items() if _bucket(n) in wanted]

    def merge(self, member: Member, now: float) -> bool:
        """Merge a received record; return whether it changed the view."""
        if member.node == self.me.node:
            return self._refute(member, now)
        known = self.member_by_node.get(member.node)
        if known is not None and not supersedes(member, known):
            return False
        if known is None and member.state in GONE_STATES:
            return False
        self._put(member, now)
        return True

    def merge_all(self, members: Iterable[Member], now: float) -> list[Member]:
        """Merge received records; return those that changed the view."""
        return [member for member in members if self.merge(member, now)]

    def change_me(self, now: float, **changes: object) -> None:
        """Change this node's record, and queue the change for gossip."""
        self.me = msgspec.structs.replace(
            self.me, version=self.me.version + 1, **changes
        )
        self._put(self.me, now)

    def suspect(self, node: NodeId, now: float) -> None:
        """Mark a member that did not answer as suspect."""
        self._change_state(
            node, (MemberState.ALIVE, MemberState.LEAVING), MemberState.SUSPECT, now
        )

    def expire(
        self, now: float, *, suspicion: float, forget_lost: float
    ) -> list[Member]:
        """Declare members lost that stayed suspect; forget members that stayed gone.

        Parameters: `suspicion` and `forget_lost` are the seconds after which each
        happens. Returns the members declared lost.
        """
        lost = []
        for member in self._current_index().expiring:
            node = member.node
            age = now - self.changed_at_by_node.get(node, now)
            if member.state is MemberState.SUSPECT and age > suspicion:
                self._change_state(node, (MemberState.SUSPECT,), MemberState.LOST, now)
                lost.append(self.member_by_node[node])
            elif member.state in GONE_STATES and age > forget_lost:
                del self.member_by_node[node]
                self.changed_at_by_node.pop(node, None)
                self._index = None
        return lost

    def record_free(self, node: NodeId, free: Resources, now: float) -> None:
        """Record the free resources that a node reported at `now`."""
        self.free_by_node[node] = (free, now)

    def take_updates(self) -> list[Member]:
        """Return the updates to send next, and count each as sent once more.

        Updates with the most transmissions left come first. An update leaves the
        queue with its last transmission.
        """
        nodes = sorted(
            self._transmissions_left_by_node, key=self._transmissions_left, reverse=True
        )
        sent = nodes[:MAX_UPDATES_PER_MESSAGE]
        for node in sent:
            self._transmissions_left_by_node[node] -= 1
            if self._transmissions_left_by_node[node] <= 0:
                del self._transmissions_left_by_node[node]
        return [self.member_by_node[n] for n in sent if n in self.member_by_node]

    def has_pending_updates(self) -> bool:
        """Return whether updates are still to be sent."""
        return bool(self._transmissions_left_by_node)

    def pick(self, count: int) -> list[Member]:
        """Return up to `count` random members that are not gone, except this node."""
        others = self._current_index().others
        return self._random.sample(others, min(count, len(others)))

    def pick_lost(self) -> Member | None:
        """Return a random lost member, to probe whether a partition has healed."""
        lost = [m for m in self.member_by_node.values() if m.state is MemberState.LOST]
        return self._random.choice(lost) if lost else None

    def _transmissions_left(self, node: NodeId) -> int:
        return self._transmissions_left_by_node[node]

    def _current_index(self) -> _Index:
        if self._index is None:
            self._index = _Index()
            for member in self.member_by_node.values():
                self._index.add(member, is_me=member.node == self.me.node)
        return self._index

    def _add_to_checksums(self, member: Member, sign: int) -> None:
        if member.state not in GONE_STATES:
            bucket = _bucket(member.node)
            checksum = self._checksum_by_bucket[bucket] + sign * _fingerprint(member)
            self._checksum_by_bucket[bucket] = checksum & CHECKSUM_MASK

    def _put(self, member: Member, now: float) -> None:
        earlier = self.member_by_node.get(member.node)
        if earlier is not None:
            self._add_to_checksums(earlier, -1)
        self._add_to_checksums(member, 1)
        self._index = None
        self.member_by_node[member.node] = member
        self.changed_at_by_node[member.node] = now
        doublings = math.ceil(math.log2(len(self.member_by_node) + 1))
        self._transmissions_left_by_node[member.node] = (
            RETRANSMIT_MULTIPLIER * doublings
        )
        if member.state in GONE_STATES:
            self.free_by_node.pop(member.node, None)

    def _change_state(
        self,
        node: NodeId,
        from_states: tuple[MemberState, ...],
        to_state: MemberState,
        now: float,
    ) -> None:
        member = self.member_by_node.get(node)
        if member is not None and member.state in from_states:
            self._put(msgspec.structs.replace(member, state=to_state), now)

    def _refute(self, member: Member, now: float) -> bool:
        # Others may suspect this node, or remember an earlier process of its name. A
        # record of another incarnation is of another process; one of this incarnation
        # is refuted by raising the version above it, so that the present record wins.
        if member.incarnation != self.me.incarnation:
            return False
        if not supersedes(member, self.me):
            return False
        self.me = msgspec.structs.replace(self.me, version=member.version)
        self.change_me(now)
        return True


def _bucket(node: NodeId) -> int:
    return zlib.crc32(node.encode()) % BUCKET_COUNT


def _fingerprint(member: Member) -> int:
    text = f"{member.node}|{member.incarnation}|{member.version}|{member.state.value}"
    return zlib.crc32(text.encode())
