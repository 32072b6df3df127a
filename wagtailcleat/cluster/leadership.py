"""Which entry leads: a key in the store that is taken over by compare-and-swap.

The leader rewrites a second key, its beat. Another entry claims when the leader surely
acts no more: another incarnation answers at its address, it has laid down its office,
or its beat has stood still for longer than a leader may act after a renewal. It
also claims where the leader's port refuses connections. That proves nothing: the new
leader then waits until the renewals of the one before have surely run out, before it
starts what that one may run (`Office.predecessors_until`). Leases of the store play no
part: a key bound to one can vanish while its holder still counts on it.

While the store does not answer, a leader may act on the word of all other entries
that they will not claim.
"""

import asyncio
import contextlib
import math
from enum import Enum

from wagtailcleat.clock import Clock
from wagtailcleat.cluster.claims import NOBODY, Claims, Ground
from wagtailcleat.cluster.keys import LEADER_KEY, Place
from wagtailcleat.cluster.office import Lead, Office
from wagtailcleat.cluster.others import (
    Others,
    Probe,
    connection_refused,
)
from wagtailcleat.cluster.renewals import LAY_DOWN_TRIES, Renewals
from wagtailcleat.cluster.timing import (
    CLAIM_AFTER,
    LEADER_VALID,
    LOOK_SOON,
    PROBE_EVERY,
    PROBE_TIMEOUT,
    REFUSED_STANDS,
    STEADY_SECONDS,
)
from wagtailcleat.ids import Epoch
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.keyvalue import KeyValueStore
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.peers import Identity, Peers
from wagtailcleat.wire.scheduling import (
    Follows,
    KeepFollowing,
    Leads,
    TakeOver,
    WhoLeads,
)

log = part_logger("leadership")

TOUCH_SECONDS = 0.3
"""How long an entry that is asked for its word waits for the store at most."""
TAKE_OVER_ANSWER = 0.4
"""How long the answer to a hand-over waits for the claim: two calls to the store."""
FIRST_CLAIM_SECONDS = 0.8
"""How long after its start an entry claims where nobody has led yet: all machines start
within 0.3 s, and the largest should find itself named before the others choose."""
LARGER_FIRST_SECONDS = 0.7
"""How long an entry with less processor time waits for a larger one to claim: nearly
two rounds of asking the leader."""
NO_REVISION = -1


class _Sign(Enum):
    """What an entry can tell of the leader's process."""

    LEADS = "leads"
    REPLACED = "replaced"
    """Another incarnation answers at its address: its process has ended."""
    REFUSED = "refused"
    """By its VM or by the network on the way: its process may live."""
    SILENT = "silent"


class Leadership:
    """Follows the leader, and leads when it is gone."""

    def __init__(
        self,
        identity: Identity,
        place: Place,
        *,
        store: KeyValueStore,
        peers: Peers,
        clock: Clock,
        lead: Lead,
        refused: Probe = connection_refused,
    ) -> None:
        """Wire it; `lead` is run while this entry leads."""
        self.leader = NOBODY
        self.office: Office | None = None
        self.changes = 0
        self.may_claim = True
        self._identity = identity
        self._place = place
        self._store = store
        self._peers = peers
        self._clock = clock
        self._lead = lead
        self._started_at = clock()
        self._promised_until = clock() + LEADER_VALID
        self._told_to_claim = asyncio.Event()
        self._laid_down_epoch = Epoch(0)
        """The epoch that its leader has laid down in favour of this entry."""
        self._refused = refused
        self._others = Others(place, store=store, peers=peers, clock=clock)
        self._claims = Claims(
            identity, place, store=store, clock=clock, learn=self._learn
        )
        self._renewals = Renewals(
            store=store,
            peers=peers,
            others=self._others,
            clock=clock,
            leader=lambda: self.leader,
            learn=self._learn,
        )
        self.look_after_entries = self._renewals.look_after_entries
        self._learned = asyncio.Condition()
        self._look_every = PROBE_EVERY
        self._learned_at = clock()
        """When this entry learned of the leader it follows."""
        self._refused_beat: int | None = None
        """The beat's revision when a leader of long standing was first refused."""
        self._wanted_since: float | None = None
        """Since when this entry would claim, but lets a larger one go first."""

    def __repr__(self) -> str:
        """Show who leads."""
        return f"<Leadership epoch {self.leader.epoch}: {self.leader.node}>"

    @property
    def leads(self) -> bool:
        """Whether this entry leads."""
        return self.office is not None

    async def run(self) -> None:
        """Follow and lead by turns, for ever."""
        await self._claims.register()
        while True:
            office = await self._follow()
            self.office = office
            self.changes += 1
            log.info("Leads", extra={"epoch": office.epoch})
            if not self.may_claim:
                # It was told to stop while the claim was under way.
                await self.lay_down()
            work = asyncio.create_task(self._lead(office))
            try:
                await self._renewals.hold(office, work)
            finally:
                self.office = None
                work.cancel()
                (ended,) = await asyncio.gather(work, return_exceptions=True)
                if isinstance(ended, Exception):
                    log.error("Leading failed", exc_info=ended)
            log.info("Leads no more", extra={"epoch": office.epoch})

    # ---- messages of other processes

    async def who_leads(self, message: AnyMessage) -> AnyMessage:
        """Answer `WhoLeads`, and note an entry that asks."""
        assert isinstance(message, WhoLeads)
        if message.host:
            self._others.note(
                Place(message.host, message.port, message.incarnation, message.weight)
            )
        if self.leader.node == self._identity.node and not self.may_claim:
            # Whoever is told that it still leads would not look whether it stopped.
            return NOBODY
        return self.leader

    async def leads_now(self, message: AnyMessage) -> AnyMessage:
        """Take in who leads."""
        if isinstance(message, Leads):
            await self._learn(message)
        return self.leader

    async def keep_following(self, message: AnyMessage) -> AnyMessage:
        """Give the leader the word not to claim, unless a newer epoch is known."""
        assert isinstance(message, KeepFollowing)
        now = self._clock()
        # A leader counts on it that words given to the one before are older than its
        # claim, also where the claim's answer is late or lost.
        # The same where an earlier life of this process may have led: until the store
        # has told who leads, this one knows no epoch that would forbid the word.
        claiming = self.leads or self._claims.sent_at is not None
        unaware = not self._claims.has_read
        if message.epoch < self.leader.epoch or claiming or unaware:
            return Follows(self.leader.epoch, 0.0, self._store_age())
        self._promised_until = max(self._promised_until, now + LEADER_VALID)
        # The leader gives way only to an entry that the store has answered since it
        # last failed the leader itself.
        await self._touch_store()
        return Follows(message.epoch, LEADER_VALID, self._store_age())

    def _store_age(self) -> float:
        """Return how many seconds ago the store last answered this entry."""
        answered_at = self._store.answered_at
        return self._clock() - answered_at if answered_at else math.inf

    async def take_over(self, message: AnyMessage) -> AnyMessage:
        """Claim at once: the leader has laid down its office."""
        assert isinstance(message, TakeOver)
        if message.epoch >= self.leader.epoch and self.may_claim:
            self._laid_down_epoch = message.epoch
            self._told_to_claim.set()
            await self._until_newer(message.epoch)
        return self.leader

    async def _until_newer(self, epoch: Epoch) -> None:
        # Who lays down its office may be away from the store, and learns only from
        # this answer who leads now.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TAKE_OVER_ANSWER), self._learned:
                await self._learned.wait_for(lambda: self.leader.epoch > epoch)

    async def lay_down(self) -> None:
        """Give the office to an entry that follows, before this process stops."""
        self.may_claim = False
        office = self.office
        if office is None:
            return
        await self._renewals.lay_down(office)

    # ---- following

    async def _learn(self, leader: Leads) -> None:
        if leader.epoch > self.leader.epoch:
            self.leader = leader
            self._learned_at = self._clock()
            async with self._learned:
                self._learned.notify_all()
            log.info("Follows", extra={"epoch": leader.epoch, "leader": leader.node})

    async def _touch_store(self) -> None:
        if self._clock() - self._store.answered_at > PROBE_EVERY:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TOUCH_SECONDS):
                    await self._store.get(LEADER_KEY)

    async def _follow(self) -> Office:
        while True:
            office = await self._look()
            if office is not None:
                return office
            try:
                async with asyncio.timeout(self._look_every):
                    await self._told_to_claim.wait()
            except TimeoutError:
                continue
            self._told_to_claim.clear()
            office = await self._accept()
            if office is not None:
                return office

    async def _accept(self) -> Office | None:
        """Claim the epoch that was laid down, unless another entry has."""
        for _ in range(LAY_DOWN_TRIES):
            read = await self._claims.read()
            if not read or self._claims.seen.leader.epoch != self._laid_down_epoch:
                return None
            office = await self._claim(Ground.HANDED_OVER)
            if office is not None:
                return office
        return None

    async def _look(self) -> Office | None:
        asked = self.leader.epoch
        sign = await self._sign()
        self._look_every = LOOK_SOON if sign is _Sign.REFUSED else PROBE_EVERY
        if not self._claims.has_read:
            # Until it has read who leads, this entry promises nothing to a leader.
            await self._claims.read()
        if sign is _Sign.LEADS or not self.may_claim:
            self._refused_beat = None
            self._wanted_since = None
            return None
        if not await self._claims.read():
            return None
        seen = self._claims.seen
        if seen.leader.epoch == 0:
            if self._clock() - self._started_at < FIRST_CLAIM_SECONDS:
                return None
            return await self._claim_in_turn(Ground.NOBODY)
        place = self._place
        at_my_place = (seen.leader.host, seen.leader.port) == (place.host, place.port)
        if seen.leader.node == self._identity.node and at_my_place:
            return await self._claim(Ground.OWN)
        if seen.leader.epoch != asked:
            sign = _Sign.SILENT
        self._note_refusal(sign)
        return await self._replace(sign)

    def _note_refusal(self, sign: _Sign) -> None:
        if sign is not _Sign.REFUSED:
            self._refused_beat = None
        elif self._refused_beat is None:
            steady = self._clock() - self._learned_at >= STEADY_SECONDS
            self._refused_beat = (
                self._claims.seen.beat_revision if steady else NO_REVISION
            )

    async def _replace(self, sign: _Sign) -> Office | None:
        """Claim the office of the leader that was last read, if there is ground."""
        now = self._clock()
        stands = now - self._claims.seen.beat_seen_at
        if self._claims.seen.beat.laid_down:
            return await self._claim_in_turn(Ground.LAID_DOWN)
        if sign is _Sign.REPLACED:
            return await self._claim_in_turn(Ground.REPLACED)
        if stands >= CLAIM_AFTER and now >= self._promised_until:
            return await self._claim_in_turn(Ground.STANDS)
        at_once = self._claims.seen.beat_revision == self._refused_beat
        if sign is _Sign.REFUSED and (at_once or stands >= REFUSED_STANDS):
            return await self._claim_in_turn(Ground.REFUSED)
        self._wanted_since = None
        return None

    async def _claim_in_turn(self, ground: Ground) -> Office | None:
        """Claim, but first let an entry go that has more processor time."""
        now = self._clock()
        if self._wanted_since is None:
            self._wanted_since = now
            await self._others.read()
        patient = now - self._wanted_since < LARGER_FIRST_SECONDS
        if patient and self._others.heavier():
            return None
        self._wanted_since = None
        return await self._claim(ground)

    async def _claim(self, ground: Ground) -> Office | None:
        if not self.may_claim:
            return None
        if ground is Ground.STANDS and self._clock() < self._promised_until:
            # It was given a word meanwhile, by which it may act.
            return None
        return await self._claims.claim(ground)

    async def _sign(self) -> _Sign:
        leader = self.leader
        if not leader.epoch or leader.node == self._identity.node:
            return _Sign.SILENT
        stream = await self._peers.stream(leader.host, leader.port)
        if isinstance(stream, Lost):
            refused = await self._refused(leader.host, leader.port)
            return _Sign.REFUSED if refused else _Sign.SILENT
        me = self._place
        question = WhoLeads(me.host, me.port, me.incarnation, me.weight)
        answer = await stream.call(question, timeout=PROBE_TIMEOUT)
        if isinstance(answer, Leads):
            await self._learn(answer)
            if stream.peer == leader.node and (
                stream.peer_incarnation != leader.incarnation
            ):
                # It has answered now, so the leader's process at this address has
                # ended. A connection alone shows nothing: one to an earlier life looks
                # open for long where its VM lost power.
                return _Sign.REPLACED
            if answer.epoch == leader.epoch and answer.node != leader.node:
                return _Sign.SILENT
            # An older epoch tells nothing: a leader learns of its own only with the
            # store's answer to its claim, when others may have read it already.
            return _Sign.LEADS if answer.epoch >= leader.epoch else _Sign.SILENT
        return _Sign.SILENT
