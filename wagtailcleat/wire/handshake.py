"""Messages of the handshake that opens a stream; `peers` exchanges them."""

from enum import Enum

from wagtailcleat.ids import Incarnation, NodeId
from wagtailcleat.wire.base import Message

PROTOCOL_VERSION = 1


class Role(Enum):
    """Program that a node runs."""

    ENTRY = "entry"
    AGENT = "agent"
    OPERATOR = "operator"


class Hello(Message, frozen=True, tag="hello"):
    """First message of both sides; `nonce` is random and new for each stream."""

    version: int
    node: NodeId
    role: Role
    incarnation: Incarnation
    nonce: bytes


class Proof(Message, frozen=True, tag="proof"):
    """Second message of both sides; proves knowledge of the cluster secret by a MAC."""

    mac: bytes
