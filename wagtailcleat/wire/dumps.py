"""Messages that read the state dump of a process."""

from wagtailcleat.wire.base import Message


class DumpState(Message, frozen=True, tag="dump"):
    """Asks for the state dump of a process, or for some sections of it."""

    sections: list[str] = []


class Dump(Message, frozen=True, tag="dumped"):
    """A state dump as JSON text."""

    text: str
