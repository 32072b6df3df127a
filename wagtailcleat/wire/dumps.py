"""Messages by which operators read the state dump of a process."""

from wagtailcleat.wire.base import Message


class DumpState(Message, frozen=True, tag="dump"):
    """Request for the state dump of a process, or for some sections of it."""

    sections: list[str] = []


class Dump(Message, frozen=True, tag="dumped"):
    """Reply to `DumpState`: a state dump as JSON text."""

    text: str
