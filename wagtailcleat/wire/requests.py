"""Messages between an entry and an agent that forward a service request."""

from wagtailcleat.ids import Incarnation, RequestId, ServiceName
from wagtailcleat.wire.base import Message

WRONG_INCARNATION = "wrong_incarnation"
"""Reason of a refusal: the request is addressed to another incarnation."""

Header = tuple[str, str]


class Load(Message, frozen=True, tag="load"):
    """Load of one service at one agent; sent with each answer."""

    in_flight: int
    queued: int
    slots: int


class ServiceRequest(Message, frozen=True, tag="request"):
    """A caller's request, forwarded to the agent of an endpoint."""

    id: RequestId
    service: ServiceName
    method: str
    path: str
    headers: list[Header]
    body: bytes
    deadline: float
    incarnation: Incarnation
    """Incarnation of the agent that the request is addressed to."""
    keep: bool = False
    """Whether the id is keyed: issued in advance, so that a caller may repeat it."""
    idempotent: bool = False
    """Whether the request may run twice."""
    parts: bool = False
    """Whether the body is sent in parts after this message."""


class Answer(Message, frozen=True, tag="answer"):
    """Reply to `ServiceRequest`: the endpoint's answer.

    If `parts` is set, the body is sent in parts after this message.
    """

    status: int
    headers: list[Header]
    body: bytes
    load: Load
    parts: bool = False


class Part(Message, frozen=True, tag="part"):
    """One part of a body that is sent in parts."""

    data: bytes


class PartsEnd(Message, frozen=True, tag="parts_end"):
    """End of a body sent in parts; `whole` is false if the body is incomplete."""

    whole: bool


class Settle(Message, frozen=True, tag="settle"):
    """Query for the outcome of a request in doubt, whose answer was lost.

    The agent waits up to `wait` seconds for the outcome. It records an unknown id as
    refused, so that the request is not run if it arrives later.
    """

    id: RequestId
    service: ServiceName
    incarnation: Incarnation
    wait: float


class Running(Message, frozen=True, tag="running"):
    """Reply to `Settle`: the request is still running."""
