"""The keys, leases and history of the store stand-ins, in memory."""

import secrets
from bisect import bisect_left, insort
from collections import deque
from collections.abc import Callable

import msgspec

HISTORY_LIMIT = 100_000


class KeyValue(msgspec.Struct):
    """The current version of one key."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int


class Event(msgspec.Struct):
    """One put or delete; a delete has version 0."""

    kv: KeyValue

    @property
    def is_delete(self) -> bool:
        """Whether the key was deleted."""
        return self.kv.version == 0


class Lease(msgspec.Struct):
    """A lease and the keys bound to it."""

    ttl: int
    expires_at: float
    keys: set[bytes] = msgspec.field(default_factory=set)


def in_range(key: bytes, start: bytes, end: bytes) -> bool:
    """Return whether `key` is in the range; without `end` it is the key `start`."""
    if not end:
        return key == start
    return key >= start and (end == b"\0" or key < end)


class Keyspace:
    """Versioned keys, with leases and the history that watches read."""

    def __init__(self) -> None:
        """Start empty, at revision 1."""
        self.revision = 1
        self.compacted_revision = 0
        self.lease_by_id: dict[int, Lease] = {}
        self.on_commit: Callable[[list[Event], str], None] = lambda events, cause: None
        self._kv_by_key: dict[bytes, KeyValue] = {}
        self._keys: list[bytes] = []
        self._history: deque[Event] = deque()

    def get(self, key: bytes) -> KeyValue | None:
        """Return the current version of the key, or `None` if it does not exist."""
        return self._kv_by_key.get(key)

    def range(self, start: bytes, end: bytes) -> list[KeyValue]:
        """Return the keys in the range, in order."""
        if not end:
            found = self._kv_by_key.get(start)
            return [found] if found else []
        first = bisect_left(self._keys, start)
        last = len(self._keys) if end == b"\0" else bisect_left(self._keys, end)
        return [self._kv_by_key[key] for key in self._keys[first:last]]

    def put(self, key: bytes, value: bytes, lease: int) -> Event:
        """Put a key at the next revision, which `commit` makes current."""
        old = self._kv_by_key.get(key)
        revision = self.revision + 1
        created = old.create_revision if old else revision
        version = old.version + 1 if old else 1
        kv = KeyValue(key, value, created, revision, version, lease)
        if old is None:
            insort(self._keys, key)
        elif old.lease in self.lease_by_id:
            self.lease_by_id[old.lease].keys.discard(key)
        if lease:
            self.lease_by_id[lease].keys.add(key)
        self._kv_by_key[key] = kv
        return Event(kv)

    def delete(self, start: bytes, end: bytes) -> list[Event]:
        """Delete a range at the next revision, which `commit` makes current."""
        return [self._delete(kv) for kv in self.range(start, end)]

    def commit(self, events: list[Event], cause: str) -> None:
        """Make the next revision current and record its events, if there are any."""
        if not events:
            return
        self.revision += 1
        self._history.extend(events)
        while len(self._history) > HISTORY_LIMIT:
            self.compacted_revision = self._history.popleft().kv.mod_revision
        self.on_commit(events, cause)

    def since(self, revision: int) -> list[Event]:
        """Return the events from `revision` on."""
        return [event for event in self._history if event.kv.mod_revision >= revision]

    def grant(self, ttl: int, now: float) -> int:
        """Grant a lease of `ttl` seconds and return its id."""
        lease_id = secrets.randbits(62) | 1
        self.lease_by_id[lease_id] = Lease(ttl, now + ttl)
        return lease_id

    def keep_alive(self, lease_id: int, now: float) -> int:
        """Renew a lease; return its TTL in seconds, or 0 if it does not exist."""
        self.expire(now)
        lease = self.lease_by_id.get(lease_id)
        if lease is None:
            return 0
        lease.expires_at = now + lease.ttl
        return lease.ttl

    def revoke(self, lease_id: int, cause: str) -> None:
        """Delete a lease and its keys."""
        lease = self.lease_by_id.pop(lease_id)
        found = (self._kv_by_key.get(key) for key in sorted(lease.keys))
        self.commit([self._delete(kv) for kv in found if kv], cause)

    def expire(self, now: float) -> None:
        """Revoke the leases that have expired by `now`."""
        due = [i for i, lease in self.lease_by_id.items() if lease.expires_at <= now]
        for lease_id in due:
            self.revoke(lease_id, "lease")

    def refresh_leases(self, now: float) -> None:
        """Renew each lease for its full TTL, as a new leader of the store does."""
        for lease in self.lease_by_id.values():
            lease.expires_at = now + lease.ttl

    def _delete(self, kv: KeyValue) -> Event:
        del self._kv_by_key[kv.key]
        self._keys.pop(bisect_left(self._keys, kv.key))
        if kv.lease in self.lease_by_id:
            self.lease_by_id[kv.lease].keys.discard(kv.key)
        return Event(KeyValue(kv.key, b"", 0, self.revision + 1, 0, 0))
