"""Leader election among the entries, by compare-and-swap on a key in the store.

The leader renews its lease by rewriting a second key, its heartbeat. Another entry
claims leadership once the leader certainly no longer acts: another incarnation answers
at its address, it has stepped down, or its heartbeat has not changed for longer than
the lease lasts. An entry also claims when the leader's port refuses connections. This
does not prove that the leader has ended, so the new leader waits until the previous
lease has certainly expired before it starts work that its predecessor may be running
(`LeaderLease.predecessors_until`). The store's own leases are not used: a key bound to
one can be deleted while its holder still relies on it.

While the store does not answer, a leader may renew its lease by promises of all other
entries not to claim.

`entry_app` runs one `Leadership` per entry.
"""

import asyncio
import contextlib
from functools import partial

from wagtailcleat.clock import Clock, wall_time
from wagtailcleat.cluster.claims import NO_LEADER, ClaimReason, Claims
from wagtailcleat.cluster.keys import MAX_EPOCH, ProcessInfo
from wagtailcleat.cluster.leader_lease import LeadCallback, LeaderLease
from wagtailcleat.cluster.leader_probe import ProbeResult, probe_leader
from wagtailcleat.cluster.leader_refusals import LeaderRefusals
from wagtailcleat.cluster.lease_renewer import STEP_DOWN_TRIES, LeaseRenewer
from wagtailcleat.cluster.other_entries import (
    OtherEntries,
    RefusalProbe,
    connection_refused,
)
from wagtailcleat.cluster.promises import Promises
from wagtailcleat.cluster.stored_values import StoredValues
from wagtailcleat.cluster.timing import (
    CLAIM_AFTER_SECONDS,
    LEADER_LEASE_SECONDS,
    PREDECESSOR_LEASE_SECONDS,
    PROBE_INTERVAL_SECONDS,
    REFUSED_CLAIM_AFTER_SECONDS,
    SILENT_CLAIM_AFTER_SECONDS,
    URGENT_PROBE_INTERVAL_SECONDS,
)
from wagtailcleat.ids import Epoch
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.keyvalue import KeyValueStore
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.peers import Identity, Peers
from wagtailcleat.wire.scheduling import (
    KeepFollowing,
    Leads,
    TakeOver,
    WhoLeads,
)

log = part_logger("leadership")

TAKE_OVER_ANSWER_SECONDS = 0.4
"""How long the answer to `TakeOver` waits for the claim: it takes two store calls."""
FIRST_CLAIM_DELAY_SECONDS = 0.8
"""How long after its start an entry waits to claim if there has never been a leader.

All machines start within 0.3 s, and the largest entry should be registered before the
others decide whether to wait for it.
"""
LARGER_ENTRY_DELAY_SECONDS = 0.7
"""How long an entry waits for an entry with more processor time to claim.

This covers nearly two probes of the leader.
"""


class Leadership:
    """One entry's part in leader election: follow the leader, and replace it.

    `leader` is the latest leader known; `lease` is set while this entry leads.
    """

    def __init__(
        self,
        identity: Identity,
        own_info: ProcessInfo,
        *,
        store: KeyValueStore,
        peers: Peers,
        clock: Clock,
        lead: LeadCallback,
        wall_clock: Clock = wall_time,
        refused: RefusalProbe = connection_refused,
        silent_claim_seconds: float = SILENT_CLAIM_AFTER_SECONDS,
        values: StoredValues | None = None,
    ) -> None:
        """Create an entry that follows.

        Parameters: `lead` runs while this entry leads; `wall_clock` dates heartbeats;
        `refused` tells whether an address refuses connections; `silent_claim_seconds`
        is how old the heartbeat of a leader that answers no probe must be before this
        entry claims; `values` decodes what is stored.
        """
        self.leader = NO_LEADER
        self.lease: LeaderLease | None = None
        self.changes = 0
        """How often this entry has become leader."""
        self.may_claim = True
        self._values = values or StoredValues()
        self._identity = identity
        self._own_info = own_info
        self._store = store
        self._peers = peers
        self._clock = clock
        self._lead = lead
        self._silent_claim_seconds = silent_claim_seconds
        self._started_at = clock()
        self._promises = Promises(store=store, clock=clock)
        self._asked_to_claim = asyncio.Event()
        self._handed_over_epoch = Epoch(0)
        """Epoch whose leader has stepped down in favour of this entry."""
        self._probe = partial(
            probe_leader,
            identity=identity,
            own_info=own_info,
            peers=peers,
            refused=refused,
            learn=self._learn,
        )
        self._other_entries = OtherEntries(
            identity.node,
            own_info,
            store=store,
            peers=peers,
            clock=clock,
            values=self._values,
        )
        self._claims = Claims(
            identity,
            own_info,
            store=store,
            clock=clock,
            wall_clock=wall_clock,
            values=self._values,
            known_leader=lambda: self.leader,
            learn=self._learn,
        )
        self._lease_renewer = LeaseRenewer(
            store=store,
            peers=peers,
            other_entries=self._other_entries,
            clock=clock,
            wall_clock=wall_clock,
            leader=lambda: self.leader,
            learn=self._learn,
        )
        self.maintain_entries = self._lease_renewer.maintain_entries
        self._leader_changed = asyncio.Condition()
        self._check_interval = PROBE_INTERVAL_SECONDS
        self._learned_at = clock()
        """When this entry learned of the leader that it follows."""
        self._refusals = LeaderRefusals()
        self._deferring_since: float | None = None
        """Since when this entry has a reason to claim but waits for a larger one."""

    def __repr__(self) -> str:
        """Show the leader and its epoch."""
        return f"<Leadership epoch {self.leader.epoch}: {self.leader.node}>"

    @property
    def leads(self) -> bool:
        """Whether this entry leads."""
        return self.lease is not None

    async def run(self) -> None:
        """Alternate between following and leading until cancelled."""
        await self._claims.register()
        while True:
            lease = await self._follow()
            self.lease = lease
            self.changes += 1
            log.info("Leads", extra={"epoch": lease.epoch})
            if not self.may_claim:
                # The entry was told to stop while the claim was in progress.
                await self.step_down()
            work = asyncio.create_task(self._lead(lease))
            try:
                await self._lease_renewer.renew_until_lost(lease, work)
            finally:
                self.lease = None
                work.cancel()
                (ended,) = await asyncio.gather(work, return_exceptions=True)
                if isinstance(ended, Exception):
                    log.error("Leading failed", exc_info=ended)
            log.info("Stopped leading", extra={"epoch": lease.epoch})

    async def who_leads(self, message: AnyMessage) -> AnyMessage:
        """Return the known leader, and remember the entry that asks."""
        assert isinstance(message, WhoLeads)
        if message.host:
            self._other_entries.add(
                ProcessInfo(
                    message.host, message.port, message.incarnation, message.weight
                )
            )
        if self.leader.node == self._identity.node and not self.may_claim:
            # An entry that is told that this one leads does not check further, so it
            # would not notice that this one has stepped down.
            return NO_LEADER
        return self.leader

    async def leader_announced(self, message: AnyMessage) -> AnyMessage:
        """Handle the announcement of a leader; return the latest leader known."""
        if isinstance(message, Leads):
            await self._learn(message)
        return self.leader

    async def keep_following(self, message: AnyMessage) -> AnyMessage:
        """Promise the leader not to claim for the length of a lease.

        Refuse by a promise of 0 seconds if a newer epoch is known, if this entry leads
        or has a claim in progress, or if it has not read yet who leads.
        """
        assert isinstance(message, KeepFollowing)
        # A new leader assumes that every promise to its predecessor was made before
        # its own claim, even if the answer to the claim is late or lost.
        claiming = self.leads or self._claims.sent_at is not None
        # An earlier incarnation of this process may have led. Until the store has
        # been read, this one knows of no epoch that forbids the promise.
        has_not_read = not self._claims.has_read
        # The latter is higher while the leader key is unreadable.
        latest = max(self.leader.epoch, self._claims.last_read.leader.epoch)
        if message.epoch < latest or claiming or has_not_read:
            return self._promises.refuse(self.leader.epoch)
        return await self._promises.promise(message.epoch)

    async def take_over(self, message: AnyMessage) -> AnyMessage:
        """Claim at once because the leader has stepped down; return who leads then."""
        assert isinstance(message, TakeOver)
        if message.epoch >= self.leader.epoch and self.may_claim:
            self._handed_over_epoch = message.epoch
            self._asked_to_claim.set()
            await self._wait_for_newer(message.epoch)
        return self.leader

    async def _wait_for_newer(self, epoch: Epoch) -> None:
        # The leader that steps down may not reach the store, and then learns only
        # from this answer who leads now.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TAKE_OVER_ANSWER_SECONDS), self._leader_changed:
                await self._leader_changed.wait_for(lambda: self.leader.epoch > epoch)

    async def step_down(self) -> None:
        """Hand leadership over to another entry before this process stops."""
        self.may_claim = False
        lease = self.lease
        if lease is None:
            return
        await self._lease_renewer.step_down(lease)

    async def _learn(self, leader: Leads) -> None:
        if self.leader.epoch < leader.epoch < MAX_EPOCH:
            self.leader = leader
            self._learned_at = self._clock()
            async with self._leader_changed:
                self._leader_changed.notify_all()
            log.info("Follows", extra={"epoch": leader.epoch, "leader": leader.node})

    async def _follow(self) -> LeaderLease:
        while True:
            lease = await self._check_leader()
            if lease is not None:
                return lease
            try:
                async with asyncio.timeout(self._check_interval):
                    await self._asked_to_claim.wait()
            except TimeoutError:
                continue
            self._asked_to_claim.clear()
            lease = await self._claim_handed_over()
            if lease is not None:
                return lease

    async def _claim_handed_over(self) -> LeaderLease | None:
        """Claim after a hand-over, unless another entry has claimed already."""
        for _ in range(STEP_DOWN_TRIES):
            read = await self._claims.read()
            if (
                not read
                or self._claims.last_read.leader.epoch != self._handed_over_epoch
            ):
                return None
            lease = await self._claim(ClaimReason.HANDED_OVER)
            if lease is not None:
                return lease
        return None

    async def _check_leader(self) -> LeaderLease | None:
        asked_epoch = self.leader.epoch
        result = await self._probe(self.leader)
        self._check_interval = (
            URGENT_PROBE_INTERVAL_SECONDS
            if result in (ProbeResult.REFUSED, ProbeResult.SILENT)
            else PROBE_INTERVAL_SECONDS
        )
        if not self._claims.has_read or self._claims.last_read.is_leader_unknown:
            # This entry makes no promise to a leader before it has read who leads.
            await self._claims.read()
        if result is ProbeResult.LEADS or not self.may_claim:
            self._refusals.clear()
            self._deferring_since = None
            return None
        if not await self._claims.read():
            return None
        last_read = self._claims.last_read
        if last_read.leader.epoch == 0:
            if self._clock() - self._started_at < FIRST_CLAIM_DELAY_SECONDS:
                return None
            return await self._claim_after_larger(ClaimReason.NO_LEADER)
        own_info = self._own_info
        at_own_address = (last_read.leader.host, last_read.leader.port) == (
            own_info.host,
            own_info.port,
        )
        if last_read.leader.node == self._identity.node and at_own_address:
            return await self._claim(ClaimReason.OWN)
        was_asked = last_read.leader.epoch == asked_epoch
        if not was_asked:
            result = ProbeResult.SILENT
        self._refusals.record(
            refused=result is ProbeResult.REFUSED,
            known_for=self._clock() - self._learned_at,
            heartbeat_revision=last_read.heartbeat_revision,
        )
        is_silent = was_asked and result is ProbeResult.SILENT
        is_silent = is_silent or last_read.is_leader_unknown
        return await self._replace(result, is_silent=is_silent)

    async def _replace(
        self, result: ProbeResult, *, is_silent: bool
    ) -> LeaderLease | None:
        """Claim in place of the leader last read, if there is a reason to.

        Parameters: `is_silent` tells whether that leader was asked and did not answer,
        or can't be asked.
        """
        now = self._clock()
        last_read = self._claims.last_read
        probable_age = last_read.probable_age(now)
        if last_read.heartbeat.stepped_down:
            return await self._claim_after_larger(ClaimReason.STEPPED_DOWN)
        if result is ProbeResult.REPLACED:
            return await self._claim_after_larger(ClaimReason.REPLACED)
        has_stopped = last_read.unchanged_seconds(now) >= CLAIM_AFTER_SECONDS
        if has_stopped and now >= self._promises.until:
            return await self._claim_after_larger(ClaimReason.HEARTBEAT_STOPPED)
        may_claim_at_once = self._refusals.by_established(last_read.heartbeat_revision)
        if result is ProbeResult.REFUSED and (
            may_claim_at_once or probable_age >= REFUSED_CLAIM_AFTER_SECONDS
        ):
            return await self._claim_after_larger(ClaimReason.REFUSED)
        if is_silent and probable_age >= self._silent_claim_seconds:
            is_unknown = last_read.is_leader_unknown
            reason = ClaimReason.UNREADABLE if is_unknown else ClaimReason.SILENT
            return await self._claim_after_larger(reason)
        self._deferring_since = None
        return None

    async def _claim_after_larger(self, reason: ClaimReason) -> LeaderLease | None:
        """Claim, but first give an entry with more processor time a chance to."""
        now = self._clock()
        if self._deferring_since is None:
            self._deferring_since = now
            await self._other_entries.read()
        deferring = now - self._deferring_since < LARGER_ENTRY_DELAY_SECONDS
        if deferring and self._other_entries.larger():
            return None
        self._deferring_since = None
        return await self._claim(reason)

    async def _claim(self, reason: ClaimReason) -> LeaderLease | None:
        if not self.may_claim:
            return None
        if (
            reason is ClaimReason.HEARTBEAT_STOPPED
            and self._clock() < self._promises.until
        ):
            # The leader may act on a promise that this entry has made meanwhile.
            return None
        return await self._claims.claim(
            reason, leader_acts_until=self._leader_acts_until()
        )

    def _leader_acts_until(self) -> float:
        """Return until when the leader last read may act, if it can't renew any more.

        It acts by a renewal in the store, which was sent before its heartbeat was seen,
        or by promises of all entries, among them the last promise of this one.
        """
        by_heartbeat = self._claims.last_read.heartbeat_seen_at + CLAIM_AFTER_SECONDS
        drift = PREDECESSOR_LEASE_SECONDS - LEADER_LEASE_SECONDS
        return max(by_heartbeat, self._promises.until + drift)
