"""Values that another writer may leave under this project's keys."""

import random

from wagtailcleat.cluster.keys import encode

DEPTH = 100_000
DEEP = b"\x91" * DEPTH + b"\xc0"
"""That many lists in each other, in msgpack."""
MAX_BYTE = 255
MAX_SMALL_ARRAY = 15
UNDECODABLE = b"\xc1 of another version"


def packed(fields, last=b""):
    """Return a msgpack array of `fields` and, if given, an encoded last field."""
    assert len(fields) < MAX_SMALL_ARRAY
    head = bytes([0x90 | (len(fields) + bool(last))])
    return head + b"".join(encode(field) for field in fields) + last


def common_values():
    """Return values by name that are odd under any key."""
    return {
        "bytes that can't be decoded": UNDECODABLE,
        "nothing": b"",
        "text": b"hello",
        "100000 nested lists": DEEP,
    }


def addressed_values(fields, *, host, port):
    """Return odd values by name; `host` and `port` are indices in `fields`."""
    changes = {
        "port 70000": (port, 70_000),
        "port 0": (port, 0),
        "port -1": (port, -1),
        "port 2^63": (port, 2**63),
        "a host of 300 letters": (host, "a" * 300),
        "a host name": (host, "localhost"),
        "an empty host": (host, ""),
    }
    values = {name: packed(changed(fields, *c)) for name, c in changes.items()}
    deep = packed(fields, last=DEEP)
    return common_values() | values | {"a last field of 100000 nested lists": deep}


def changed(fields, index, value):
    """Return the fields with one of them replaced."""
    return [*fields[:index], value, *fields[index + 1 :]]


def draw_value(fields, rng: random.Random) -> bytes:
    """Return a random odd value, similar to the array `fields` or not."""
    odd = [None, True, -1, 0, 2**31, 2**63, 2**64 - 1, float("nan"), float("inf")]
    odd += ["", "a" * 300, "localhost", "::1", "[]", [], {}, [[[[]]]], b"\xff"]
    kind = rng.randrange(4)
    if kind == 0:
        return bytes(rng.randrange(MAX_BYTE) for _ in range(rng.randrange(60)))
    if kind == 1:
        value = encode(fields)
        return value[: rng.randrange(len(value))]
    if kind == 2:
        return DEEP[rng.randrange(DEPTH) :]
    return packed(changed(fields, rng.randrange(len(fields)), rng.choice(odd)))
