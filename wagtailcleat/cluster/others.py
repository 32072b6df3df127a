"""The other entries: where they are, whether they live, and their word."""

import asyncio
from collections.abc import Awaitable, Callable

from wagtailcleat.clock import Clock
from wagtailcleat.cluster.keys import ENTRY_PREFIX, LEADER_KEY, Place, decode
from wagtailcleat.cluster.timing import PROBE_EVERY, PROBE_TIMEOUT
from wagtailcleat.ids import Epoch
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.keyvalue import KeyValueStore
from wagtailcleat.storage import Compare, Listing, Txn, Written
from wagtailcleat.wire.peers import Peers
from wagtailcleat.wire.scheduling import Follows, KeepFollowing

log = part_logger("leadership")

STRIKE_SECONDS = 8.0
"""How long an entry is silent before it is struck; cuts last less, and a restart takes
2 s."""
HEAVIER_FACTOR = 1.5
"""From how many times this entry's processor time another one counts as larger."""

Address = tuple[str, int]
Probe = Callable[[str, int], Awaitable[bool]]
"""Tells of a host and port whether connections to it are refused."""


async def connection_refused(host: str, port: int) -> bool:
    """Tell whether a connection is refused, by the peer's VM or on the way to it."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False


class Others:
    """Entries that the store named, or that asked this one who leads."""

    def __init__(
        self,
        place: Place,
        *,
        store: KeyValueStore,
        peers: Peers,
        clock: Clock,
    ) -> None:
        """Know nobody yet; `place` is this entry's own."""
        self._place = place
        self._store = store
        self._peers = peers
        self._clock = clock
        self._place_by_address: dict[Address, Place] = {}
        self._key_by_address: dict[Address, str] = {}
        self._silent_since_by_key: dict[str, float] = {}
        self.known = False
        """Whether the store has told which entries there are."""

    def __repr__(self) -> str:
        """Show how many are known."""
        return f"<Others: {len(self.places())}>"

    def note(self, place: Place) -> None:
        """Note an entry that asked who leads."""
        self._place_by_address[place.host, place.port] = place

    def places(self) -> list[Place]:
        """Return where the others are, those with most processor time first."""
        me = (self._place.host, self._place.port)
        known = [place for at, place in self._place_by_address.items() if at != me]
        return sorted(known, key=lambda place: -place.weight)

    def heavier(self) -> list[Place]:
        """Return the others that have clearly more processor time than this one."""
        least = self._place.weight * HEAVIER_FACTOR
        return [place for place in self.places() if place.weight >= least]

    async def read(self) -> bool:
        """Learn which entries the store names; tell whether it answered."""
        listing = await self._store.list(ENTRY_PREFIX)
        if not isinstance(listing, Listing):
            return False
        self.known = True
        self._key_by_address = {}
        for found in listing.found:
            place = decode(found.value, Place)
            address = (place.host, place.port)
            self._key_by_address[address] = found.key
            self._place_by_address.setdefault(address, place)
        return True

    async def word(self, place: Place, epoch: Epoch) -> Follows | None:
        """Return an entry's word not to claim while `epoch` leads, if it gives it."""
        answer = await self._peers.call(
            place.host, place.port, KeepFollowing(epoch), timeout=PROBE_TIMEOUT
        )
        if isinstance(answer, Follows):
            return answer if answer.epoch <= epoch else None
        # Only an answer is a word. A cut can refuse connections: a leader that takes
        # refusals for words leads on by itself while an entry beyond the cut claims.
        return None

    async def strike_silent(self, epoch: Epoch, leader_revision: int) -> None:
        """Strike entries that are long silent from the store.

        A leader that is away from the store needs the word of each entry: one that is
        gone for good would deny it for ever. An entry that was struck claims nothing
        before it has registered again.

        Parameters: `leader_revision` is that of this leader's own key.
        """
        now = self._clock()
        for place in self.places():
            address = (place.host, place.port)
            key = self._key_by_address.get(address)
            if key is None:
                continue
            if await self.word(place, epoch):
                self._silent_since_by_key.pop(key, None)
                continue
            since = self._silent_since_by_key.setdefault(key, now)
            if now - since >= STRIKE_SECONDS:
                still = Compare(LEADER_KEY, leader_revision)
                struck = await self._store.write(Txn([still], deletes=[key]))
                if not isinstance(struck, Written):
                    # It may claim, so that its word is needed on.
                    continue
                self._place_by_address.pop(address, None)
                log.warning("Struck a silent entry", extra={"entry": key})


def reaches_store(word: Follows) -> bool:
    """Tell whether the entry that gave its word has heard of the store lately."""
    return word.store_age < PROBE_EVERY * 2
