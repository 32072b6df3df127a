"""Decode what the store holds: a value within its bounds, or `Unreadable`.

Other programs can write to the store. Every value that a process reads there passes
through `StoredValues.read`, whose result must be checked before it can be used.
"""

import math
import re
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

from wagtailcleat.addresses import address_problem
from wagtailcleat.cluster.keys import (
    MAX_EPOCH,
    LeaderHeartbeat,
    ProcessInfo,
    decode,
    kind_of_key,
)
from wagtailcleat.configuration.models import NAME_PATTERN
from wagtailcleat.logs import part_logger
from wagtailcleat.scheduling.job_bounds import job_problem
from wagtailcleat.scheduling.models import Job
from wagtailcleat.storage import Found
from wagtailcleat.wire.scheduling import Leads

log = part_logger("store")

T = TypeVar("T")

MAX_INTEGER = 2**53
"""Larger integers are not exact in JSON, and no stored field holds them."""
MAX_LOGGED_KEYS = 1_000
"""Number of keys whose last unreadable revision is remembered."""


@dataclass(frozen=True)
class Unreadable:
    """A stored value that can't be used; `why` is for the log."""

    why: str


class StoredValues:
    """Decodes stored values; counts and logs each unreadable one once."""

    def __init__(self) -> None:
        """Start with no unreadable value."""
        self.unreadable_by_kind: Counter[str] = Counter()
        """Unreadable values that were found, by kind of key; a rewrite counts again."""
        self._revision_by_key: dict[str, int] = {}

    def __repr__(self) -> str:
        """Show how many values were unreadable."""
        return f"<StoredValues: {self.unreadable_by_kind.total()} unreadable>"

    def read(self, found: Found, kind: type[T]) -> T | Unreadable:
        """Return the value of type `kind` that a key holds."""
        value = decode_stored(found, kind)
        if isinstance(value, Unreadable):
            self.reject(found, value.why)
        return value

    def reject(self, found: Found, why: str) -> None:
        """Count and log a key that can't be used, once per revision."""
        known = self._revision_by_key.pop(found.key, None)
        self._revision_by_key[found.key] = found.mod_revision
        if known == found.mod_revision:
            return
        if len(self._revision_by_key) > MAX_LOGGED_KEYS:
            del self._revision_by_key[next(iter(self._revision_by_key))]
        self.unreadable_by_kind[kind_of_key(found.key)] += 1
        fields = {"key": found.key, "revision": found.mod_revision, "why": why}
        log.error("Stored value is unreadable", extra=fields)


def decode_stored(found: Found, kind: type[T]) -> T | Unreadable:
    """Return the value of type `kind` that a key holds, within its bounds."""
    try:
        value = decode(found.value, kind)
    except (msgspec.MsgspecError, RecursionError) as error:
        return Unreadable(str(error))
    why = _problem(value, found.mod_revision)
    return Unreadable(why) if why else value


def _problem(value: Any, revision: int) -> str:
    """Return what is out of bounds in a value written at a revision; "" if nothing."""
    match value:
        case Leads():
            return (
                address_problem(value.host, value.port)
                or _epoch_problem(value.epoch, revision, least=1)
                or _integer_problem("incarnation", value.incarnation)
                or _node_problem(value.node)
            )
        case ProcessInfo():
            return (
                address_problem(value.host, value.port)
                or _integer_problem("incarnation", value.incarnation)
                or _number_problem("weight", value.weight)
            )
        case LeaderHeartbeat():
            return _number_problem("written_at", value.written_at) or _epoch_problem(
                value.epoch, revision, least=0
            )
        case Job():
            return job_problem(value)
    return ""


def _epoch_problem(epoch: int, revision: int, *, least: int) -> str:
    # Each claim raises the epoch by one and the store's revision by one or more, so no
    # leader has written an epoch above the revision of its own write.
    if not least <= epoch <= min(revision, MAX_EPOCH):
        return f"epoch {epoch} is out of range"
    return ""


def _node_problem(node: str) -> str:
    return "" if re.fullmatch(NAME_PATTERN, node) else "the node has no valid name"


def _integer_problem(name: str, value: int) -> str:
    return "" if 0 <= value <= MAX_INTEGER else f"{name} {value} is out of range"


def _number_problem(name: str, value: float) -> str:
    in_range = math.isfinite(value) and 0 <= value <= MAX_INTEGER
    return "" if in_range else f"{name} {value} is out of range"


def unreadable_counts(values: StoredValues) -> Mapping[str, float]:
    """Return the number of unreadable values by kind, for the metrics."""
    return dict(values.unreadable_by_kind)
