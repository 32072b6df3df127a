"""Which entry leads: a key in the store that is taken over by compare-and-swap.

The leader rewrites a second key, its beat. Another entry claims when the leader surely
acts no more: another incarnation answers at its address, it has laid down its office,
or its beat was seen to stand still for longer than a leader may act after a renewal. It
also claims where the leader's port refuses connections; that proves nothing, and
such a leader counts with the one before until that one's renewals have run out
(`Office.rivals_until`). Leases of the store play no part: a key bound to one can vanish
while its holder still counts on it.

While the store does not answer, a leader may act on the word of all other entries
that they will not claim.
"""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

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
from wagtailcleat.cluster.others import (
    Others,
    Probe,
    connection_refused,
    reaches_store,
)
from wagtailcleat.cluster.timing import (
    CLAIM_AFTER,
    LEADER_VALID,
    LOOK_SOON,
    PROBE_EVERY,
    PROBE_TIMEOUT,
    REFUSED_STANDS,
    RENEW_EVERY,
    RIVAL_SECONDS,
    STEADY_SECONDS,
    STORE_SILENT,
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

NOBODY = Leads(Epoch(0), NodeId(""), 0, "", 0)  # type: ignore[arg-type]
TAKE_OVER_ANSWER = 0.4
"""How long the answer to a hand-over waits for the claim: two calls to the store."""
LAY_DOWN_SECONDS = 0.3
"""How long a leader that stops waits for the store before it tells the others."""
LAY_DOWN_TRIES = 2
"""A renewal that was under way may come between once."""
FIRST_CLAIM_SECONDS = 0.8
"""How long after its start an entry claims where nobody has led yet: all machines start
within 0.3 s, and the largest should find itself named before the others choose."""
LARGER_FIRST_SECONDS = 0.7
"""How long an entry with less processor time waits for a larger one to claim: nearly
two rounds of asking the leader."""
NO_REVISION = -1
GIVE_WAY_SECONDS = 10.0
"""How long an entry leads at least before it gives way to a larger one."""


class _Sign(Enum):
    """What an entry can tell of the leader's process."""

    LEADS = "leads"
    REPLACED = "replaced"
    """Another incarnation answers at its address: its process has ended."""
    REFUSED = "refused"
    """By its VM or by the network on the way: its process may live."""
    SILENT = "silent"


class _Ground(Enum):
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
        return self is not _Ground.REFUSED


@dataclass
class _Seen:
    """The leader's two keys as last read."""

    leader: Leads = NOBODY
    leader_revision: int = 0
    beat_revision: int = 0
    beat: Beat = Beat()
    beat_seen_at: float = 0.0
    """When the beat was first seen at this revision."""


@dataclass
class Office:
    """An epoch that this entry has claimed."""

    epoch: Epoch
    leader_revision: int
    beat_revision: int
    valid_until: float
    claimed_at: float
    rivals_until: float
    """Until when a leader of an earlier epoch may act, at most."""
    alone_revision: int | None = None
    """What the store got after this revision, no earlier leader has acted on."""
    announced: bool = False
    """Whether the other entries were told."""
    gives_way: bool = False
    """Whether a larger entry should lead instead."""
    laid_down: asyncio.Event = field(default_factory=asyncio.Event)

    def valid_for(self, now: float) -> float:
        """Return for how many seconds the leader may still act."""
        if self.laid_down.is_set():
            return 0.0
        return max(0.0, self.valid_until - now)


Lead = Callable[[Office], Coroutine[Any, Any, None]]
"""Does a leader's work; cancelled when the office is lost."""


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
        self._seen = _Seen()
        self._started_at = clock()
        self._promised_until = clock() + LEADER_VALID
        self._told_to_claim = asyncio.Event()
        self._laid_down_epoch = Epoch(0)
        """The epoch that its leader has laid down in favour of this entry."""
        self._refused = refused
        self._others = Others(place, store=store, peers=peers, clock=clock)
        self._learned = asyncio.Condition()
        self._look_every = PROBE_EVERY
        self._learned_at = clock()
        """When this entry learned of the leader it follows."""
        self._refused_beat: int | None = None
        """The beat's revision when a leader of long standing was first refused."""
        self._wanted_since: float | None = None
        """Since when this entry would claim, but lets a larger one go first."""
        self._claim_sent_at: float | None = None
        """When a claim was sent of which it is not known what became of it."""
        self._registration = 0
        """Revision of this entry's own key in the store."""

    def __repr__(self) -> str:
        """Show who leads."""
        return f"<Leadership epoch {self.leader.epoch}: {self.leader.node}>"

    @property
    def leads(self) -> bool:
        """Whether this entry leads."""
        return self.office is not None

    async def run(self) -> None:
        """Follow and lead by turns, for ever."""
        await self._register()
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
                await self._hold(office, work)
            finally:
                self.office = None
                work.cancel()
                await asyncio.gather(work, return_exceptions=True)
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
        age = now - self._store.answered_at if self._store.answered_at else 1e9
        # A leader counts on it that words given to the one before are older than its
        # claim, also where the claim's answer is late or lost.
        claiming = self.leads or self._claim_sent_at is not None
        if message.epoch < self.leader.epoch or claiming:
            return Follows(self.leader.epoch, 0.0, age)
        self._promised_until = max(self._promised_until, now + LEADER_VALID)
        asyncio.get_running_loop().create_task(self._touch_store())
        return Follows(message.epoch, LEADER_VALID, age)

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
        office.laid_down.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAY_DOWN_SECONDS):
                await self._store_lay_down(office)
        await self._hand_over(office, need_store=False)

    async def _store_lay_down(self, office: Office) -> None:
        # The word to the others can be lost; the store tells whoever looks.
        alone = self._clock() >= office.rivals_until
        for _ in range(LAY_DOWN_TRIES):
            outcome = await self._store.write(
                Txn(_as_held(office), {BEAT_KEY: encode(Beat(alone, laid_down=True))})
            )
            if not isinstance(outcome, Conflict):
                return
            if not self._after_conflict(office, outcome):
                return

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
            await self._store.get(LEADER_KEY)

    async def _register(self) -> None:
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
            read = await self._read()
            if not read or self._seen.leader.epoch != self._laid_down_epoch:
                return None
            office = await self._claim(_Ground.HANDED_OVER)
            if office is not None:
                return office
        return None

    async def _look(self) -> Office | None:
        asked = self.leader.epoch
        sign = await self._sign()
        self._look_every = LOOK_SOON if sign is _Sign.REFUSED else PROBE_EVERY
        if sign is _Sign.LEADS or not self.may_claim:
            self._refused_beat = None
            self._wanted_since = None
            return None
        if not await self._read():
            return None
        seen = self._seen
        if seen.leader.epoch == 0:
            if self._clock() - self._started_at < FIRST_CLAIM_SECONDS:
                return None
            return await self._claim_in_turn(_Ground.NOBODY)
        place = self._place
        at_my_place = (seen.leader.host, seen.leader.port) == (place.host, place.port)
        if seen.leader.node == self._identity.node and at_my_place:
            return await self._claim(_Ground.OWN)
        if seen.leader.epoch != asked:
            sign = _Sign.SILENT
        self._note_refusal(sign)
        return await self._replace(sign)

    def _note_refusal(self, sign: _Sign) -> None:
        if sign is not _Sign.REFUSED:
            self._refused_beat = None
        elif self._refused_beat is None:
            steady = self._clock() - self._learned_at >= STEADY_SECONDS
            self._refused_beat = self._seen.beat_revision if steady else NO_REVISION

    async def _replace(self, sign: _Sign) -> Office | None:
        """Claim the office of the leader that was last read, if there is ground."""
        now = self._clock()
        stands = now - self._seen.beat_seen_at
        if self._seen.beat.laid_down:
            return await self._claim_in_turn(_Ground.LAID_DOWN)
        if sign is _Sign.REPLACED:
            return await self._claim_in_turn(_Ground.REPLACED)
        if stands >= CLAIM_AFTER and now >= self._promised_until:
            return await self._claim_in_turn(_Ground.STANDS)
        at_once = self._seen.beat_revision == self._refused_beat
        if sign is _Sign.REFUSED and (at_once or stands >= REFUSED_STANDS):
            return await self._claim_in_turn(_Ground.REFUSED)
        self._wanted_since = None
        return None

    async def _claim_in_turn(self, ground: _Ground) -> Office | None:
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

    async def _sign(self) -> _Sign:
        leader = self.leader
        if not leader.epoch or leader.node == self._identity.node:
            return _Sign.SILENT
        stream = await self._peers.stream(leader.host, leader.port)
        if isinstance(stream, Lost):
            refused = await self._refused(leader.host, leader.port)
            return _Sign.REFUSED if refused else _Sign.SILENT
        if stream.peer == leader.node and (
            stream.peer_incarnation != leader.incarnation
        ):
            return _Sign.REPLACED
        me = self._place
        question = WhoLeads(me.host, me.port, me.incarnation, me.weight)
        answer = await stream.call(question, timeout=PROBE_TIMEOUT)
        if isinstance(answer, Leads):
            await self._learn(answer)
            if answer.epoch == leader.epoch and answer.node != leader.node:
                return _Sign.SILENT
            # An older epoch tells nothing: a leader learns of its own only with the
            # store's answer to its claim, when others may have read it already.
            return _Sign.LEADS if answer.epoch >= leader.epoch else _Sign.SILENT
        return _Sign.SILENT

    async def _read(self) -> bool:
        listing = await self._store.list(LEADER_PREFIX)
        if not isinstance(listing, Listing):
            return False
        seen = self._seen
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
            self._claim_sent_at = None
        return True

    async def _claim(self, ground: _Ground) -> Office | None:
        """Claim the office of the leader that was last read."""
        if not self.may_claim:
            return None
        if ground is _Ground.STANDS and self._clock() < self._promised_until:
            # It was given a word meanwhile, by which it may act.
            return None
        # Tied to the revisions that the decision was made on. Read anew here, they
        # would be those of an entry that has begun to lead meanwhile, whose orders and
        # agents are alive.
        seen = self._seen
        leader = Leads(
            Epoch(seen.leader.epoch + 1),
            self._identity.node,
            self._identity.incarnation,
            self._place.host,
            self._place.port,
        )
        # That it acts no more says nothing of those before it, unless it outlived them.
        alone = ground.sure and (seen.beat.alone or seen.leader.epoch == 0)
        sent_at = self._claim_sent_at = self._claim_sent_at or self._clock()
        outcome = await self._write_claim(leader, alone)
        if not isinstance(outcome, Unknown):
            self._claim_sent_at = None
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
            claimed_at=now,
            rivals_until=now if alone else now + RIVAL_SECONDS,
            alone_revision=revision if alone else None,
        )

    async def _write_claim(self, leader: Leads, alone: bool) -> WriteOutcome:
        compares = [
            _at_revision(LEADER_KEY, self._seen.leader_revision),
            _at_revision(BEAT_KEY, self._seen.beat_revision),
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
        await self._register()
        return outcome

    # ---- leading

    async def _hold(self, office: Office, work: "asyncio.Task[None]") -> None:
        while not office.laid_down.is_set() and not work.done():
            if not await self._renew(office):
                return
            if office.gives_way:
                office.gives_way = False
                await self._hand_over(office, need_store=True, heavier=True)
                continue
            try:
                async with asyncio.timeout(RENEW_EVERY):
                    await office.laid_down.wait()
            except TimeoutError:
                continue

    async def _renew(self, office: Office) -> bool:
        """Renew the office; False once another entry has it."""
        sent_at = self._clock()
        alone = sent_at >= office.rivals_until
        outcome = await self._store.write(
            Txn(_as_held(office), {BEAT_KEY: encode(Beat(alone))})
        )
        if isinstance(outcome, Written):
            office.beat_revision = outcome.store_revision
            office.valid_until = max(office.valid_until, sent_at + LEADER_VALID)
            if alone and office.alone_revision is None:
                office.alone_revision = outcome.store_revision
            return True
        if isinstance(outcome, Conflict):
            return self._after_conflict(office, outcome)
        await self._renew_by_word(office)
        return True

    def _after_conflict(self, office: Office, conflict: Conflict) -> bool:
        revision_by_key = {f.key: f.mod_revision for f in conflict.current}
        if revision_by_key.get(LEADER_KEY) != office.leader_revision:
            log.warning("Another entry has claimed", extra={"epoch": office.epoch})
            return False
        # An earlier renewal without an answer took effect after all.
        office.beat_revision = revision_by_key.get(BEAT_KEY, 0)
        return True

    async def _renew_by_word(self, office: Office) -> None:
        sent_at = self._clock()
        others = self._others.places()
        answers = await asyncio.gather(
            *(self._others.word(place, office.epoch) for place in others)
        )
        words = [answer for answer in answers if answer is not None]
        if self._store_long_down() and any(reaches_store(word) for word in words):
            log.info("Another entry reaches the store", extra={"epoch": office.epoch})
            office.laid_down.set()
            await self._hand_over(office, need_store=True)
            return
        if len(words) == len(others):
            shortest = min((word.seconds for word in words), default=LEADER_VALID)
            office.valid_until = max(office.valid_until, sent_at + shortest)

    def _store_long_down(self) -> bool:
        since = self._store.down_since
        return since is not None and self._clock() - since > STORE_SILENT

    async def _hand_over(
        self, office: Office, *, need_store: bool, heavier: bool = False
    ) -> None:
        for place in self._others.heavier() if heavier else self._others.places():
            if need_store:
                word = await self._others.word(place, office.epoch)
                if word is None or not reaches_store(word):
                    continue
            office.laid_down.set()
            answer = await self._peers.call(
                place.host, place.port, TakeOver(office.epoch), timeout=PROBE_TIMEOUT
            )
            if isinstance(answer, Leads):
                await self._learn(answer)
                return

    async def _announce(self, office: Office) -> None:
        # An entry that is away from the store can't read who leads.
        if office.announced:
            return
        office.announced = True
        await asyncio.gather(
            *(
                self._peers.call(p.host, p.port, self.leader, timeout=PROBE_TIMEOUT)
                for p in self._others.places()
            )
        )

    async def look_after_entries(self, office: Office) -> None:
        """Tell the other entries who leads, strike silent ones, give way to larger.

        One process decides for all VMs: on the smallest entries of a deployment it has
        a quarter of the processor time that the largest have.
        """
        if not await self._others.read():
            return
        await self._announce(office)
        await self._others.strike_silent(office.epoch, office.leader_revision)
        held = self._clock() - office.claimed_at
        if held >= GIVE_WAY_SECONDS and self._others.heavier():
            log.info("Gives way to a larger entry", extra={"epoch": office.epoch})
            office.gives_way = True


def _as_held(office: Office) -> list[Compare]:
    return [
        _at_revision(LEADER_KEY, office.leader_revision),
        _at_revision(BEAT_KEY, office.beat_revision),
    ]


def _at_revision(key: str, revision: int) -> Compare:
    return Compare(key, revision, absent=revision == 0)
