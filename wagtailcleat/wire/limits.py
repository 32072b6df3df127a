"""Time limits of a stream and its limit of concurrent calls."""

from dataclasses import dataclass

MAX_CALLS_PER_STREAM = 10_000
"""Limit of the concurrent calls of each direction."""


@dataclass(frozen=True)
class StreamTiming:
    """Time limits of a stream, in seconds."""

    ping: float = 0.25
    """Interval of keepalive checks; a stream silent for as long is pinged."""
    silence: float = 0.75
    """Silence after which a stream with calls in flight is closed."""
    idle_close: float = 20.0
    """Time without received bytes after which a stream without calls is closed."""
    connect: float = 1.0
    """Limit of the time to connect and complete the handshake."""
