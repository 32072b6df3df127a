"""The latest changes of the configuration, each with what it replaced.

The store holds one configuration. An operator whose change is refused needs the
difference between the revision that the change was based on and the present one,
and one whose answer was lost needs to know whether the change was accepted, also
when others came after it. So each change leaves a record in its own transaction.
"""

from typing import Any

import msgspec

from wagtailcleat.checked import convert, read_json
from wagtailcleat.configuration.keys import CHANGES
from wagtailcleat.configuration.models import Configuration
from wagtailcleat.configuration.parts import changed, cut
from wagtailcleat.ids import Revision
from wagtailcleat.platform.store import Store
from wagtailcleat.storage import Unavailable

RECORDS_KEPT = 200
MAX_RECORD_BYTES = 16 * 1024


class PartChange(msgspec.Struct, frozen=True):
    """One part of the configuration, before and after; None where it is absent."""

    part: str
    before: Any
    after: Any
    before_known: bool = True


class ChangeRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An accepted change: its id, and each part that it changed as it was before."""

    revision: Revision
    change_id: str
    before_by_part: dict[str, Any]
    cut: bool = False
    """Whether the record was too large: it has the parts' names, or not even these."""


def make_record(before: Configuration, after: Configuration) -> bytes:
    """Return the record of the change from `before` to `after`, as JSON."""
    old = cut(before)
    parts = sorted(changed(before, after))
    kept = {key: _value(old.get(key)) for key in parts}
    record = ChangeRecord(after.revision, after.change_id, kept)
    whole = msgspec.json.encode(record)
    if len(whole) <= MAX_RECORD_BYTES:
        return whole
    for names in (parts, []):
        kept = dict.fromkeys(names)
        short = msgspec.structs.replace(record, before_by_part=kept, cut=True)
        encoded = msgspec.json.encode(short)
        if len(encoded) <= MAX_RECORD_BYTES:
            break
    return encoded


async def read_records(store: Store) -> list[ChangeRecord] | Unavailable:
    """Return the records that are kept, the oldest first."""
    listing = await store.list(CHANGES)
    if isinstance(listing, Unavailable):
        return listing
    records = [convert(read_json(found.value), ChangeRecord) for found in listing.found]
    return sorted(records, key=lambda record: record.revision)


def revision_of(records: list[ChangeRecord], change_id: str) -> Revision | None:
    """Return the revision that a change was accepted as, if it was."""
    found = (r.revision for r in records if r.change_id == change_id)
    return next(found, None)


def changes_since(
    base: Revision, records: list[ChangeRecord], current: Configuration
) -> list[PartChange] | None:
    """Return what differs between revision `base` and `current`.

    None where the records no longer reach back to `base`, or one of them was too
    large to tell even which parts changed.
    """
    later = [r for r in records if base < r.revision <= current.revision]
    if len(later) != current.revision - base:
        return None
    if any(record.cut and not record.before_by_part for record in later):
        return None
    new = cut(current)
    change_by_part: dict[str, PartChange] = {}
    for record in later:
        for part, before in record.before_by_part.items():
            after = _value(new.get(part))
            change = PartChange(part, before, after, not record.cut)
            change_by_part.setdefault(part, change)
    return [
        change
        for _, change in sorted(change_by_part.items())
        if change.before != change.after or not change.before_known
    ]


def difference(before: Configuration, after: Configuration) -> list[PartChange]:
    """Return each part that differs between two configurations."""
    old = cut(before)
    return [
        PartChange(part, _value(old.get(part)), _value(value))
        for part, value in sorted(changed(before, after).items())
    ]


def _value(encoded: bytes | None) -> Any:
    return msgspec.json.decode(encoded) if encoded else None
