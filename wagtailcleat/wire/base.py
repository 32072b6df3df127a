"""The base of every message between the project's processes."""

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages; travels as a msgpack array that begins with its tag."""
