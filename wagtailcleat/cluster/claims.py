"""Read the leader's keys from the store, and claim leadership by compare-and-swap.

Used by `leadership` only.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

import msgspec

from wagtailcleat.clock import Clock
from wagtailcleat.cluster.keys import (
    HEARTBEAT_KEY,
    LEADER_KEY,
    LEADER_PREFIX,
    MAX_EPOCH,
    LeaderHeartbeat,
    ProcessInfo,
    encode,
    entry_key,
)
from wagtailcleat.cluster.leader_lease import LeaderLease
from wagtailcleat.cluster.stored_values import StoredValues, Unreadable
from wagtailcleat.cluster.timing import (
    LEADER_LEASE_SECONDS,
    PREDECESSOR_LEASE_SECONDS,
    PROBE_INTERVAL_SECONDS,
)
from wagtailcleat.ids import Epoch, NodeId
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.keyvalue import KeyValueStore
from wagtailcleat.storage import (
    Absent,
    Compare,
    Conflict,
    Found,
    Listing,
    Txn,
    Unavailable,
    Unknown,
    WriteOutcome,
    Written,
)
from wagtailcleat.wire.peers import Identity
from wagtailcleat.wire.scheduling import Leads

log = part_logger("leadership")

NO_LEADER = Leads(Epoch(0), NodeId(""), 0, "", 0)  # type: ignore[arg-type]
LearnLeader = Callable[[Leads], Awaitable[None]]
"""Called with each leader that the store or another process names."""


class ClaimReason(Enum):
    """Why an entry claims leadership."""

    NO_LEADER = "there is none"
    OWN = "an earlier incarnation of this process led"
    HANDED_OVER = "was handed over"
    STEPPED_DOWN = "the leader has stepped down"
    REPLACED = "its process has ended"
    HEARTBEAT_STOPPED = "its heartbeat has stopped"
    REFUSED = "its port refuses connections"
    UNREADABLE = "the leader key is unreadable, and no heartbeat is renewed"
    SILENT = "it answers no probe and renews no heartbeat"

    @property
    def is_predecessor_stopped(self) -> bool:
        """Whether the previous leader certainly no longer acts."""
        return self not in (
            ClaimReason.REFUSED,
            ClaimReason.SILENT,
            ClaimReason.UNREADABLE,
        )


@dataclass
class LeaderKeys:
    """The leader key and its heartbeat key as last read from the store."""

    leader: Leads = NO_LEADER
    leader_revision: int = 0
    heartbeat_revision: int = 0
    heartbeat: LeaderHeartbeat = LeaderHeartbeat()
    heartbeat_seen_at: float = 0.0
    """When the heartbeat was first seen at this revision; 0 before the first read."""
    renewal_seen_at: float = 0.0
    """The same of the last heartbeat that could be read, thus a leader's."""
    age_when_seen: float = 0.0
    """How old the first heartbeat that was read probably was, by both wall clocks."""

    @property
    def is_leader_unknown(self) -> bool:
        """Whether the leader key is unreadable, and nothing else names the leader.

        `leader` then has an epoch that no earlier leader exceeds, but no address.
        """
        return self.leader.epoch > 0 and not self.leader.node

    def unchanged_seconds(self, now: float) -> float:
        """Return for how long the heartbeat has certainly not changed."""
        return now - self.heartbeat_seen_at

    def probable_age(self, now: float) -> float:
        """Return how old the heartbeat probably is.

        Wall clocks may be wrong. So it may decide when to claim, which is safe at any
        time, but never whether the leader has stopped.
        """
        return now - self.renewal_seen_at + self.age_when_seen


class Claims:
    """One entry's copy of the leader's keys, and the claims based on it."""

    def __init__(
        self,
        identity: Identity,
        own_info: ProcessInfo,
        *,
        store: KeyValueStore,
        clock: Clock,
        wall_clock: Clock,
        values: StoredValues,
        known_leader: Callable[[], Leads],
        learn: LearnLeader,
    ) -> None:
        """Start before the first read.

        Parameters: `known_leader` returns the latest leader that this entry knows of;
        `learn` is called with each leader that the store names.
        """
        self.last_read = LeaderKeys()
        self.sent_at: float | None = None
        """When a claim was sent whose outcome is in doubt; None if there is none."""
        self._identity = identity
        self._own_info = own_info
        self._store = store
        self._clock = clock
        self._wall_clock = wall_clock
        self._values = values
        self._known_leader = known_leader
        self._learn = learn
        self._registration = 0
        """Revision of this entry's own key in the store."""

    def __repr__(self) -> str:
        """Show the epoch that was last read."""
        return f"<Claims after epoch {self.last_read.leader.epoch}>"

    @property
    def has_read(self) -> bool:
        """Whether this process has read who leads."""
        return self.last_read.heartbeat_seen_at > 0.0

    async def register(self) -> None:
        """Store this entry's address under its own key, and retry until stored."""
        key = entry_key(self._identity.node)
        value = encode(self._own_info)
        while True:
            found = await self._store.get(key)
            if isinstance(found, Found) and found.value == value:
                self._registration = found.mod_revision
                return
            if not isinstance(found, Unavailable):
                absent = isinstance(found, Absent)
                revision = found.mod_revision if isinstance(found, Found) else None
                compare = Compare(key, revision, absent=absent)
                outcome = await self._store.write(Txn([compare], {key: value}))
                if isinstance(outcome, Written):
                    self._registration = outcome.store_revision
                    return
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)

    async def read(self) -> bool:
        """Read the leader's keys; return whether the store answered."""
        listing = await self._store.list(LEADER_PREFIX)
        if not isinstance(listing, Listing):
            return False
        last_read = self.last_read
        found_by_key = {found.key: found for found in listing.found}
        leader = found_by_key.get(LEADER_KEY)
        heartbeat = found_by_key.get(HEARTBEAT_KEY)
        heartbeat_revision = heartbeat.mod_revision if heartbeat else 0
        heartbeat_changed = heartbeat_revision != last_read.heartbeat_revision
        last_read.heartbeat_revision = heartbeat_revision
        read_heartbeat = self._read_heartbeat(heartbeat)
        last_read.heartbeat = read_heartbeat or LeaderHeartbeat()
        is_first_read = not last_read.heartbeat_seen_at
        if heartbeat_changed or is_first_read:
            last_read.heartbeat_seen_at = self._clock()
        if is_first_read or (heartbeat_changed and read_heartbeat is not None):
            last_read.renewal_seen_at = self._clock()
            # Later, an old heartbeat may only mean that the store was away.
            last_read.age_when_seen = (
                self._probable_age(last_read.heartbeat) if is_first_read else 0.0
            )
        last_read.leader_revision = leader.mod_revision if leader else 0
        last_read.leader = self._decode_leader(leader, last_read.heartbeat)
        if not last_read.is_leader_unknown:
            await self._learn(last_read.leader)
        if heartbeat_changed:
            # A claim depends on the heartbeat's revision: a claim in progress has
            # either failed or is visible in what was just read.
            self.sent_at = None
        return True

    def _read_heartbeat(self, found: Found | None) -> LeaderHeartbeat | None:
        if found is None:
            return None
        heartbeat = self._values.read(found, LeaderHeartbeat)
        return None if isinstance(heartbeat, Unreadable) else heartbeat

    def _decode_leader(self, found: Found | None, heartbeat: LeaderHeartbeat) -> Leads:
        if found is None:
            return NO_LEADER
        leader = self._values.read(found, Leads)
        if not isinstance(leader, Unreadable):
            return leader
        known = self._known_leader()
        if 0 < heartbeat.epoch <= known.epoch:
            # A claim writes both keys, so there has been none since this leader's.
            return known
        # All earlier claims have lower revisions, and no epoch exceeds the revision of
        # its claim.
        epoch = heartbeat.epoch or min(found.mod_revision - 1, MAX_EPOCH - 1)
        return msgspec.structs.replace(NO_LEADER, epoch=Epoch(epoch))

    def _probable_age(self, heartbeat: LeaderHeartbeat) -> float:
        if not heartbeat.written_at:
            return 0.0
        return max(0.0, self._wall_clock() - heartbeat.written_at)

    async def claim(
        self, reason: ClaimReason, *, leader_acts_until: float = math.inf
    ) -> LeaderLease | None:
        """Claim leadership after the leader last read; return None without success.

        Parameters: `leader_acts_until` is the latest time at which that leader may act,
        if the claim succeeds, as far as this entry knows.
        """
        # The claim depends on the revisions that the decision was based on. If they
        # were read again here, they could be those of a new leader whose orders are
        # being carried out, and the claim would replace it without a reason.
        last_read = self.last_read
        last_epoch = max(
            last_read.leader.epoch,
            last_read.heartbeat.epoch,
            self._known_leader().epoch,
        )
        leader = Leads(
            Epoch(last_epoch + 1),
            self._identity.node,
            self._identity.incarnation,
            self._own_info.host,
            self._own_info.port,
        )
        # That the previous leader stopped proves nothing about the leaders before it,
        # unless the previous leader outlived their leases.
        predecessors_expired = reason.is_predecessor_stopped and (
            last_read.heartbeat.predecessors_expired or last_read.leader.epoch == 0
        )
        # A retry keeps the first sending time: the first claim may have been written,
        # and the lease counts from when it was sent.
        sent_at = self.sent_at = self.sent_at or self._clock()
        outcome = await self._write_claim(leader, predecessors_expired)
        if not isinstance(outcome, Unknown):
            self.sent_at = None
        if not isinstance(outcome, Written):
            return None
        now = self._clock()
        log.info(
            "Claimed",
            extra={
                "epoch": leader.epoch,
                "before": last_read.leader.node,
                "why": reason.value,
                "alone": predecessors_expired,
            },
        )
        await self._learn(leader)
        revision = outcome.store_revision
        return LeaderLease(
            leader.epoch,
            revision,
            revision,
            sent_at + LEADER_LEASE_SECONDS,
            renewed_at=sent_at,
            claimed_at=now,
            predecessors_until=now
            if predecessors_expired
            else self._predecessors_until(now, leader_acts_until),
            predecessors_expired_revision=revision if predecessors_expired else None,
            leader_value=encode(leader),
        )

    def _predecessors_until(self, now: float, leader_acts_until: float) -> float:
        until = now + PREDECESSOR_LEASE_SECONDS
        if self.last_read.heartbeat.predecessors_expired:
            # Only the leader last read may still act, none of those before it.
            until = min(until, leader_acts_until)
        return max(now, until)

    async def _write_claim(
        self, leader: Leads, predecessors_expired: bool
    ) -> WriteOutcome:
        compares = [
            at_revision(LEADER_KEY, self.last_read.leader_revision),
            at_revision(HEARTBEAT_KEY, self.last_read.heartbeat_revision),
            Compare(entry_key(self._identity.node), self._registration),
        ]
        puts = {
            LEADER_KEY: encode(leader),
            HEARTBEAT_KEY: encode(
                LeaderHeartbeat(
                    predecessors_expired,
                    written_at=self._wall_clock(),
                    epoch=leader.epoch,
                )
            ),
        }
        outcome = await self._store.write(Txn(compares, puts))
        if isinstance(outcome, Written):
            return outcome
        return await self._resolve_conflict(leader, outcome)

    async def _resolve_conflict(
        self, leader: Leads, outcome: WriteOutcome
    ) -> WriteOutcome:
        # A claim that was not answered may have been written, and its retry then
        # conflicts with it. The value of the leader key shows which entry has won.
        if not isinstance(outcome, Conflict):
            return outcome
        for found in outcome.current:
            if found.key == LEADER_KEY and found.value == encode(leader):
                return Written(found.mod_revision)
        await self.register()
        return outcome


def at_revision(key: str, revision: int) -> Compare:
    """Return the condition that a key has this `mod_revision`; 0: does not exist."""
    return Compare(key, revision, absent=revision == 0)
