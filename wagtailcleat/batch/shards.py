"""Which shard a job belongs to, and which agent should own a shard."""

import hashlib
import math
from heapq import nlargest

from wagtailcleat.configuration.models import Team
from wagtailcleat.ids import JobId, NodeId, ShardId, TeamName


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def make_job_id(shard: ShardId, team: TeamName, name: str) -> JobId:
    """Return the id of the job that `team` calls `name`."""
    return JobId(f"{shard}.{team}.{name}")


def job_name(job: JobId) -> str:
    """Return what the team calls the job."""
    return job.split(".", 2)[2]


def find_shard(team: Team, name: str, shards: int) -> ShardId:
    """Return the shard of the job that `team` calls `name`.

    A team's jobs share a few shards, so that its quota is kept by those shards'
    owners alone, each holding an equal part of it.
    """
    index = _hash(f"{team.name}.{name}") % team.shards
    return team_shards(team, shards)[index]


def team_shards(team: Team, shards: int) -> list[ShardId]:
    """Return the shards that hold a team's jobs; one may stand twice."""
    first = _hash(team.name)
    return [ShardId((first + index) % shards) for index in range(team.shards)]


def rank_nodes(shard: ShardId, nodes: list[NodeId], count: int) -> list[NodeId]:
    """Return the `count` nodes that should own `shard`, the first one first.

    By highest hash of the pair: when a node goes, only its own shards move.
    """
    return nlargest(count, nodes, key=lambda node: _hash(f"{shard}|{node}"))


def fair_share(shards: int, nodes: int) -> int:
    """Return how many shards a node holds where all hold about the same."""
    return math.ceil(shards / max(nodes, 1))
