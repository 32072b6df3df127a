"""Messages that open a stream: both sides' hello, then both sides' proof."""

from enum import Enum

from wagtailcleat.ids import Incarnation, NodeId
from wagtailcleat.wire.base import Message

PROTOCOL_VERSION = 1


class Role(Enum):
    """Which program a node runs."""

    ENTRY = "entry"
    AGENT = "agent"
    OPERATOR = "operator"


class Hello(Message, frozen=True, tag="hello"):
    """First frame of either side; `nonce` is fresh for this stream."""

    version: int
    node: NodeId
    role: Role
    incarnation: Incarnation
    nonce: bytes


class Proof(Message, frozen=True, tag="proof"):
    """Second frame of either side: shows the cluster secret without sending it."""

    mac: bytes
