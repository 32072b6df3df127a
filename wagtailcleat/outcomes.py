"""The possible outcomes of a caller's request, as values."""

from dataclasses import dataclass

from wagtailcleat.errors import Code
from wagtailcleat.wire.requests import Answer


@dataclass(frozen=True)
class Answered:
    """The endpoint answered, and the answer is complete."""

    answer: Answer


@dataclass(frozen=True)
class NotRun:
    """The request did not run and never will; `retry_after` is in seconds."""

    reason: str
    retry_after: float


@dataclass(frozen=True)
class OutcomeUnknown:
    """The request may have run or may still run."""

    reason: str


@dataclass(frozen=True)
class Rejected:
    """The request is invalid or not permitted; `retry_after` is in seconds."""

    code: Code
    reason: str
    retry_after: float = 0.0


RequestOutcome = Answered | NotRun | OutcomeUnknown | Rejected
