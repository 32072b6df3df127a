"""The one way to change the configuration: compare-and-swap on its revision."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from wagtailcleat.configuration.check import problems
from wagtailcleat.configuration.history import (
    RECORDS_KEPT,
    PartChange,
    changes_since,
    make_record,
    read_records,
    revision_of,
)
from wagtailcleat.configuration.keys import CONFIGURATION, ZONES_OUT, change_record
from wagtailcleat.configuration.models import Configuration
from wagtailcleat.errors import SettingsError
from wagtailcleat.ids import Revision
from wagtailcleat.platform.store import Store
from wagtailcleat.storage import (
    Absent,
    Compare,
    Found,
    Txn,
    Unavailable,
    Unknown,
    Written,
)

SETTLE_TRIES = 3
SETTLE_PAUSE_SECONDS = 0.2


@dataclass(frozen=True)
class Accepted:
    """The change is in the store: it will be in force everywhere in seconds.

    `revision` is the change's own; others may have come after it already, and
    `configuration` is the newest read.
    """

    revision: Revision
    configuration: Configuration


@dataclass(frozen=True)
class Raced:
    """Another change came first; nothing was written.

    `changes` is what differs from the operator's base; None where that is too old.
    """

    base: Revision
    current: Configuration
    changes: list[PartChange] | None


@dataclass(frozen=True)
class Faulty:
    """The change does not hang together; nothing was written."""

    problems: list[str]


@dataclass(frozen=True)
class Missing:
    """What the change names is not in the configuration; nothing was written."""

    reason: str


@dataclass(frozen=True)
class StoreFailed:
    """The store did not answer; `unknown` tells whether it may have written."""

    reason: str
    unknown: bool


Changed = Accepted | Raced | Faulty | Missing | StoreFailed
Change = Callable[[Configuration], Configuration | Missing]


@dataclass(frozen=True)
class Stored:
    """The accepted configuration and the store's revision of its key."""

    configuration: Configuration
    mod_revision: int


def decode(value: bytes) -> Configuration:
    """Return the configuration that the store's value holds."""
    # Read by its type, not problem by problem: at the target size the slow reading
    # held an entry up for 90 ms a change. What is stored was checked when written.
    try:
        return msgspec.json.decode(value, type=Configuration)
    except msgspec.MsgspecError as error:
        raise SettingsError([f"{CONFIGURATION}: {error}"]) from None


async def read(store: Store) -> Stored | Unavailable:
    """Return the accepted configuration; revision 0 where there is none yet."""
    found = await store.get(CONFIGURATION)
    if isinstance(found, Found):
        return Stored(decode(found.value), found.mod_revision)
    if isinstance(found, Absent):
        return Stored(Configuration(), 0)
    return found


async def write(
    store: Store, base: Revision | None, change_id: str, change: Change
) -> Changed:
    """Apply `change` to the accepted configuration.

    Parameters: `base` is the revision that the operator saw (None: any, for a
    change that does not depend on it); `change_id` makes a repeated call the same
    change, also when other changes came after its first call.
    """
    for _ in range(SETTLE_TRIES):
        stored = await read(store)
        if isinstance(stored, Unavailable):
            return StoreFailed(stored.reason, unknown=False)
        current = stored.configuration
        earlier = await _accepted_or_raced(store, base, change_id, current)
        if earlier is not None:
            return earlier
        after = checked_change(current, change_id, change)
        if not isinstance(after, Configuration):
            return after
        if after.revision == current.revision:
            return Accepted(current.revision, current)
        txn = _txn(stored, after)
        outcome = await store.write(txn)
        if isinstance(outcome, Written):
            return Accepted(after.revision, after)
        if isinstance(outcome, Unavailable):
            return StoreFailed(outcome.reason, unknown=False)
        if isinstance(outcome, Unknown):
            return await _settle(store, txn, base, after, outcome)
    return StoreFailed("other changes kept coming first", unknown=False)


def checked_change(
    current: Configuration, change_id: str, change: Change
) -> Configuration | Faulty | Missing:
    """Return the configuration after `change`; `current` where it changes nothing."""
    changed = change(current)
    if isinstance(changed, Missing):
        return changed
    if changed == current:
        return current
    revision = Revision(current.revision + 1)
    after = msgspec.structs.replace(changed, revision=revision, change_id=change_id)
    found = problems(after)
    return Faulty(found) if found else after


async def raced(
    store: Store, base: Revision, current: Configuration
) -> Raced | StoreFailed:
    """Return the refusal of a change whose base is not the present revision."""
    records = await read_records(store)
    if isinstance(records, Unavailable):
        return StoreFailed(records.reason, unknown=False)
    return Raced(base, current, changes_since(base, records, current))


async def _accepted_or_raced(
    store: Store, base: Revision | None, change_id: str, current: Configuration
) -> Accepted | Raced | StoreFailed | None:
    # The same change may have been accepted on an earlier call whose answer was
    # lost, and others after it. Were it taken for new, a zone taken out by it and
    # since brought back by another operator would be out a second time.
    records = await read_records(store)
    if isinstance(records, Unavailable):
        return StoreFailed(records.reason, unknown=False)
    revision = revision_of(records, change_id)
    if revision is not None:
        return Accepted(revision, current)
    if base is None or base == current.revision:
        return None
    return Raced(base, current, changes_since(base, records, current))


async def _settle(
    store: Store,
    txn: Txn,
    base: Revision | None,
    after: Configuration,
    unknown: Unknown,
) -> Changed:
    # The answer of a write was lost. The same transaction, sent again, can take
    # effect at most once (its compare holds once), so a repeat is safe; and the
    # record of the change, read back, tells whose write it was.
    for _ in range(SETTLE_TRIES):
        await asyncio.sleep(SETTLE_PAUSE_SECONDS)
        outcome = await store.write(txn)
        if isinstance(outcome, Written):
            return Accepted(after.revision, after)
        stored = await read(store)
        if isinstance(stored, Unavailable):
            continue
        current = stored.configuration
        if current.change_id == after.change_id:
            return Accepted(after.revision, current)
        if current.revision < after.revision:
            continue
        records = await read_records(store)
        if isinstance(records, Unavailable):
            continue
        if revision_of(records, after.change_id) is not None:
            return Accepted(after.revision, current)
        seen = Revision(after.revision - 1) if base is None else base
        return Raced(seen, current, changes_since(seen, records, current))
    return StoreFailed(unknown.reason, unknown=True)


def _txn(stored: Stored, after: Configuration) -> Txn:
    puts = {
        CONFIGURATION: msgspec.json.encode(after),
        change_record(after.revision): make_record(stored.configuration, after),
    }
    if sorted(after.zones_out) != sorted(stored.configuration.zones_out):
        # Every assignment's commit compares this key, so that no commit made
        # after a zone was taken out can place a task there.
        puts[ZONES_OUT] = json.dumps(sorted(after.zones_out)).encode()
    compare = Compare(CONFIGURATION, mod_revision=stored.mod_revision)
    deletes = []
    if after.revision > RECORDS_KEPT:
        deletes = [change_record(Revision(after.revision - RECORDS_KEPT))]
    return Txn([compare], puts, deletes=deletes)
