"""The other entries: their addresses, their promises and their registration.

Used by `leadership` and `lease_renewer`.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable

from wagtailcleat.addresses import address_problem
from wagtailcleat.clock import Clock
from wagtailcleat.cluster.keys import (
    ENTRY_PREFIX,
    LEADER_KEY,
    ProcessInfo,
    entry_key,
)
from wagtailcleat.cluster.registrations import read_registrations
from wagtailcleat.cluster.stored_values import StoredValues
from wagtailcleat.cluster.timing import PROBE_INTERVAL_SECONDS, PROBE_TIMEOUT_SECONDS
from wagtailcleat.ids import Epoch, NodeId
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.keyvalue import KeyValueStore
from wagtailcleat.storage import Compare, Listing, Txn, Written
from wagtailcleat.wire.peers import Peers
from wagtailcleat.wire.scheduling import Follows, KeepFollowing

log = part_logger("leadership")

DEREGISTER_AFTER_SECONDS = 8.0
"""How long an entry is silent before it is deregistered.

Partitions are shorter than this, and a restart takes 2 s.
"""
DEREGISTER_RETRY_SECONDS = 0.5
"""Pause after a deregistration that the store has not confirmed."""
LARGER_FACTOR = 1.5
"""How many times this entry's processor time makes another entry a larger one."""

Address = tuple[str, int]
RefusalProbe = Callable[[str, int], Awaitable[bool]]
"""Returns whether connections to a host and port are refused."""


async def connection_refused(host: str, port: int) -> bool:
    """Return whether a connection is refused, by the peer's VM or by the network."""
    if address_problem(host, port):
        return False
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False


class OtherEntries:
    """Entries that are registered in the store, or that asked this one who leads."""

    def __init__(
        self,
        own_node: NodeId,
        own_info: ProcessInfo,
        *,
        store: KeyValueStore,
        peers: Peers,
        clock: Clock,
        values: StoredValues,
    ) -> None:
        """Start with no other entry.

        Parameters: `own_node` and `own_info` are this entry's own name and address;
        `values` decodes what is stored.
        """
        self._own_node = own_node
        self._own_info = own_info
        self._values = values
        self._store = store
        self._peers = peers
        self._clock = clock
        self._entry_by_address: dict[Address, ProcessInfo] = {}
        self._key_by_address: dict[Address, str] = {}
        self._unknown_keys: set[str] = set()
        """Keys of entries whose addresses another program has overwritten."""
        self._silent_since_by_key: dict[str, float] = {}
        self.has_read = False
        """Whether the registered entries have been read from the store."""

    def __repr__(self) -> str:
        """Show how many are known."""
        return f"<OtherEntries: {len(self.entries())}>"

    def add(self, entry: ProcessInfo) -> None:
        """Remember an entry that asked who leads, if it can be called."""
        if address_problem(entry.host, entry.port):
            return
        self._entry_by_address[entry.host, entry.port] = entry

    def entries(self) -> list[ProcessInfo]:
        """Return the other entries, those with most processor time first."""
        own = (self._own_info.host, self._own_info.port)
        others = [
            entry for address, entry in self._entry_by_address.items() if address != own
        ]
        return sorted(others, key=lambda entry: -entry.weight)

    def larger(self) -> list[ProcessInfo]:
        """Return the entries that have clearly more processor time than this one."""
        least = self._own_info.weight * LARGER_FACTOR
        return [entry for entry in self.entries() if entry.weight >= least]

    async def read(self) -> bool:
        """Read the registered entries; return whether the store answered."""
        listing = await self._store.list(ENTRY_PREFIX)
        if not isinstance(listing, Listing):
            return False
        self.has_read = True
        address_by_key = {key: a for a, key in self._key_by_address.items()}
        self._key_by_address = {}
        self._unknown_keys = set()
        for registration in read_registrations(
            self._values, listing.found, ENTRY_PREFIX
        ):
            key, entry = registration.key, registration.process
            if entry is not None:
                address = (entry.host, entry.port)
                self._key_by_address[address] = key
                self._entry_by_address.setdefault(address, entry)
            elif key in address_by_key:
                self._key_by_address[address_by_key[key]] = key
            elif key != entry_key(self._own_node):
                self._unknown_keys.add(key)
        registered = {*self._key_by_address.values(), *self._unknown_keys}
        for key in self._silent_since_by_key.keys() - registered:
            del self._silent_since_by_key[key]
        return True

    @property
    def all_known(self) -> bool:
        """Whether the address of each registered entry is known."""
        return self.has_read and not self._unknown_keys

    async def promise(self, entry: ProcessInfo, epoch: Epoch) -> Follows | None:
        """Ask an entry not to claim while `epoch` leads; return its promise or None."""
        answer = await self._peers.call(
            entry.host, entry.port, KeepFollowing(epoch), timeout=PROBE_TIMEOUT_SECONDS
        )
        if isinstance(answer, Follows):
            return answer if answer.epoch <= epoch else None
        # A refused connection is not a promise: a partition can refuse connections,
        # and a leader that counted refusals would continue to lead while an entry on
        # the other side claims.
        return None

    def seconds_to_deregistration(self, now: float) -> float:
        """Return in how many seconds an entry is to be deregistered; inf if none is."""
        since = min(self._silent_since_by_key.values(), default=math.inf)
        return max(DEREGISTER_RETRY_SECONDS, since + DEREGISTER_AFTER_SECONDS - now)

    async def deregister_silent(self, epoch: Epoch, leader_revision: int) -> None:
        """Delete the registrations of entries that have long been silent.

        A leader that does not reach the store needs the promise of each entry, and an
        entry that is gone for good would never give it. A deregistered entry can't
        claim before it has registered again.

        An entry whose address is overwritten counts as silent.

        Parameters: `leader_revision` is the revision of the leader key as this leader
        wrote it.
        """
        now = self._clock()
        for entry in self.entries():
            address = (entry.host, entry.port)
            key = self._key_by_address.get(address)
            if key is None:
                continue
            if await self.promise(entry, epoch):
                self._silent_since_by_key.pop(key, None)
                continue
            if await self._deregister_if_long_silent(key, now, leader_revision):
                self._entry_by_address.pop(address, None)
        for key in list(self._unknown_keys):
            if await self._deregister_if_long_silent(key, now, leader_revision):
                self._unknown_keys.discard(key)

    async def _deregister_if_long_silent(
        self, key: str, now: float, leader_revision: int
    ) -> bool:
        """Return whether the key was deleted; if not, its entry may still claim."""
        since = self._silent_since_by_key.setdefault(key, now)
        if now - since < DEREGISTER_AFTER_SECONDS:
            return False
        leader_unchanged = Compare(LEADER_KEY, leader_revision)
        deleted = await self._store.write(Txn([leader_unchanged], deletes=[key]))
        if not isinstance(deleted, Written):
            return False
        del self._silent_since_by_key[key]
        log.warning("Silent entry deregistered", extra={"entry": key})
        return True


def reaches_store(promise: Follows) -> bool:
    """Return whether the store has lately answered the entry that gave a promise."""
    return promise.store_age < PROBE_INTERVAL_SECONDS * 2
