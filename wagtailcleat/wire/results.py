"""Replies common to several kinds of calls: done, or refused."""

from wagtailcleat.wire.base import Message


class Done(Message, frozen=True, tag="done"):
    """Reply to a call that succeeded."""


class Refused(Message, frozen=True, tag="refused"):
    """Reply to a call that was not carried out.

    `code` is a value of `errors.Code`; `retry_after` is in seconds, 0 if not given.
    """

    code: str
    reason: str
    retry_after: float = 0.0
