"""What a node knows of the others; a hint, never the ground of a promise.

Full membership is kept rather than a bounded view: at the target size it takes
well under a megabyte, and lost members that are remembered and probed heal a
partition as a random long-term memory would (docs/DESIGN.md weighs the two).
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

BUCKETS = 64
SUM_MASK = 0xFFFFFFFF
MAX_RUMOURS_A_MESSAGE = 24
SENDS_PER_DOUBLING = 1
GONE = (MemberState.LOST, MemberState.LEFT)
AGING = (MemberState.SUSPECT, *GONE)
STRENGTH_BY_STATE = {
    MemberState.ALIVE: 0,
    MemberState.LEAVING: 0,
    MemberState.SUSPECT: 1,
    MemberState.LOST: 2,
    MemberState.LEFT: 3,
}


def supersedes(new: Member, old: Member) -> bool:
    """Tell whether `new` is later news of the same node than `old`."""
    if (new.incarnation, new.version) != (old.incarnation, old.version):
        return (new.incarnation, new.version) > (old.incarnation, old.version)
    return STRENGTH_BY_STATE[new.state] > STRENGTH_BY_STATE[old.state]


@dataclass
class _Index:
    """Members by what they are asked for; made anew after a change.

    Members are asked for at each request, exchange and round of claims, and change
    some hundred times a day: a walk over all of them each time took more of a core
    than a daemon may use.
    """

    live: list[Member] = field(default_factory=list)
    others: list[Member] = field(default_factory=list)
    agents: list[Member] = field(default_factory=list)
    agents_by_service: dict[ServiceName, list[Member]] = field(default_factory=dict)
    owner_by_shard: dict[ShardId, Member] = field(default_factory=dict)
    aging: list[Member] = field(default_factory=list)
    """Those whose state changes with time: suspect, lost or left."""

    def add(self, member: Member, *, is_me: bool) -> None:
        """Add a member."""
        if member.state in AGING:
            self.aging.append(member)
        if member.state in GONE:
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
    """All members by node, with what changed lately for others to hear."""

    def __init__(self, me: Member, rng: random.Random) -> None:
        """Know only oneself."""
        self.me = me
        self.member_by_node: dict[NodeId, Member] = {me.node: me}
        self._sums = [0] * BUCKETS
        self._index: _Index | None = None
        self._add_to_sums(me, 1)
        self.changed_at_by_node: dict[NodeId, float] = {}
        self.free_by_node: dict[NodeId, tuple[Resources, float]] = {}
        self._sends_left_by_node: dict[NodeId, int] = {}
        self._random = rng

    def __repr__(self) -> str:
        """Show the node and how many members it knows."""
        return f"<View of {self.me.node}: {len(self.member_by_node)} members>"

    # ---- reading

    def live(self) -> list[Member]:
        """Return all members that are not gone, oneself among them."""
        return list(self._indexed().live)

    def others(self) -> list[Member]:
        """Return all members that are not gone, without oneself."""
        return list(self._indexed().others)

    def agents(self) -> list[Member]:
        """Return all agents that are not gone."""
        return list(self._indexed().agents)

    def serving(self, service: ServiceName) -> list[Member]:
        """Return the agents whose endpoint serves `service`."""
        return list(self._indexed().agents_by_service.get(service, []))

    def owner(self, shard: ShardId) -> Member | None:
        """Return the member that says it owns `shard`; the newest, if two do."""
        return self._indexed().owner_by_shard.get(shard)

    def digest(self) -> int:
        """Return one number that is equal where two views are."""
        return sum(self._sums) & SUM_MASK

    def sums(self) -> list[int]:
        """Return a sum for each bucket of members that are not gone."""
        return list(self._sums)

    def differing(self, sums: list[int]) -> list[int]:
        """Return the buckets whose sums differ from `sums`."""
        return [
            i for i, (a, b) in enumerate(zip(self._sums, sums, strict=False)) if a != b
        ]

    def in_buckets(self, buckets: Iterable[int]) -> list[Member]:
        """Return all members of the buckets, gone ones too."""
        wanted = set(buckets)
        return [m for n, m in self.member_by_node.items() if _bucket(n) in wanted]

    # ---- changing

    def merge(self, member: Member, now: float) -> bool:
        """Take news of a member; tell whether it was news."""
        if member.node == self.me.node:
            return self._refute(member, now)
        known = self.member_by_node.get(member.node)
        if known is not None and not supersedes(member, known):
            return False
        if known is None and member.state in GONE:
            return False
        self._put(member, now)
        return True

    def merge_all(self, members: Iterable[Member], now: float) -> list[Member]:
        """Take news of many members; return those that were news."""
        return [member for member in members if self.merge(member, now)]

    def change_me(self, now: float, **changes: object) -> None:
        """Change one's own record, and let it be heard."""
        self.me = msgspec.structs.replace(
            self.me, version=self.me.version + 1, **changes
        )
        self._put(self.me, now)

    def suspect(self, node: NodeId, now: float) -> None:
        """Note that a member did not answer."""
        self._weaken(
            node, (MemberState.ALIVE, MemberState.LEAVING), MemberState.SUSPECT, now
        )

    def expire(
        self, now: float, *, suspicion: float, forget_lost: float
    ) -> list[Member]:
        """Declare long-suspected members lost, forget long-gone ones.

        Parameters: `suspicion` and `forget_lost` in seconds. Returns the lost.
        """
        lost = []
        for member in self._indexed().aging:
            node = member.node
            age = now - self.changed_at_by_node.get(node, now)
            if member.state is MemberState.SUSPECT and age > suspicion:
                self._weaken(node, (MemberState.SUSPECT,), MemberState.LOST, now)
                lost.append(self.member_by_node[node])
            elif member.state in GONE and age > forget_lost:
                del self.member_by_node[node]
                self.changed_at_by_node.pop(node, None)
                self._index = None
        return lost

    def note_free(self, node: NodeId, free: Resources, now: float) -> None:
        """Note what a member said it has free."""
        self.free_by_node[node] = (free, now)

    # ---- spreading

    def rumours(self) -> list[Member]:
        """Return the latest news, and count it as told once more."""
        nodes = sorted(self._sends_left_by_node, key=self._sends_left, reverse=True)
        told = nodes[:MAX_RUMOURS_A_MESSAGE]
        for node in told:
            self._sends_left_by_node[node] -= 1
            if self._sends_left_by_node[node] <= 0:
                del self._sends_left_by_node[node]
        return [self.member_by_node[n] for n in told if n in self.member_by_node]

    def has_rumours(self) -> bool:
        """Tell whether news is left to tell."""
        return bool(self._sends_left_by_node)

    def pick(self, count: int) -> list[Member]:
        """Return up to `count` random members that are not gone."""
        others = self._indexed().others
        return self._random.sample(others, min(count, len(others)))

    def pick_lost(self) -> Member | None:
        """Return a random lost member, to see whether a partition has healed."""
        lost = [m for m in self.member_by_node.values() if m.state is MemberState.LOST]
        return self._random.choice(lost) if lost else None

    def _sends_left(self, node: NodeId) -> int:
        return self._sends_left_by_node[node]

    def _indexed(self) -> _Index:
        if self._index is None:
            self._index = _Index()
            for member in self.member_by_node.values():
                self._index.add(member, is_me=member.node == self.me.node)
        return self._index

    def _add_to_sums(self, member: Member, sign: int) -> None:
        if member.state not in GONE:
            index = _bucket(member.node)
            added = self._sums[index] + sign * _fingerprint(member)
            self._sums[index] = added & SUM_MASK

    def _put(self, member: Member, now: float) -> None:
        earlier = self.member_by_node.get(member.node)
        if earlier is not None:
            self._add_to_sums(earlier, -1)
        self._add_to_sums(member, 1)
        self._index = None
        self.member_by_node[member.node] = member
        self.changed_at_by_node[member.node] = now
        doublings = math.ceil(math.log2(len(self.member_by_node) + 1))
        self._sends_left_by_node[member.node] = SENDS_PER_DOUBLING * doublings
        if member.state in GONE:
            self.free_by_node.pop(member.node, None)

    def _weaken(
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
        # Others suspect this node, or remember an earlier process of its name;
        # raising the version above theirs makes the present record win.
        if member.incarnation != self.me.incarnation:
            return False
        if not supersedes(member, self.me):
            return False
        self.me = msgspec.structs.replace(self.me, version=member.version)
        self.change_me(now)
        return True


def _bucket(node: NodeId) -> int:
    return zlib.crc32(node.encode()) % BUCKETS


def _fingerprint(member: Member) -> int:
    text = f"{member.node}|{member.incarnation}|{member.version}|{member.state.value}"
    return zlib.crc32(text.encode())
