"""The one way to change the configuration: compare-and-swap on its revision."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from wagtailcleat.checked import convert, read_json
from wagtailcleat.configuration.check import problems
from wagtailcleat.configuration.keys import CONFIGURATION, ZONES_OUT
from wagtailcleat.configuration.models import Configuration
from wagtailcleat.configuration.parts import changed, cut
from wagtailcleat.ids import Revision
from wagtailcleat.platform.store import (
    Absent,
    Compare,
    Found,
    Store,
    Txn,
    Unavailable,
    Unknown,
    Written,
)

SETTLE_TRIES = 3
SETTLE_PAUSE_SECONDS = 0.2

Change = Callable[[Configuration], Configuration]


@dataclass(frozen=True)
class Accepted:
    """The change is in the store: it will be in force everywhere in seconds."""

    configuration: Configuration


@dataclass(frozen=True)
class Raced:
    """Another change came first; nothing was written."""

    current: Configuration


@dataclass(frozen=True)
class Faulty:
    """The change does not hang together; nothing was written."""

    problems: list[str]


@dataclass(frozen=True)
class StoreFailed:
    """The store did not answer; `unknown` tells whether it may have written."""

    reason: str
    unknown: bool


Changed = Accepted | Raced | Faulty | StoreFailed


@dataclass(frozen=True)
class Stored:
    """The configuration in the store; `mod_revision` is the store's own."""

    configuration: Configuration
    mod_revision: int


def decode(value: bytes) -> Configuration:
    """Return the configuration that the store's value holds."""
    return convert(read_json(value), Configuration)


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
    change.
    """
    for _ in range(SETTLE_TRIES):
        stored = await read(store)
        if isinstance(stored, Unavailable):
            return StoreFailed(stored.reason, unknown=False)
        current = stored.configuration
        if current.change_id == change_id and current.revision > 0:
            return Accepted(current)
        if base is not None and current.revision != base:
            return Raced(current)
        after = msgspec.structs.replace(
            change(current),
            revision=Revision(current.revision + 1),
            change_id=change_id,
        )
        found = problems(after)
        if found:
            return Faulty(found)
        outcome = await store.write(_txn(stored, after))
        if isinstance(outcome, Written):
            return Accepted(after)
        if isinstance(outcome, Unavailable):
            return StoreFailed(outcome.reason, unknown=False)
        if isinstance(outcome, Unknown):
            return await _settle(store, _txn(stored, after), after, outcome)
    return StoreFailed("other changes kept coming first", unknown=False)


async def _settle(
    store: Store, txn: Txn, after: Configuration, unknown: Unknown
) -> Changed:
    # The answer of a write was lost. The same transaction, sent again, can take
    # effect at most once (its compare holds once), so a repeat is safe; and the
    # change id read back tells whose write it was.
    for _ in range(SETTLE_TRIES):
        await asyncio.sleep(SETTLE_PAUSE_SECONDS)
        outcome = await store.write(txn)
        if isinstance(outcome, Written):
            return Accepted(after)
        stored = await read(store)
        if isinstance(stored, Unavailable):
            continue
        if stored.configuration.change_id == after.change_id:
            return Accepted(after)
        if stored.configuration.revision >= after.revision:
            return Raced(stored.configuration)
    return StoreFailed(unknown.reason, unknown=True)


def _txn(stored: Stored, after: Configuration) -> Txn:
    puts = {CONFIGURATION: msgspec.json.encode(after)}
    if sorted(after.zones_out) != sorted(stored.configuration.zones_out):
        # Every assignment's commit compares this key, so that no commit made
        # after a zone was taken out can place a task there.
        puts[ZONES_OUT] = json.dumps(sorted(after.zones_out)).encode()
    compare = Compare(CONFIGURATION, mod_revision=stored.mod_revision)
    return Txn([compare], puts)


def described(before: Configuration, after: Configuration) -> list[dict[str, object]]:
    """Return each changed part, for a diff that an operator reads."""
    old = cut(before)
    return [
        {
            "part": key,
            "before": json.loads(old[key]) if key in old else None,
            "after": json.loads(value) if value else None,
        }
        for key, value in sorted(changed(before, after).items())
    ]
