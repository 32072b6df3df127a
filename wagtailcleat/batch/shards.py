"""Assignment of jobs to shards and of shards to agents, by hashing.

The entries and the owners use it, so that all of them find the same shard.
"""

import hashlib
import math
from heapq import nlargest

from wagtailcleat.configuration.models import Team
from wagtailcleat.ids import JobId, NodeId, ShardId, TeamName


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def make_job_id(shard: ShardId, team: TeamName, name: str) -> JobId:
    """Return the id of the job of `team` named `name`."""
    return JobId(f"{shard}.{team}.{name}")


def job_name(job: JobId) -> str:
    """Return the team's name for the job."""
    return job.split(".", 2)[2]


def find_shard(team: Team, name: str, shards: int) -> ShardId:
    """Return the shard of the job of `team` named `name`.

    A team's jobs are in a few shards only, so that only their owners have to enforce
    its quota, each an equal part of it.
    """
    index = _hash(f"{team.name}.{name}") % team.shards
    return team_shards(team, shards)[index]


def team_shards(team: Team, shards: int) -> list[ShardId]:
    """Return the shards of a team's jobs; a shard may be listed more than once."""
    first = _hash(team.name)
    return [ShardId((first + index) % shards) for index in range(team.shards)]


def rank_nodes(shard: ShardId, nodes: list[NodeId], count: int) -> list[NodeId]:
    """Return the `count` nodes that rank highest for `shard`, the best first.

    This is rendezvous hashing: when a node leaves, only its own shards move.
    """
    return nlargest(count, nodes, key=lambda node: _hash(f"{shard}|{node}"))


def fair_share(shards: int, nodes: int) -> int:
    """Return the most shards that a node owns if they are spread evenly."""
    return math.ceil(shards / max(nodes, 1))
