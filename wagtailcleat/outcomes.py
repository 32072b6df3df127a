"""What became of a caller's request, as a value."""

from dataclasses import dataclass

from wagtailcleat.wire.messages import Answer


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


RequestOutcome = Answered | NotRun | OutcomeUnknown
