"""Messages between entry and agent that forward a service request."""

from wagtailcleat.ids import Incarnation, RequestId, ServiceName
from wagtailcleat.wire.base import Message

WRONG_INCARNATION = "wrong_incarnation"

Header = tuple[str, str]


class Load(Message, frozen=True, tag="load"):
    """The load of one service at one agent; sent with each answer."""

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
    """The agent's incarnation that the request is addressed to."""
    keep: bool = False
    """Whether the id was issued in advance, so that the request may be repeated."""
    idempotent: bool = False
    """Whether it may run twice."""
    parts: bool = False
    """Whether the body follows in parts."""


class Answer(Message, frozen=True, tag="answer"):
    """The endpoint's answer; where `parts` is set, the body follows in parts."""

    status: int
    headers: list[Header]
    body: bytes
    load: Load
    parts: bool = False


class Part(Message, frozen=True, tag="part"):
    """One part of a body."""

    data: bytes


class PartsEnd(Message, frozen=True, tag="parts_end"):
    """End of a body sent in parts; `whole` is false if it is incomplete."""

    whole: bool


class Settle(Message, frozen=True, tag="settle"):
    """Asks for the outcome of a request whose answer was lost.

    An unknown id is recorded as refused, so that the request is dropped if it arrives
    later.
    """

    id: RequestId
    service: ServiceName
    incarnation: Incarnation
    wait: float


class Running(Message, frozen=True, tag="running"):
    """Answers `Settle`: the request is still running."""
