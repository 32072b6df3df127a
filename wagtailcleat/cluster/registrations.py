"""Entries and agents that are registered in the store, under their nodes' names."""

import re
from collections.abc import Sequence
from dataclasses import dataclass

from wagtailcleat.cluster.keys import ProcessInfo
from wagtailcleat.cluster.stored_values import StoredValues, Unreadable
from wagtailcleat.configuration.models import NAME_PATTERN
from wagtailcleat.ids import NodeId
from wagtailcleat.storage import Found


@dataclass(frozen=True)
class Registration:
    """The key of a process that exists, or that may exist."""

    node: NodeId
    key: str
    revision: int
    process: ProcessInfo | None
    """None if another program has overwritten the value."""


def read_registrations(
    values: StoredValues, stored: Sequence[Found], prefix: str
) -> list[Registration]:
    """Return the processes registered under a prefix; pass over what names none.

    An unreadable value that its key was created with is not a process's: entries and
    leaders write readable ones. Any other may have replaced a process's own value.
    """
    registrations = []
    for found in stored:
        name = found.key.removeprefix(prefix)
        if not re.fullmatch(NAME_PATTERN, name):
            values.reject(found, "the key names no node")
            continue
        process = values.read(found, ProcessInfo)
        if not isinstance(process, Unreadable):
            info: ProcessInfo | None = process
        elif found.mod_revision == found.create_revision:
            continue
        else:
            info = None
        registrations.append(
            Registration(NodeId(name), found.key, found.mod_revision, info)
        )
    return registrations
