"""Write the leader's keys while an entry leads, and restore them if overwritten.

A claim writes both the leader key and the heartbeat key. So no other entry has claimed
if one of them is still as this leader has written it, whatever another program has
stored under the other one.

Used by `lease_renewer` only.
"""

from wagtailcleat.cluster.claims import at_revision
from wagtailcleat.cluster.keys import (
    HEARTBEAT_KEY,
    LEADER_KEY,
    LeaderHeartbeat,
    encode,
)
from wagtailcleat.cluster.leader_lease import LeaderLease, is_later_claim
from wagtailcleat.cluster.stored_values import Unreadable, decode_stored
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.keyvalue import KeyValueStore
from wagtailcleat.storage import Conflict, Found, Txn, WriteOutcome, Written

log = part_logger("leadership")


async def write_heartbeat(
    store: KeyValueStore,
    lease: LeaderLease,
    *,
    now: float,
    wall_now: float,
    stepped_down: bool,
) -> WriteOutcome:
    """Write the heartbeat, and the leader key if it was overwritten.

    Parameters: `now` in seconds on this process's clock, `wall_now` on the wall clock.
    """
    predecessors_expired = now >= lease.predecessors_until
    heartbeat = LeaderHeartbeat(
        predecessors_expired,
        stepped_down,
        written_at=wall_now,
        epoch=lease.epoch,
    )
    puts = {HEARTBEAT_KEY: encode(heartbeat)}
    rewrites_leader = lease.is_key_overwritten
    if rewrites_leader:
        puts[LEADER_KEY] = lease.leader_value
    unchanged = [
        at_revision(LEADER_KEY, lease.leader_revision),
        at_revision(HEARTBEAT_KEY, lease.heartbeat_revision),
    ]
    outcome = await store.write(Txn(unchanged, puts))
    if isinstance(outcome, Written):
        lease.heartbeat_revision = outcome.store_revision
        if rewrites_leader:
            lease.leader_revision = outcome.store_revision
            lease.is_key_overwritten = False
        if predecessors_expired and lease.predecessors_expired_revision is None:
            lease.predecessors_expired_revision = outcome.store_revision
    return outcome


def adopt_revisions(lease: LeaderLease, conflict: Conflict) -> bool:
    """Adopt the keys' revisions; return False if another entry may have claimed."""
    found_by_key = {found.key: found for found in conflict.current}
    leader = found_by_key.get(LEADER_KEY)
    heartbeat = found_by_key.get(HEARTBEAT_KEY)
    if leader is None or not _holds_keys(lease, leader, heartbeat):
        log.warning("Another entry has claimed", extra={"epoch": lease.epoch})
        return False
    if leader.mod_revision != lease.leader_revision:
        lease.is_key_overwritten = leader.value != lease.leader_value
        lease.leader_revision = leader.mod_revision
        if lease.is_key_overwritten:
            fields = {"epoch": lease.epoch, "revision": leader.mod_revision}
            log.error("The leader key was overwritten", extra=fields)
    # An earlier renewal that was not answered may have taken effect.
    lease.heartbeat_revision = heartbeat.mod_revision if heartbeat else 0
    return True


def _holds_keys(lease: LeaderLease, leader: Found, heartbeat: Found | None) -> bool:
    """Return whether no other entry has claimed, by the keys as found."""
    if leader.mod_revision == lease.leader_revision:
        return True
    if is_later_claim(leader, lease.epoch) or heartbeat is None:
        return False
    if heartbeat.mod_revision == lease.heartbeat_revision:
        return True
    stored = decode_stored(heartbeat, LeaderHeartbeat)
    return not isinstance(stored, Unreadable) and stored.epoch == lease.epoch
