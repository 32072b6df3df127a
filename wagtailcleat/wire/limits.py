"""Timeouts and limits of a stream."""

from dataclasses import dataclass

MAX_CALLS_PER_STREAM = 10_000
"""In either direction."""


@dataclass(frozen=True)
class StreamTiming:
    """Seconds: silence before a ping, limits of silence and idleness, time to open."""

    ping: float = 0.25
    silence: float = 0.75
    idle_close: float = 20.0
    connect: float = 1.0
