"""Records of the latest configuration changes, each with the values it replaced.

The store holds only the current configuration. An operator whose change is refused
needs the difference between the base revision of the change and the current one. An
operator whose answer was lost needs to know whether the change was accepted, also
when other changes followed it. So each change writes a record in its own transaction.
"""

from typing import Any

import msgspec

from wagtailcleat.checked import convert, read_json
from wagtailcleat.configuration.keys import CHANGES
from wagtailcleat.configuration.models import Configuration
from wagtailcleat.configuration.parts import changed_parts, split_parts
from wagtailcleat.ids import Revision
from wagtailcleat.platform.store import Store
from wagtailcleat.storage import Unavailable

MAX_RECORDS = 200
MAX_RECORD_BYTES = 16 * 1024


class PartChange(msgspec.Struct, frozen=True):
    """One part of the configuration, before and after; None where it is absent.

    `before_known` is false where the record was too large to hold the old value.
    """

    part: str
    before: Any
    after: Any
    before_known: bool = True


class ChangeRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An accepted change: its id, and the old value of each part that it changed."""

    revision: Revision
    change_id: str
    before_by_part: dict[str, Any]
    cut: bool = False
    """Whether the values were left out for size; the parts' names may be too."""


def make_record(before: Configuration, after: Configuration) -> bytes:
    """Return the record of the change from `before` to `after`, as JSON.

    Where it exceeds `MAX_RECORD_BYTES`, leave out the values, then the names too.
    """
    old_value_by_part = split_parts(before)
    parts = sorted(changed_parts(before, after))
    before_by_part = {key: _decoded(old_value_by_part.get(key)) for key in parts}
    record = ChangeRecord(after.revision, after.change_id, before_by_part)
    encoded_record = msgspec.json.encode(record)
    if len(encoded_record) <= MAX_RECORD_BYTES:
        return encoded_record
    for names in (parts, []):
        before_by_part = dict.fromkeys(names)
        truncated = msgspec.structs.replace(
            record, before_by_part=before_by_part, cut=True
        )
        encoded = msgspec.json.encode(truncated)
        if len(encoded) <= MAX_RECORD_BYTES:
            break
    return encoded


async def read_records(store: Store) -> list[ChangeRecord] | Unavailable:
    """Return the stored records, the oldest first."""
    listing = await store.list(CHANGES)
    if isinstance(listing, Unavailable):
        return listing
    records = [convert(read_json(entry.value), ChangeRecord) for entry in listing.found]
    return sorted(records, key=lambda record: record.revision)


def accepted_revision(records: list[ChangeRecord], change_id: str) -> Revision | None:
    """Return the revision at which the change was accepted, or None if it was not."""
    matching = (r.revision for r in records if r.change_id == change_id)
    return next(matching, None)


def changes_since(
    base: Revision, records: list[ChangeRecord], current: Configuration
) -> list[PartChange] | None:
    """Return the parts that differ between revision `base` and `current`.

    Return None where the records do not reach back to `base`, or where one of them
    was too large to list even the names of the changed parts.
    """
    later_records = [r for r in records if base < r.revision <= current.revision]
    if len(later_records) != current.revision - base:
        return None
    if any(record.cut and not record.before_by_part for record in later_records):
        return None
    new_value_by_part = split_parts(current)
    change_by_part: dict[str, PartChange] = {}
    for record in later_records:
        for part, before in record.before_by_part.items():
            after = _decoded(new_value_by_part.get(part))
            change = PartChange(part, before, after, not record.cut)
            change_by_part.setdefault(part, change)
    return [
        change
        for _, change in sorted(change_by_part.items())
        if change.before != change.after or not change.before_known
    ]


def difference(before: Configuration, after: Configuration) -> list[PartChange]:
    """Return each part that differs between two configurations."""
    old_value_by_part = split_parts(before)
    return [
        PartChange(part, _decoded(old_value_by_part.get(part)), _decoded(value))
        for part, value in sorted(changed_parts(before, after).items())
    ]


def _decoded(encoded: bytes | None) -> Any:
    return msgspec.json.decode(encoded) if encoded else None
