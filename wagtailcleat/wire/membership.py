"""Messages of gossip: members, exchanges of views, and probes."""

from enum import Enum

from wagtailcleat.ids import (
    Incarnation,
    NodeId,
    Revision,
    ServiceName,
    ShardId,
    VmName,
    ZoneName,
)
from wagtailcleat.resources import Resources
from wagtailcleat.wire.base import Message
from wagtailcleat.wire.handshake import Role


class MemberState(Enum):
    """What a member says of itself, or others suspect of it."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    LOST = "lost"
    LEFT = "left"


class Member(Message, frozen=True, tag="member"):
    """One node as gossip tells it; a hint, never the ground of a promise.

    The higher (incarnation, version) wins; only the node itself raises `version`,
    but for a suspicion, which carries the version it was raised against.
    """

    node: NodeId
    role: Role
    host: str
    port: int
    zone: ZoneName
    vm: VmName
    incarnation: Incarnation
    version: int
    state: MemberState
    services: list[ServiceName]
    shards: list[ShardId]
    http_port: int = 0


class Gossip(Message, frozen=True, tag="gossip"):
    """One exchange: what changed lately, and what the sender has."""

    sender: NodeId
    revision: Revision
    members: list[Member]
    digest: int
    """Sum over all members known; equal digests mean equal views."""
    free: Resources


class CompareViews(Message, frozen=True, tag="compare_views"):
    """Asks for the members in each bucket whose sum differs from the sender's."""

    sums: list[int]


class Members(Message, frozen=True, tag="members"):
    """Members of the buckets that differ, and the numbers of those buckets."""

    buckets: list[int]
    members: list[Member]


class Probe(Message, frozen=True, tag="probe"):
    """Asks a third node to reach a member that the sender can't."""

    host: str
    port: int
