"""Ownership of shards: this agent's claims in the store, under a store lease.

`ShardHosting` wires it into the agent. A claim raises the shard's epoch in the same
transaction that creates the owner key. So one of two agents that claim at the same
time wins, and an owner that was paused past its lease can't commit any more.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from wagtailcleat.batch.holders import (
    Holder,
    KnownHolders,
    encode_earlier_holders,
    encode_epoch,
    holder_of,
    read_holders,
)
from wagtailcleat.batch.journal import Journal, load_shard, read_zones_out
from wagtailcleat.batch.owner import Owner
from wagtailcleat.batch.shards import fair_share, rank_nodes
from wagtailcleat.clock import Clock
from wagtailcleat.configuration.keys import shard_earlier, shard_epoch, shard_owner
from wagtailcleat.ids import Epoch, NodeId, ShardId
from wagtailcleat.logs import part_logger
from wagtailcleat.membership.view import View
from wagtailcleat.platform.store import Store
from wagtailcleat.settings import Timing
from wagtailcleat.storage import (
    Compare,
    Conflict,
    Found,
    Leased,
    LeaseGone,
    Txn,
    Unknown,
    Written,
)
from wagtailcleat.supervise import Supervisor
from wagtailcleat.wire.membership import Member, MemberState
from wagtailcleat.wire.results import Done
from wagtailcleat.wire.takeover import StepDown

log = part_logger("ownership")

RENEWALS_PER_LEASE = 3.0
MAX_ROUND_SECONDS = 0.5
RANKED_CANDIDATES = 3
FALLBACK_CLAIM_PROBABILITY = 0.1
RELEASE_INTERVAL_SHARE = 0.1
RENEWAL_ROUND_SHARE = 0.5

MakeOwner = Callable[[ShardId, Journal, list[Holder]], Owner]


@dataclass(frozen=True)
class Claim:
    """A successful claim: its epoch, and who may still issue grants for the shard."""

    epoch: Epoch
    earlier: list[Holder]


class Ownership:
    """The shards that this agent owns, each with its `Owner` and running tasks."""

    def __init__(
        self,
        store: Store,
        view: View,
        supervisor: Supervisor,
        *,
        shards: int,
        clock: Clock,
        timing: Timing,
        rng: random.Random,
        make_owner: MakeOwner,
        announce: Callable[[], None],
        closed: Callable[[], str],
        may_own: Callable[[Member], bool],
    ) -> None:
        """Own the shards that rendezvous hashing assigns to this agent.

        Parameters: `announce` is called when the owned shards change; `closed`
        returns why this agent may claim no shard, or ""; `may_own` returns whether
        an agent may own shards, as far as this agent knows.
        """
        self.owner_by_shard: dict[ShardId, Owner] = {}
        self.lease_renewed_at = 0.0
        """When the last renewal that the store confirmed was sent."""
        self._lease = ""
        self._store = store
        self._view = view
        self._supervisor = supervisor
        self._shards = shards
        self._clock = clock
        self._timing = timing
        self._random = rng
        self._make_owner = make_owner
        self._announce = announce
        self._why_closed = closed
        self._may_own = may_own
        self._stepped_down_by_shard: dict[ShardId, Epoch] = {}
        self._claimable: list[ShardId] = []
        self._owned_since_by_shard: dict[ShardId, float] = {}
        self._released_at = 0.0
        self._ranked_agents: list[NodeId] = []
        self._candidates_by_shard: dict[ShardId, list[NodeId]] = {}
        self._supervisor_by_shard: dict[ShardId, Supervisor] = {}

    def may_grant_until(self) -> float:
        """Return until when grants may be issued, on this process's clock.

        Grants are still issued while the store is down, for at most the
        `outage_grant` time. A successor waits that long for agents and owners that
        it can't reach.
        """
        return self.lease_renewed_at + self._timing.outage_grant

    async def run(self) -> None:
        """Renew the lease and claim shards, until cancelled."""
        # A claim and its takeover take many calls. If the lease were renewed in the
        # same task, a slow store would let it lapse, and all shards would be lost and
        # claimed again without end.
        await asyncio.gather(self._run_lease_renewal(), self._run_claims())

    async def _run_lease_renewal(self) -> None:
        while True:
            if self.owner_by_shard or self._claimable:
                await self._renew_lease()
            pause = min(MAX_ROUND_SECONDS, self._timing.ownership / RENEWALS_PER_LEASE)
            await asyncio.sleep(pause * RENEWAL_ROUND_SHARE)

    async def _run_claims(self) -> None:
        while True:
            self._claimable = [] if self._why_closed() else self._claimable_shards()
            for shard in self._claimable:
                if self._lease:
                    await self._try_claim(shard)
            self._stop_deposed_owners()
            await self._release_excess()
            pause = min(MAX_ROUND_SECONDS, self._timing.ownership / RENEWALS_PER_LEASE)
            await asyncio.sleep(pause * self._random.uniform(0.7, 1.3))

    async def give_up(self) -> None:
        """Release all shards, so that other agents can claim them at once."""
        for shard in list(self.owner_by_shard):
            self._stop_owner(shard)
        if self._lease:
            await self._store.revoke(self._lease)
            self._lease = ""

    def step_down(self, message: StepDown) -> Done:
        """Stop owning a shard that was claimed in a newer epoch, and confirm it.

        No grants of earlier epochs are issued after the answer.
        """
        # The request may arrive during a takeover here, before there is an owner.
        known = self._stepped_down_by_shard.get(message.shard, Epoch(0))
        self._stepped_down_by_shard[message.shard] = max(known, message.epoch)
        owner = self.owner_by_shard.get(message.shard)
        if owner is not None and owner.journal.epoch < message.epoch:
            self._stop_owner(message.shard)
        return Done()

    async def _renew_lease(self) -> None:
        sent_at = self._clock()
        if self._lease:
            due = self.lease_renewed_at + self._timing.ownership / RENEWALS_PER_LEASE
            if sent_at < due:
                return
            renewed = await self._store.keep_alive(self._lease)
            if isinstance(renewed, Leased):
                self.lease_renewed_at = sent_at
            elif isinstance(renewed, LeaseGone):
                log.warning("The store lease lapsed; all owned shards are lost")
                self._lease = ""
                for shard in list(self.owner_by_shard):
                    self._stop_owner(shard)
            return
        leased = await self._store.grant(self._timing.ownership)
        if isinstance(leased, Leased):
            self._lease = leased.id
            self.lease_renewed_at = sent_at

    def _claimable_shards(self) -> list[ShardId]:
        agents = self._eligible_agents()
        owned = self._owned_elsewhere()
        return [
            shard
            for shard in map(ShardId, range(self._shards))
            if shard not in self.owner_by_shard
            and shard not in owned
            and self._should_claim(shard, agents)
        ]

    def _eligible_agents(self) -> list[NodeId]:
        return sorted(
            m.node
            for m in self._view.agents()
            if m.state is MemberState.ALIVE and self._may_own(m)
        )

    def _owned_elsewhere(self) -> set[ShardId]:
        live_states = (MemberState.ALIVE, MemberState.SUSPECT)
        return {
            shard
            for member in self._view.agents()
            if member.state in live_states and member.node != self._view.me.node
            for shard in member.shards
        }

    def _should_claim(self, shard: ShardId, agents: list[NodeId]) -> bool:
        ranked = self._ranked_candidates(shard, agents)
        if self._view.me.node not in ranked:
            return False
        # Lower-ranked agents claim too, with a small probability, in case the first
        # does not.
        rank = ranked.index(self._view.me.node)
        return self._random.random() < FALLBACK_CLAIM_PROBABILITY**rank

    def _ranked_candidates(self, shard: ShardId, agents: list[NodeId]) -> list[NodeId]:
        # Ranking 1000 agents for each free shard in each round would take a large
        # part of a core while no owner is known. So the ranking is kept until the
        # agents change.
        if agents != self._ranked_agents:
            self._ranked_agents = agents
            self._candidates_by_shard.clear()
        if shard not in self._candidates_by_shard:
            self._candidates_by_shard[shard] = rank_nodes(
                shard, agents, RANKED_CANDIDATES
            )
        return self._candidates_by_shard[shard]

    async def _try_claim(self, shard: ShardId) -> None:
        # The key of a failed owner exists until its store lease lapses. Claims before
        # that would only be refused, and the store's write rate is limited. A key of
        # this process itself is left from a claim whose answer was lost.
        lease = self._lease
        current_owner, known = await asyncio.gather(
            self._store.get(shard_owner(shard)), read_holders(self._store, shard)
        )
        if (
            isinstance(current_owner, Found)
            and current_owner.value != self._owner_value()
        ):
            return
        if known is None or lease != self._lease:
            return
        claim = await self._write_claim(shard, known)
        if claim is not None:
            await self._start_owner(shard, claim, lease)

    async def _write_claim(self, shard: ShardId, known: KnownHolders) -> Claim | None:
        me = holder_of(self._view.me)
        epoch = Epoch(known.epoch + 1)
        value = encode_epoch(epoch, me)
        compares = [
            Compare(shard_owner(shard), absent=True),
            Compare(shard_epoch(shard), mod_revision=known.epoch_revision),
        ]
        puts = {
            shard_epoch(shard): value,
            shard_earlier(shard): encode_earlier_holders(known.unsettled),
        }
        owner_key = {shard_owner(shard): self._owner_value()}
        txn = Txn(compares, puts, owner_key, self._lease)
        outcome = await self._store.write(txn)
        if isinstance(outcome, Unknown | Conflict):
            # An earlier claim that was not answered may have taken effect, and this one
            # then conflicts with it.
            read = await self._store.get(shard_epoch(shard))
            if isinstance(read, Found) and read.value == value:
                outcome = Written(read.mod_revision)
        if isinstance(outcome, Written):
            return Claim(epoch, known.unsettled)
        # A claim whose answer was lost may have taken effect. This process's lease
        # would then keep the owner key alive while nobody owns the shard.
        await self._delete_owner_key(shard)
        return None

    async def _start_owner(self, shard: ShardId, claim: Claim, lease: str) -> None:
        loaded = await load_shard(self._store, shard)
        zones = await read_zones_out(self._store)
        stepped_down = self._stepped_down_by_shard.get(shard, Epoch(0)) > claim.epoch
        # The lease may have lapsed in the meantime, which deletes the owner key.
        lapsed = lease != self._lease
        if loaded is None or zones is None or stepped_down or lapsed:
            await self._delete_owner_key(shard)
            return
        journal = Journal(
            self._store,
            shard,
            claim.epoch,
            encode_epoch(claim.epoch, holder_of(self._view.me)),
            loaded.record,
            zones[0],
            zones[1],
            self._timing.commit,
            snapshot_revision=loaded.snapshot_revision,
            snapshot_number=loaded.snapshot_number,
        )
        owner = self._make_owner(shard, journal, claim.earlier)
        self.owner_by_shard[shard] = owner
        self._owned_since_by_shard[shard] = self._clock()
        supervisor = self._supervisor.supervisor(f"shard-{shard}")
        self._supervisor_by_shard[shard] = supervisor
        supervisor.spawn("journal", journal.run)
        supervisor.spawn("takeover", owner.takeover.run)
        supervisor.spawn("placement", owner.run)
        log.info(
            "Took ownership of a shard", extra={"shard": shard, "epoch": claim.epoch}
        )
        self._announce()

    async def _delete_owner_key(self, shard: ShardId) -> None:
        key = shard_owner(shard)
        own_key = Compare(key, value=self._owner_value())
        await self._store.write(Txn([own_key], deletes=[key]))

    def _owner_value(self) -> bytes:
        me = self._view.me
        return f"{me.node}|{me.incarnation}".encode()

    async def _release_excess(self) -> None:
        # The first agent to start claims all shards and would keep them, at many
        # times its share of CPU time and traffic. So an agent that owns more than
        # its share releases one shard at a time, and only one for which another
        # agent ranks first. The new owner settles this holder at once, since it
        # answers, so the shard's work is interrupted only briefly.
        now = self._clock()
        pause = self._timing.rebalance
        if (
            self._why_closed()
            or now - self._released_at < pause * RELEASE_INTERVAL_SHARE
        ):
            return
        agents = self._eligible_agents()
        if len(self.owner_by_shard) <= fair_share(self._shards, len(agents)):
            return
        for shard, since in self._owned_since_by_shard.items():
            first = self._ranked_candidates(shard, agents)[:1]
            if now - since > pause and first and first[0] != self._view.me.node:
                self._released_at = now
                self._stop_owner(shard)
                await self._delete_owner_key(shard)
                return

    def _stop_deposed_owners(self) -> None:
        for shard, owner in list(self.owner_by_shard.items()):
            if owner.journal.deposed.is_set():
                self._stop_owner(shard)

    def _stop_owner(self, shard: ShardId) -> None:
        owner = self.owner_by_shard.pop(shard)
        self._owned_since_by_shard.pop(shard, None)
        owner.journal.deposed.set()
        owner.stop()
        supervisor = self._supervisor_by_shard.pop(shard, None)
        if supervisor is not None:
            self._supervisor.once(f"stop-{shard}", supervisor.stop)
        log.info("Lost or released ownership of a shard", extra={"shard": shard})
        self._announce()
