"""What the leader has learnt of images, kept in the store for the next leader.

It is advice only: a value that is lost, late or unreadable costs time to learn it anew.
"""

import asyncio

import msgspec

from wagtailcleat.cluster.keys import INTERFERENCE_KEY, LEADER_KEY, decode, encode
from wagtailcleat.cluster.leader_lease import LeaderLease
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.keyvalue import KeyValueStore
from wagtailcleat.scheduling.interference import Interference, Learnt
from wagtailcleat.storage import Compare, Found, Txn, Unavailable

log = part_logger("leader")

RETRY_PAUSE_SECONDS = 0.5
WRITE_INTERVAL_SECONDS = 4.0
"""Pause between two writes: each is a priced call, and pairs are known in seconds."""


async def persist_interference(
    interference: Interference, lease: LeaderLease, store: KeyValueStore
) -> None:
    """Take over what earlier leaders learnt, then store what is learnt, for ever."""
    await _restore(interference, store)
    stored = interference.learnt()
    while True:
        learnt = interference.learnt()
        if learnt != stored:
            leader_unchanged = Compare(LEADER_KEY, lease.leader_revision)
            await store.write(
                Txn([leader_unchanged], {INTERFERENCE_KEY: encode(learnt)})
            )
            stored = learnt
        await asyncio.sleep(WRITE_INTERVAL_SECONDS)


async def _restore(interference: Interference, store: KeyValueStore) -> None:
    found = await store.get(INTERFERENCE_KEY)
    while isinstance(found, Unavailable):
        await asyncio.sleep(RETRY_PAUSE_SECONDS)
        found = await store.get(INTERFERENCE_KEY)
    if not isinstance(found, Found):
        return
    try:
        learnt = decode(found.value, Learnt)
    except msgspec.MsgspecError:
        log.warning("What was learnt is unreadable", extra={"bytes": len(found.value)})
        return
    interference.restore(learnt)
    log.info("Restored what was learnt", extra={"pairs": len(learnt.added)})
