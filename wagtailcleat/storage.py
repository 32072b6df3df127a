"""Requests to and outcomes of a key-value store, independent of its product.

Outcomes are values. A write whose answer is lost is `Unknown`: it may have taken
effect or may still do so.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Found:
    """A key and its value; `mod_revision` is the store revision of its last write."""

    key: str
    value: bytes
    mod_revision: int
    create_revision: int = 0
    """Store revision of the write that created the key; 0: not known."""


@dataclass(frozen=True)
class Listing:
    """All keys with a prefix, as of `store_revision`."""

    found: list[Found]
    store_revision: int


@dataclass(frozen=True)
class Absent:
    """The key does not exist."""

    store_revision: int = 0


@dataclass(frozen=True)
class Written:
    """The transaction took effect, at `store_revision`."""

    store_revision: int


@dataclass(frozen=True)
class Conflict:
    """A compare did not hold; nothing was written.

    `current` has the current values of the compared keys, where the store returns
    them; a compared key that is not among them does not exist.
    """

    current: tuple[Found, ...] = ()


@dataclass(frozen=True)
class Unknown:
    """The transaction may have taken effect or may still do so."""

    reason: str


@dataclass(frozen=True)
class Unavailable:
    """The store did not accept the call; nothing was written."""

    reason: str


@dataclass(frozen=True)
class Leased:
    """A store lease and its remaining time in seconds."""

    id: str
    seconds: float


@dataclass(frozen=True)
class LeaseGone:
    """The lease has expired."""


@dataclass(frozen=True)
class Compare:
    """A condition on one key: its modification revision, its value or its absence."""

    key: str
    mod_revision: int | None = None
    value: bytes | None = None
    absent: bool = False


@dataclass(frozen=True)
class Txn:
    """A transaction: if all compares hold, apply all puts and deletes atomically.

    `leased_puts` are bound to `lease` and deleted when it expires.
    """

    compares: list[Compare]
    puts: dict[str, bytes] = field(default_factory=dict)
    leased_puts: dict[str, bytes] = field(default_factory=dict)
    lease: str = ""
    deletes: list[str] = field(default_factory=list)
    delete_ranges: list[tuple[str, str]] = field(default_factory=list)
    """Ranges of keys, from the first (inclusive) to the second (exclusive)."""


@dataclass(frozen=True)
class Event:
    """A change reported by a watch; `value` is None where the key was deleted."""

    key: str
    value: bytes | None
    mod_revision: int


@dataclass(frozen=True)
class Changes:
    """The changes of keys with a prefix, up to `store_revision`."""

    events: list[Event]
    store_revision: int


@dataclass(frozen=True)
class HistoryGone:
    """The store has compacted the requested history: list again, then watch on."""


WriteOutcome = Written | Conflict | Unknown | Unavailable
