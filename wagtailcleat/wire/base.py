"""Base class of all messages between the project's processes."""

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True):
    """A message, encoded as a msgpack array whose first item is its tag."""
