"""Keep what the leader has learned in the store for the next leader.

The values are hints: if they are lost, late or unreadable, they are learned again.
"""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from wagtailcleat.cluster.keys import (
    INTERFERENCE_KEY,
    LEADER_KEY,
    RUN_TIMES_KEY,
    encode,
)
from wagtailcleat.cluster.leader_lease import LeaderLease
from wagtailcleat.cluster.stored_values import Unreadable, decode_stored
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.keyvalue import KeyValueStore
from wagtailcleat.scheduling.interference import StoredEstimates
from wagtailcleat.scheduling.run_times import StoredRunTimes
from wagtailcleat.scheduling.scheduler import Scheduler
from wagtailcleat.storage import Compare, Found, Txn, Unavailable

log = part_logger("leader")

RETRY_PAUSE_SECONDS = 0.5
WRITE_INTERVAL_SECONDS = 4.0
"""Pause between writes: each call is charged, and pairs are measured in seconds."""


@dataclass(frozen=True)
class LearntPart:
    """A part of what the leader learns, and its key in the store."""

    key: str
    kind: type
    export: Callable[[], Any]
    """Returns the values to store, of type `kind`."""
    restore: Callable[[Any], None]
    """Takes the values that an earlier leader has stored."""


def learnt_parts(scheduler: Scheduler) -> list[LearntPart]:
    """Return what a leader's scheduler learns."""
    interference, run_times = scheduler.sharing.interference, scheduler.run_times
    return [
        LearntPart(
            INTERFERENCE_KEY,
            StoredEstimates,
            interference.export,
            interference.restore,
        ),
        LearntPart(RUN_TIMES_KEY, StoredRunTimes, run_times.export, run_times.restore),
    ]


async def persist_learnt(
    parts: Sequence[LearntPart], lease: LeaderLease, store: KeyValueStore
) -> None:
    """Restore the values of earlier leaders, then store changes until cancelled.

    One write has all parts that have changed.
    """
    for part in parts:
        await _restore(part, store)
    stored = {part.key: encode(part.export()) for part in parts}
    while True:
        values = {part.key: encode(part.export()) for part in parts}
        changed = {key: value for key, value in values.items() if value != stored[key]}
        if changed:
            leader_unchanged = Compare(LEADER_KEY, lease.leader_revision)
            await store.write(Txn([leader_unchanged], changed))
            stored = values
        await asyncio.sleep(WRITE_INTERVAL_SECONDS)


async def _restore(part: LearntPart, store: KeyValueStore) -> None:
    found = await store.get(part.key)
    while isinstance(found, Unavailable):
        await asyncio.sleep(RETRY_PAUSE_SECONDS)
        found = await store.get(part.key)
    if not isinstance(found, Found):
        return
    values: Any = decode_stored(found, part.kind)
    if isinstance(values, Unreadable):
        log.warning(
            "What was learnt is unreadable",
            extra={"key": part.key, "bytes": len(found.value)},
        )
        return
    part.restore(values)
    log.info(
        "Restored what was learnt", extra={"key": part.key, "bytes": len(found.value)}
    )
