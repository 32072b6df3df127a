"""What the store shows of the leader, and this entry's claims of its office."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

from wagtailcleat.clock import Clock
from wagtailcleat.cluster.keys import (
    BEAT_KEY,
    LEADER_KEY,
    LEADER_PREFIX,
    Beat,
    Place,
    decode,
    decode_beat,
    encode,
    entry_key,
)
from wagtailcleat.cluster.office import Office
from wagtailcleat.cluster.timing import LEADER_VALID, PREDECESSOR_SECONDS, PROBE_EVERY
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

NOBODY = Leads(Epoch(0), NodeId(""), 0, "", 0)  # type: ignore[arg-type]
Learn = Callable[[Leads], Awaitable[None]]
"""Takes in who leads."""


class Ground(Enum):
    """Why an entry claims."""

    NOBODY = "there is none"
    OWN = "an earlier life of this process led"
    HANDED_OVER = "was handed over"
    LAID_DOWN = "its leader has laid it down"
    REPLACED = "its process has ended"
    STANDS = "its beat stands still"
    REFUSED = "its port refuses connections"

    @property
    def sure(self) -> bool:
        """Whether the leader before surely acts no more."""
        return self is not Ground.REFUSED


@dataclass
class Seen:
    """The leader's two keys as last read."""

    leader: Leads = NOBODY
    leader_revision: int = 0
    beat_revision: int = 0
    beat: Beat = Beat()
    beat_seen_at: float = 0.0
    """When the beat was first seen at this revision."""


class Claims:
    """One entry's view of the leader's keys, and its claims."""

    def __init__(
        self,
        identity: Identity,
        place: Place,
        *,
        store: KeyValueStore,
        clock: Clock,
        learn: Learn,
    ) -> None:
        """Know nothing yet; `learn` is told of each leader that the store names."""
        self.seen = Seen()
        self.sent_at: float | None = None
        """When a claim was sent of which it is not known what became of it."""
        self._identity = identity
        self._place = place
        self._store = store
        self._clock = clock
        self._learn = learn
        self._registration = 0
        """Revision of this entry's own key in the store."""

    def __repr__(self) -> str:
        """Show the epoch that was last read."""
        return f"<Claims after epoch {self.seen.leader.epoch}>"

    @property
    def has_read(self) -> bool:
        """Whether this process has read who leads."""
        return self.seen.beat_seen_at > 0.0

    async def register(self) -> None:
        """Name this entry in the store."""
        key = entry_key(self._identity.node)
        value = encode(self._place)
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
            await asyncio.sleep(PROBE_EVERY)

    async def read(self) -> bool:
        """Read the leader's keys; tell whether the store answered."""
        listing = await self._store.list(LEADER_PREFIX)
        if not isinstance(listing, Listing):
            return False
        seen = self.seen
        found_by_key = {found.key: found for found in listing.found}
        leader = found_by_key.get(LEADER_KEY)
        beat = found_by_key.get(BEAT_KEY)
        beat_revision = beat.mod_revision if beat else 0
        moved = beat_revision != seen.beat_revision
        if moved or not seen.beat_seen_at:
            seen.beat_seen_at = self._clock()
        seen.beat_revision = beat_revision
        seen.beat = decode_beat(beat.value) if beat else Beat()
        seen.leader_revision = leader.mod_revision if leader else 0
        seen.leader = decode(leader.value, Leads) if leader else NOBODY
        await self._learn(seen.leader)
        if moved:
            # A claim is tied to the beat: one that was under way has failed, or shows.
            self.sent_at = None
        return True

    async def claim(self, ground: Ground) -> Office | None:
        """Claim the office of the leader that was last read."""
        # Tied to the revisions that the decision was made on. Read anew here, they
        # would be those of an entry that has begun to lead meanwhile, whose orders and
        # agents are alive.
        seen = self.seen
        leader = Leads(
            Epoch(seen.leader.epoch + 1),
            self._identity.node,
            self._identity.incarnation,
            self._place.host,
            self._place.port,
        )
        # That it acts no more says nothing of those before it, unless it outlived them.
        alone = ground.sure and (seen.beat.alone or seen.leader.epoch == 0)
        sent_at = self.sent_at = self.sent_at or self._clock()
        outcome = await self._write_claim(leader, alone)
        if not isinstance(outcome, Unknown):
            self.sent_at = None
        if not isinstance(outcome, Written):
            return None
        now = self._clock()
        log.info(
            "Claimed",
            extra={
                "epoch": leader.epoch,
                "before": seen.leader.node,
                "why": ground.value,
                "alone": alone,
            },
        )
        await self._learn(leader)
        revision = outcome.store_revision
        return Office(
            leader.epoch,
            revision,
            revision,
            sent_at + LEADER_VALID,
            renewed_at=sent_at,
            claimed_at=now,
            predecessors_until=now if alone else now + PREDECESSOR_SECONDS,
            alone_revision=revision if alone else None,
        )

    async def _write_claim(self, leader: Leads, alone: bool) -> WriteOutcome:
        compares = [
            at_revision(LEADER_KEY, self.seen.leader_revision),
            at_revision(BEAT_KEY, self.seen.beat_revision),
            Compare(entry_key(self._identity.node), self._registration),
        ]
        puts = {LEADER_KEY: encode(leader), BEAT_KEY: encode(Beat(alone))}
        outcome = await self._store.write(Txn(compares, puts))
        if isinstance(outcome, Written):
            return outcome
        return await self._settle_claim(leader, outcome)

    async def _settle_claim(self, leader: Leads, outcome: WriteOutcome) -> WriteOutcome:
        # The HTTP library may send a claim twice; the second one then conflicts with
        # the first. Whose name stands in the key tells who won.
        if not isinstance(outcome, Conflict):
            return outcome
        for found in outcome.current:
            if found.key == LEADER_KEY and found.value == encode(leader):
                return Written(found.mod_revision)
        await self.register()
        return outcome


def at_revision(key: str, revision: int) -> Compare:
    """Return the condition that a key was last written at a revision; 0: never."""
    return Compare(key, revision, absent=revision == 0)
