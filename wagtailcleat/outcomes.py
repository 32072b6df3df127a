"""What became of a caller's request, as a value."""

from dataclasses import dataclass

from wagtailcleat.errors import Code
from wagtailcleat.wire.requests import Answer


@dataclass(frozen=True)
class Answered:
    """The endpoint answered, and the answer is whole."""

    answer: Answer


@dataclass(frozen=True)
class NotRun:
    """The request was surely not run, and never will be."""

    reason: str
    retry_after: float


@dataclass(frozen=True)
class OutcomeUnknown:
    """The request may have run, or may still."""

    reason: str


@dataclass(frozen=True)
class Rejected:
    """The request is not one that can be carried out, or not as it came."""

    code: Code
    reason: str
    retry_after: float = 0.0


RequestOutcome = Answered | NotRun | OutcomeUnknown | Rejected
