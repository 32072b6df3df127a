"""Which shards this agent owns: claimed in the store, under a store lease.

A claim raises the shard's epoch in the same transaction that takes the owner key,
so of two agents that claim at once one wins, and an owner that was paused past its
lease can't commit any more.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from wagtailcleat.batch.journal import Journal, load, read_zones_out
from wagtailcleat.batch.owner import LAPSE_MARGIN, Owner
from wagtailcleat.batch.shards import preference
from wagtailcleat.clock import Clock
from wagtailcleat.configuration.keys import shard_epoch, shard_owner
from wagtailcleat.ids import Epoch, NodeId, ShardId
from wagtailcleat.logs import part_logger
from wagtailcleat.membership.view import View
from wagtailcleat.platform.store import (
    Absent,
    Compare,
    Found,
    Leased,
    LeaseGone,
    Store,
    Txn,
    Unavailable,
    Unknown,
    Written,
)
from wagtailcleat.settings import Timing
from wagtailcleat.supervise import Supervisor
from wagtailcleat.wire.messages import Done, MemberState, Role, StepDown
from wagtailcleat.wire.streams import Peers

log = part_logger("ownership")

RENEWALS_A_LEASE = 3.0
ROUND_SECONDS = 0.5
RIVALS = 2
SECOND_CLAIMS_SHARE = 0.1
CALL_SECONDS = 1.0

MakeOwner = Callable[[ShardId, Journal], Owner]


@dataclass(frozen=True)
class Claim:
    """A shard just taken, and who held it before."""

    epoch: Epoch
    earlier_node: str


class Ownership:
    """The shards of this agent, each with its owner and the owner's tasks."""

    def __init__(
        self,
        store: Store,
        view: View,
        peers: Peers,
        supervisor: Supervisor,
        *,
        shards: int,
        clock: Clock,
        timing: Timing,
        rng: random.Random,
        make_owner: MakeOwner,
        announce: Callable[[], None],
        closed: Callable[[], str],
    ) -> None:
        """Own the shards that fall to this agent by rendezvous hashing.

        Parameters: `announce` is called when the shards owned change; `closed`
        tells why no shard may be taken, or is empty.
        """
        self.owner_by_shard: dict[ShardId, Owner] = {}
        self.kept_at = 0.0
        """When the store last confirmed the lease, counted from the asking."""
        self._lease = ""
        self._store = store
        self._view = view
        self._peers = peers
        self._supervisor = supervisor
        self._shards = shards
        self._clock = clock
        self._timing = timing
        self._random = rng
        self._make_owner = make_owner
        self._announce = announce
        self._closed = closed
        self._claiming: set[ShardId] = set()
        self._branch_by_shard: dict[ShardId, Supervisor] = {}

    def may_grant_until(self) -> float:
        """Return until when grants may be handed out, on this process's clock.

        Grants go on while the store is out, up to the bound that a successor
        waits for agents it can't ask.
        """
        return self.kept_at + self._timing.outage_grant

    async def run(self) -> None:
        """Keep the lease and claim shards, until cancelled."""
        while True:
            await self._keep_lease()
            if self._lease and not self._closed():
                await self._claim_some()
            self._drop_deposed()
            pause = min(ROUND_SECONDS, self._timing.ownership / RENEWALS_A_LEASE)
            await asyncio.sleep(pause * self._random.uniform(0.7, 1.3))

    async def give_up(self) -> None:
        """Hand all shards back, so that others claim them at once."""
        for shard in list(self.owner_by_shard):
            self._drop(shard)
        if self._lease:
            await self._store.revoke(self._lease)
            self._lease = ""

    def step_down(self, message: StepDown) -> Done:
        """Hand out no more grants for a shard that a newer epoch has taken."""
        owner = self.owner_by_shard.get(message.shard)
        if owner is not None and owner.journal.epoch < message.epoch:
            self._drop(message.shard)
        return Done()

    # ---- the store lease

    async def _keep_lease(self) -> None:
        asked_at = self._clock()
        if self._lease:
            due = self.kept_at + self._timing.ownership / RENEWALS_A_LEASE
            if asked_at < due:
                return
            kept = await self._store.keep_alive(self._lease)
            if isinstance(kept, Leased):
                self.kept_at = asked_at
            elif isinstance(kept, LeaseGone):
                log.warning("The store lease lapsed")
                self._lease = ""
                for shard in list(self.owner_by_shard):
                    self._drop(shard)
            return
        leased = await self._store.grant(self._timing.ownership)
        if isinstance(leased, Leased):
            self._lease = leased.id
            self.kept_at = asked_at

    # ---- claiming

    async def _claim_some(self) -> None:
        agents = [
            m.node
            for m in self._view.agents()
            if m.state is MemberState.ALIVE and m.role is Role.AGENT
        ]
        for number in range(self._shards):
            shard = ShardId(number)
            if shard in self.owner_by_shard or shard in self._claiming:
                continue
            if self._is_mine_to_claim(shard, agents):
                await self._claim_and_run(shard)

    def _is_mine_to_claim(self, shard: ShardId, agents: list[NodeId]) -> bool:
        owner = self._view.owner(shard)
        if owner is not None and owner.state in (
            MemberState.ALIVE,
            MemberState.SUSPECT,
        ):
            return False
        ranked = preference(shard, agents)[:RIVALS]
        if self._view.me.node not in ranked:
            return False
        # The second in line steps in too, but seldom, where the first does not.
        first = ranked[0] == self._view.me.node
        return first or self._random.random() < SECOND_CLAIMS_SHARE

    async def _claim_and_run(self, shard: ShardId) -> None:
        self._claiming.add(shard)
        try:
            claim = await self._claim(shard)
            if claim is not None:
                await self._take_over(shard, claim)
        finally:
            self._claiming.discard(shard)

    async def _claim(self, shard: ShardId) -> Claim | None:
        epoch = await self._store.get(shard_epoch(shard))
        if isinstance(epoch, Unavailable):
            return None
        number = int(epoch.value.split(b"|")[0]) if isinstance(epoch, Found) else 0
        earlier = epoch.value.decode() if isinstance(epoch, Found) else ""
        return await self._claim_epoch(shard, number, earlier, epoch)

    async def _claim_epoch(
        self, shard: ShardId, number: int, earlier: str, known: Found | Absent
    ) -> Claim | None:
        me = self._view.me
        value = epoch_value(Epoch(number + 1), f"{me.node}|{me.incarnation}")
        compares = [
            Compare(shard_owner(shard), absent=True),
            Compare(shard_epoch(shard), absent=True)
            if isinstance(known, Absent)
            else Compare(shard_epoch(shard), mod_revision=known.mod_revision),
        ]
        txn = Txn(
            compares,
            {shard_epoch(shard): value},
            {shard_owner(shard): me.node.encode()},
            self._lease,
        )
        outcome = await self._store.write(txn)
        if isinstance(outcome, Unknown):
            read = await self._store.get(shard_epoch(shard))
            if isinstance(read, Found) and read.value == value:
                outcome = Written(read.mod_revision)
        if not isinstance(outcome, Written):
            return None
        parts = earlier.split("|")
        return Claim(Epoch(number + 1), parts[1] if len(parts) > 1 else "")

    async def _take_over(self, shard: ShardId, claim: Claim) -> None:
        loaded = await load(self._store, shard)
        zones = await read_zones_out(self._store)
        if loaded is None or zones is None:
            await self._hand_back(shard)
            return
        me = self._view.me
        journal = Journal(
            self._store,
            shard,
            claim.epoch,
            epoch_value(claim.epoch, f"{me.node}|{me.incarnation}"),
            loaded.record,
            zones[0],
            zones[1],
            self._timing.commit,
            snapshot_revision=loaded.snapshot_revision,
            snapshot_number=loaded.snapshot_number,
        )
        owner = self._make_owner(shard, journal)
        await owner.adopt(await self._wait_for_unreachable(shard, claim))
        self.owner_by_shard[shard] = owner
        branch = self._supervisor.supervisor(f"shard-{shard}")
        self._branch_by_shard[shard] = branch
        branch.spawn("journal", journal.run)
        branch.spawn("placement", owner.run)
        log.info("Owns a shard", extra={"shard": shard, "epoch": claim.epoch})
        self._announce()

    async def _wait_for_unreachable(self, shard: ShardId, claim: Claim) -> float:
        """Return how long an earlier owner's grants may last at agents cut off.

        An earlier owner that steps down, or whose process is surely gone, hands
        out none any more, so its last ones end a grant from now. One that can't
        be asked may hand them out up to the bound.
        """
        grant = self._timing.grant * LAPSE_MARGIN
        if not claim.earlier_node:
            return grant
        if claim.earlier_node == self._view.me.node:
            return grant
        member = next(
            (m for m in self._view.agents() if m.node == claim.earlier_node), None
        )
        if member is not None:
            ask = StepDown(shard, claim.epoch)
            answer = await self._peers.call(
                member.host, member.port, ask, timeout=CALL_SECONDS
            )
            if isinstance(answer, Done):
                return grant
        return grant + self._timing.outage_grant

    async def _hand_back(self, shard: ShardId) -> None:
        await self._store.write(
            Txn(
                [
                    Compare(shard_owner(shard), value=self._view.me.node.encode()),
                ],
                deletes=[shard_owner(shard)],
            )
        )

    # ---- losing

    def _drop_deposed(self) -> None:
        for shard, owner in list(self.owner_by_shard.items()):
            if owner.journal.deposed.is_set():
                self._drop(shard)

    def _drop(self, shard: ShardId) -> None:
        owner = self.owner_by_shard.pop(shard)
        owner.journal.deposed.set()
        branch = self._branch_by_shard.pop(shard, None)
        if branch is not None:
            self._supervisor.once(f"stop-{shard}", branch.stop)
        log.info("Owns a shard no longer", extra={"shard": shard})
        self._announce()


def epoch_value(epoch: Epoch, holder: str) -> bytes:
    """Return what the epoch key holds: the number, and who raised it last."""
    return f"{epoch}|{holder}".encode()
