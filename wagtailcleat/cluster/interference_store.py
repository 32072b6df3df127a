"""Keep the interference measured between images in the store for the next leader.

The values are hints: if they are lost, late or unreadable, they are measured again.
"""

import asyncio

import msgspec

from wagtailcleat.cluster.keys import INTERFERENCE_KEY, LEADER_KEY, decode, encode
from wagtailcleat.cluster.leader_lease import LeaderLease
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.keyvalue import KeyValueStore
from wagtailcleat.scheduling.interference import Interference, StoredEstimates
from wagtailcleat.storage import Compare, Found, Txn, Unavailable

log = part_logger("leader")

RETRY_PAUSE_SECONDS = 0.5
WRITE_INTERVAL_SECONDS = 4.0
"""Pause between writes: each call is charged, and pairs are measured in seconds."""


async def persist_interference(
    interference: Interference, lease: LeaderLease, store: KeyValueStore
) -> None:
    """Restore the values of earlier leaders, then store changes until cancelled."""
    await _restore(interference, store)
    stored = interference.export()
    while True:
        estimates = interference.export()
        if estimates != stored:
            leader_unchanged = Compare(LEADER_KEY, lease.leader_revision)
            await store.write(
                Txn([leader_unchanged], {INTERFERENCE_KEY: encode(estimates)})
            )
            stored = estimates
        await asyncio.sleep(WRITE_INTERVAL_SECONDS)


async def _restore(interference: Interference, store: KeyValueStore) -> None:
    found = await store.get(INTERFERENCE_KEY)
    while isinstance(found, Unavailable):
        await asyncio.sleep(RETRY_PAUSE_SECONDS)
        found = await store.get(INTERFERENCE_KEY)
    if not isinstance(found, Found):
        return
    try:
        estimates = decode(found.value, StoredEstimates)
    except msgspec.MsgspecError:
        log.warning(
            "Stored interference is unreadable", extra={"bytes": len(found.value)}
        )
        return
    interference.restore(estimates)
    log.info("Restored what was learnt", extra={"pairs": len(estimates.added)})
