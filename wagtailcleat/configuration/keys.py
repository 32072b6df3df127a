"""Keys in the platform's store, all below one prefix."""

from wagtailcleat.ids import Revision, ShardId

PREFIX = "/wagtailcleat/"
CONFIGURATION = PREFIX + "configuration"
ZONES_OUT = PREFIX + "zones_out"
CHANGES = PREFIX + "changes/"


def shard_prefix(shard: ShardId) -> str:
    """Return the prefix of all keys of a shard."""
    return f"{PREFIX}shards/{shard:04d}/"


def shard_epoch(shard: ShardId) -> str:
    """Return the key of a shard's epoch; every commit compares it."""
    return shard_prefix(shard) + "epoch"


def shard_owner(shard: ShardId) -> str:
    """Return the key that names a shard's owner while its store lease lasts."""
    return shard_prefix(shard) + "owner"


def shard_snapshot(shard: ShardId) -> str:
    """Return the key that tells of how many parts a shard's snapshot consists."""
    return shard_prefix(shard) + "snapshot"


def shard_snapshot_part(shard: ShardId, index: int) -> str:
    """Return the key of one part of a shard's snapshot."""
    return f"{shard_snapshot(shard)}/{index:04d}"


def shard_earlier(shard: ShardId) -> str:
    """Return the key of the earlier owners that may still hand out grants."""
    return shard_prefix(shard) + "earlier"


def shard_log(shard: ShardId) -> str:
    """Return the prefix of a shard's log entries."""
    return shard_prefix(shard) + "log/"


def shard_log_entry(shard: ShardId, number: int) -> str:
    """Return the key of one log entry."""
    return f"{shard_log(shard)}{number:012d}"


def change_record(revision: Revision) -> str:
    """Return the key that records what the change to `revision` replaced."""
    return f"{CHANGES}{revision:012d}"
