"""Scheduling of batch jobs by the owners of shards, one shard per owner."""
