"""Results common to several calls: done, or refused."""

from wagtailcleat.wire.base import Message


class Done(Message, frozen=True, tag="done"):
    """The call succeeded."""


class Refused(Message, frozen=True, tag="refused"):
    """The call was not carried out; `code` is a value of `errors.Code`."""

    code: str
    reason: str
    retry_after: float = 0.0
