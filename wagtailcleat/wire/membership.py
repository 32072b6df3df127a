"""Messages of the membership protocol: gossip, anti-entropy and indirect probes."""

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
    """State of a member, as announced by itself or suspected by others."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    LOST = "lost"
    LEFT = "left"


class Member(Message, frozen=True, tag="member"):
    """A node as known from gossip; eventually consistent, not authoritative.

    Of two records of a node, the one with the higher (incarnation, version) wins. Only
    the node itself increments `version`; a suspicion carries the version that it refers
    to.
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
    """A gossip exchange: recently changed members and a digest of the sender's view."""

    sender: NodeId
    revision: Revision
    members: list[Member]
    digest: int
    """Checksum over all known members; equal digests mean equal views."""
    free: Resources


class CompareViews(Message, frozen=True, tag="compare_views"):
    """Request for the members of each bucket whose checksum is not the sender's."""

    sums: list[int]


class Members(Message, frozen=True, tag="members"):
    """Reply to `CompareViews`: the buckets that differ, and their members."""

    buckets: list[int]
    members: list[Member]


class Probe(Message, frozen=True, tag="probe"):
    """Request to probe a member that the sender can't reach (an indirect probe)."""

    host: str
    port: int
