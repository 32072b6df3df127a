"""Names of all keys in the platform's store, which share one prefix."""

from wagtailcleat.ids import Revision, ShardId

PREFIX = "/wagtailcleat/"
CONFIGURATION = PREFIX + "configuration"
ZONES_OUT = PREFIX + "zones_out"
CHANGES = PREFIX + "changes/"


def shard_prefix(shard: ShardId) -> str:
    """Return the prefix of all keys of a shard."""
    return f"{PREFIX}shards/{shard:04d}/"


def shard_epoch(shard: ShardId) -> str:
    """Return the key of a shard's epoch, the fencing token of its commits."""
    return shard_prefix(shard) + "epoch"


def shard_owner(shard: ShardId) -> str:
    """Return the key that names a shard's owner; it expires with the owner's lease."""
    return shard_prefix(shard) + "owner"


def shard_snapshot(shard: ShardId) -> str:
    """Return the key that holds the number of parts of a shard's snapshot."""
    return shard_prefix(shard) + "snapshot"


def shard_snapshot_part(shard: ShardId, index: int) -> str:
    """Return the key of one part of a shard's snapshot."""
    return f"{shard_snapshot(shard)}/{index:04d}"


def shard_earlier(shard: ShardId) -> str:
    """Return the key of a shard's earlier owners that may still hand out grants."""
    return shard_prefix(shard) + "earlier"


def shard_log(shard: ShardId) -> str:
    """Return the prefix of a shard's log entries."""
    return shard_prefix(shard) + "log/"


def shard_log_entry(shard: ShardId, number: int) -> str:
    """Return the key of one entry of a shard's log."""
    return f"{shard_log(shard)}{number:012d}"


def change_record(revision: Revision) -> str:
    """Return the key of the record of the change that made `revision`."""
    return f"{CHANGES}{revision:012d}"
