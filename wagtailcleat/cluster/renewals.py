"""How a leader keeps its office: renewals, the others' word, hand-overs, the end."""

import asyncio
import contextlib
from collections.abc import Callable

from wagtailcleat.clock import Clock
from wagtailcleat.cluster.claims import Learn, at_revision
from wagtailcleat.cluster.keys import BEAT_KEY, LEADER_KEY, Beat, Place, encode
from wagtailcleat.cluster.office import Office
from wagtailcleat.cluster.others import Others, reaches_store
from wagtailcleat.cluster.timing import (
    LEADER_VALID,
    PROBE_TIMEOUT,
    RENEW_EVERY,
    STORE_SILENT,
)
from wagtailcleat.ids import Epoch
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.keyvalue import KeyValueStore
from wagtailcleat.storage import Compare, Conflict, Txn, Written
from wagtailcleat.wire.peers import Peers
from wagtailcleat.wire.scheduling import Follows, Leads, TakeOver

log = part_logger("leadership")

LAY_DOWN_SECONDS = 0.3
"""How long a leader that stops waits for the store before it tells the others."""
LAY_DOWN_TRIES = 2
"""A renewal that was under way may come between once."""
LAST_LOOK_SECONDS = 0.1
"""How long a leader that would hand over waits for the store once more."""
GIVE_WAY_SECONDS = 10.0
"""How long an entry leads at least before it gives way to a larger one."""
GIVE_WAY_RESTORING_SECONDS = 1.5
"""The same while it restores: work under way lapses unless that ends soon."""


class Renewals:
    """Holds the offices of this entry, one after the other."""

    def __init__(
        self,
        *,
        store: KeyValueStore,
        peers: Peers,
        others: Others,
        clock: Clock,
        leader: Callable[[], Leads],
        learn: Learn,
    ) -> None:
        """Wire it; `leader` returns who leads, `learn` takes it in."""
        self._store = store
        self._peers = peers
        self._others = others
        self._clock = clock
        self._leader = leader
        self._learn = learn

    def __repr__(self) -> str:
        """Show who leads."""
        return f"<Renewals under epoch {self._leader().epoch}>"

    async def lay_down(self, office: Office) -> None:
        """End an office, and tell whoever may take it."""
        office.laid_down.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAY_DOWN_SECONDS):
                await self._store_lay_down(office)
        await self._hand_over(office, need_store=False)

    async def _store_lay_down(self, office: Office) -> None:
        # The word to the others can be lost; the store tells whoever looks.
        alone = self._clock() >= office.predecessors_until
        for _ in range(LAY_DOWN_TRIES):
            outcome = await self._store.write(
                Txn(_as_held(office), {BEAT_KEY: encode(Beat(alone, laid_down=True))})
            )
            if not isinstance(outcome, Conflict):
                return
            if not self._after_conflict(office, outcome):
                return

    async def hold(self, office: Office, work: "asyncio.Task[None]") -> None:
        """Renew an office until it is lost or laid down, or its work has ended."""
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
        alone = sent_at >= office.predecessors_until
        outcome = await self._store.write(
            Txn(_as_held(office), {BEAT_KEY: encode(Beat(alone))})
        )
        if isinstance(outcome, Written):
            office.beat_revision = outcome.store_revision
            office.renewed(sent_at, LEADER_VALID)
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
        if not self._others.known:
            # Nobody's word would be every word: it would act on beside a next leader.
            return
        sent_at = self._clock()
        others = self._others.places()
        words = await self._words(office, others, sent_at)
        if office.laid_down.is_set() or len(words) < len(others):
            return
        shortest = min((word.seconds for word in words), default=LEADER_VALID)
        office.renewed(sent_at, shortest)

    async def _words(
        self, office: Office, others: list[Place], sent_at: float
    ) -> list[Follows]:
        """Return the words that the others give; hand over to one with the store.

        One that is gone keeps its answer back until the question times out. What the
        others have said decides without it.
        """
        asked = [
            asyncio.create_task(self._placed_word(place, office.epoch))
            for place in others
        ]
        words = []
        try:
            for answer in asyncio.as_completed(asked):
                place, word = await answer
                if word is None:
                    continue
                words.append(word)
                if self._alone_away(word, sent_at) and not await self._served_again():
                    fields = {"epoch": office.epoch, "to": place.host}
                    log.info("Another entry reaches the store", extra=fields)
                    if await self._hand_to(office, place):
                        break
        finally:
            for task in asked:
                task.cancel()
        return words

    async def _placed_word(
        self, place: Place, epoch: Epoch
    ) -> tuple[Place, Follows | None]:
        return place, await self._others.word(place, epoch)

    def _alone_away(self, word: Follows, sent_at: float) -> bool:
        """Tell whether the store serves an entry, and has not served this one for long.

        The store must have answered the entry after it first failed this one: while
        it is away for all, each entry heard of it a moment ago when it is asked.
        """
        since = self._store.down_since
        if since is None or sent_at - since < STORE_SILENT:
            return False
        return word.store_age < sent_at - since

    async def _served_again(self) -> bool:
        """Ask the store once more: it may be back for all, and others heard first."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_LOOK_SECONDS):
                await self._store.get(BEAT_KEY)
        return self._store.down_since is None

    async def _hand_over(
        self, office: Office, *, need_store: bool, heavier: bool = False
    ) -> None:
        for place in self._others.heavier() if heavier else self._others.places():
            if need_store:
                word = await self._others.word(place, office.epoch)
                if word is None or not reaches_store(word):
                    continue
            if await self._hand_to(office, place):
                return

    async def _hand_to(self, office: Office, place: Place) -> bool:
        """Lay the office down in favour of an entry; tell whether one has claimed."""
        office.laid_down.set()
        answer = await self._peers.call(
            place.host, place.port, TakeOver(office.epoch), timeout=PROBE_TIMEOUT
        )
        if not isinstance(answer, Leads):
            return False
        await self._learn(answer)
        return True

    async def _announce(self, office: Office) -> None:
        # An entry that is away from the store can't read who leads.
        if office.announced:
            return
        office.announced = True
        await asyncio.gather(
            *(
                self._peers.call(p.host, p.port, self._leader(), timeout=PROBE_TIMEOUT)
                for p in self._others.places()
            )
        )

    async def look_after_entries(self, office: Office, *, restored: bool) -> None:
        """Tell the other entries who leads, strike silent ones, give way to larger.

        Parameters: `restored` tells whether the leader knows what is stored.

        One process decides for all VMs: on the smallest entries of a deployment it has
        a quarter of the processor time that the largest have.
        """
        if not await self._others.read():
            return
        await self._announce(office)
        await self._others.strike_silent(office.epoch, office.leader_revision)
        held = self._clock() - office.claimed_at
        least = GIVE_WAY_SECONDS if restored else GIVE_WAY_RESTORING_SECONDS
        if held >= least and self._others.heavier():
            log.info("Gives way to a larger entry", extra={"epoch": office.epoch})
            office.gives_way = True


def _as_held(office: Office) -> list[Compare]:
    return [
        at_revision(LEADER_KEY, office.leader_revision),
        at_revision(BEAT_KEY, office.beat_revision),
    ]
