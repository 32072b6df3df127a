"""Entries and agents that are registered in the store, under their nodes' names."""

import re
from collections.abc import Sequence
from dataclasses import dataclass

from wagtailcleat.cluster.keys import AGENT_PREFIX, ProcessInfo
from wagtailcleat.cluster.stored_values import StoredValues, Unreadable, decode_stored
from wagtailcleat.configuration.models import NAME_PATTERN
from wagtailcleat.ids import NodeId
from wagtailcleat.platform.keyvalue import KeyValueStore
from wagtailcleat.storage import Changes, Event, Found

HISTORY_SECONDS = 0.1
"""How long the store waits for events; those asked for have happened."""


@dataclass(frozen=True)
class Registration:
    """The key of a process that exists, or that may exist."""

    node: NodeId
    key: str
    created: int
    """Revision at which the key was created."""
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
            Registration(
                NodeId(name), found.key, found.create_revision, found.mod_revision, info
            )
        )
    return registrations


async def read_agents(
    store: KeyValueStore, values: StoredValues, found: Sequence[Found]
) -> list[Registration]:
    """Return the registered agents, given the keys of agents.

    A key to which no process has ever written, by the store's history, is left out; one
    whose history is not known in full stays.
    """
    registrations = read_registrations(values, found, AGENT_PREFIX)
    overwritten = [each for each in registrations if each.process is None]
    if not overwritten:
        return registrations
    first = min(each.created for each in overwritten)
    changes = await store.changes(AGENT_PREFIX, first - 1, wait_seconds=HISTORY_SECONDS)
    if not isinstance(changes, Changes):
        return registrations
    return [
        each
        for each in registrations
        if each.process is not None or not _is_odd(each, changes.events)
    ]


def _is_odd(registration: Registration, events: list[Event]) -> bool:
    """Return whether each value of a key, from its creation on, is unreadable."""
    created, revision = registration.created, registration.revision
    values = [
        Found(event.key, event.value, event.mod_revision, created)
        for event in events
        if event.key == registration.key
        and event.value is not None
        and created <= event.mod_revision <= revision
    ]
    if not {created, revision} <= {found.mod_revision for found in values}:
        return False
    return all(
        isinstance(decode_stored(found, ProcessInfo), Unreadable) for found in values
    )
