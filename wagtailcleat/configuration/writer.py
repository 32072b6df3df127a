"""Writes of the configuration: a compare-and-swap on the revision of its key.

The operators' API of an entry makes every change here; nothing else writes the key.
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from wagtailcleat.configuration.check import problems
from wagtailcleat.configuration.history import (
    MAX_RECORDS,
    PartChange,
    accepted_revision,
    changes_since,
    make_record,
    read_records,
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

MAX_ATTEMPTS = 3
RETRY_DELAY_SECONDS = 0.2


@dataclass(frozen=True)
class Accepted:
    """The change is in the store and will be in force everywhere within seconds.

    `revision` is the one that the change made; others may have followed it already,
    and `configuration` is the newest that was read.
    """

    revision: Revision
    configuration: Configuration


@dataclass(frozen=True)
class Raced:
    """The base revision is not the current one; nothing was written.

    `changes` are the parts that differ between `base` and `current`; None where the
    records do not reach back to `base` or one was too large to name its parts.
    """

    base: Revision
    current: Configuration
    changes: list[PartChange] | None


@dataclass(frozen=True)
class Faulty:
    """The change would make the configuration invalid; nothing was written."""

    problems: list[str]


@dataclass(frozen=True)
class Missing:
    """An object that the change names does not exist; nothing was written."""

    reason: str


@dataclass(frozen=True)
class StoreFailed:
    """The store did not answer; `unknown` is true where it may have written."""

    reason: str
    unknown: bool


Changed = Accepted | Raced | Faulty | Missing | StoreFailed
Change = Callable[[Configuration], Configuration | Missing]


@dataclass(frozen=True)
class Stored:
    """The accepted configuration and the store's modification revision of its key."""

    configuration: Configuration
    mod_revision: int


def decode(value: bytes) -> Configuration:
    """Return the configuration encoded in the store's value.

    Raises:
        SettingsError: the value is no configuration.

    """
    # Decoded by msgspec directly. `convert`, which reports every problem, blocks an
    # entry for 90 ms a change at the target size. The value was checked when written.
    try:
        return msgspec.json.decode(value, type=Configuration)
    except msgspec.MsgspecError as error:
        raise SettingsError([f"{CONFIGURATION}: {error}"]) from None


async def read(store: Store) -> Stored | Unavailable:
    """Return the accepted configuration; the empty one, revision 0, where none is."""
    found = await store.get(CONFIGURATION)
    if isinstance(found, Found):
        return Stored(decode(found.value), found.mod_revision)
    if isinstance(found, Absent):
        return Stored(Configuration(), 0)
    return found


async def write(
    store: Store, base: Revision | None, change_id: str, change: Change
) -> Changed:
    """Apply `change` to the accepted configuration and store the result.

    Parameters: `base` is the revision on which the operator based the change (None
    for a change that applies to any); `change_id` makes the call idempotent, also
    when other changes came after its first call.
    """
    for _ in range(MAX_ATTEMPTS):
        stored = await read(store)
        if isinstance(stored, Unavailable):
            return StoreFailed(stored.reason, unknown=False)
        current = stored.configuration
        earlier = await _earlier_outcome(store, base, change_id, current)
        if earlier is not None:
            return earlier
        after = checked_change(current, change_id, change)
        if not isinstance(after, Configuration):
            return after
        if after.revision == current.revision:
            return Accepted(current.revision, current)
        txn = _make_transaction(stored, after)
        outcome = await store.write(txn)
        if isinstance(outcome, Written):
            return Accepted(after.revision, after)
        if isinstance(outcome, Unavailable):
            return StoreFailed(outcome.reason, unknown=False)
        if isinstance(outcome, Unknown):
            return await _resolve_unknown_write(store, txn, base, after, outcome)
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
    """Return the refusal of a change whose base is not the current revision."""
    records = await read_records(store)
    if isinstance(records, Unavailable):
        return StoreFailed(records.reason, unknown=False)
    return Raced(base, current, changes_since(base, records, current))


async def _earlier_outcome(
    store: Store, base: Revision | None, change_id: str, current: Configuration
) -> Accepted | Raced | StoreFailed | None:
    # The same change may have been accepted on an earlier call whose answer was
    # lost, with other changes after it. Applied again, it could take a zone out a
    # second time that another operator has since brought back.
    records = await read_records(store)
    if isinstance(records, Unavailable):
        return StoreFailed(records.reason, unknown=False)
    revision = accepted_revision(records, change_id)
    if revision is not None:
        return Accepted(revision, current)
    if base is None or base == current.revision:
        return None
    return Raced(base, current, changes_since(base, records, current))


async def _resolve_unknown_write(
    store: Store,
    txn: Txn,
    base: Revision | None,
    after: Configuration,
    unknown: Unknown,
) -> Changed:
    # The answer to a write was lost. Sending the same transaction again is safe: its
    # compare holds at most once. The change record, read back, shows which write took
    # effect.
    for _ in range(MAX_ATTEMPTS):
        await asyncio.sleep(RETRY_DELAY_SECONDS)
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
        if accepted_revision(records, after.change_id) is not None:
            return Accepted(after.revision, current)
        base_revision = Revision(after.revision - 1) if base is None else base
        return Raced(
            base_revision, current, changes_since(base_revision, records, current)
        )
    return StoreFailed(unknown.reason, unknown=True)


def _make_transaction(stored: Stored, after: Configuration) -> Txn:
    puts = {
        CONFIGURATION: msgspec.json.encode(after),
        change_record(after.revision): make_record(stored.configuration, after),
    }
    if sorted(after.zones_out) != sorted(stored.configuration.zones_out):
        # The commit of each assignment compares this key, so that none made after
        # a zone was taken out can place a task there.
        puts[ZONES_OUT] = json.dumps(sorted(after.zones_out)).encode()
    compare = Compare(CONFIGURATION, mod_revision=stored.mod_revision)
    deletes = []
    if after.revision > MAX_RECORDS:
        deletes = [change_record(Revision(after.revision - MAX_RECORDS))]
    return Txn([compare], puts, deletes=deletes)
