"""What a key-value store is asked and what it answers, whichever store it is.

Outcomes are values. A write whose answer is lost is `Unknown`: it may have taken
effect, now or later.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Found:
    """A key's value; `mod_revision` is the store's revision of its last write."""

    key: str
    value: bytes
    mod_revision: int


@dataclass(frozen=True)
class Listing:
    """All keys under a prefix."""

    found: list[Found]
    store_revision: int


@dataclass(frozen=True)
class Absent:
    """There is no such key."""

    store_revision: int = 0


@dataclass(frozen=True)
class Written:
    """The transaction took effect."""

    store_revision: int


@dataclass(frozen=True)
class Conflict:
    """A compare did not hold; nothing was written.

    `current` holds the keys of the compares as they stand, where the store tells;
    a key that is not among them does not exist.
    """

    current: tuple[Found, ...] = ()


@dataclass(frozen=True)
class Unknown:
    """The transaction may have taken effect, or may yet."""

    reason: str


@dataclass(frozen=True)
class Unavailable:
    """The store did not take the call; nothing was written by it."""

    reason: str


@dataclass(frozen=True)
class Leased:
    """A store lease and the seconds it still lasts."""

    id: str
    seconds: float


@dataclass(frozen=True)
class LeaseGone:
    """The lease has lapsed."""


@dataclass(frozen=True)
class Compare:
    """A condition on one key: its mod revision, its value, or that it is absent."""

    key: str
    mod_revision: int | None = None
    value: bytes | None = None
    absent: bool = False


@dataclass(frozen=True)
class Txn:
    """All compares hold: then all puts and deletes, at once."""

    compares: list[Compare]
    puts: dict[str, bytes] = field(default_factory=dict)
    leased_puts: dict[str, bytes] = field(default_factory=dict)
    lease: str = ""
    deletes: list[str] = field(default_factory=list)
    delete_ranges: list[tuple[str, str]] = field(default_factory=list)
    """From the first key on, up to but without the second."""


@dataclass(frozen=True)
class Event:
    """A change that a watch saw; `value` is None where the key was deleted."""

    key: str
    value: bytes | None
    mod_revision: int


@dataclass(frozen=True)
class Changes:
    """What happened under a prefix, up to `store_revision`."""

    events: list[Event]
    store_revision: int


@dataclass(frozen=True)
class HistoryGone:
    """The store no longer knows what happened: list again, then watch from there."""


WriteOutcome = Written | Conflict | Unknown | Unavailable
