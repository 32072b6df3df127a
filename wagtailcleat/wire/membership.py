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
    """State of a member, as reported by itself or suspected by others."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    LOST = "lost"
    LEFT = "left"


class Member(Message, frozen=True, tag="member"):
    """One node as gossip reports it; eventually consistent, not authoritative.

    The higher (incarnation, version) wins. Only the node itself increments `version`;
    a suspicion carries the version that it refers to.
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
    """One exchange: members changed recently, and a digest of the sender's view."""

    sender: NodeId
    revision: Revision
    members: list[Member]
    digest: int
    """Sum over all known members; equal digests mean equal views."""
    free: Resources


class CompareViews(Message, frozen=True, tag="compare_views"):
    """Asks for the members of each bucket whose sum differs from the sender's."""

    sums: list[int]


class Members(Message, frozen=True, tag="members"):
    """Members of the buckets that differ, and the numbers of those buckets."""

    buckets: list[int]
    members: list[Member]


class Probe(Message, frozen=True, tag="probe"):
    """Asks a third node to probe a member that the sender can't reach."""

    host: str
    port: int
