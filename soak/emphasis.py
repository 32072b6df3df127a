"""Kinds of faults that a soak run may make frequent."""

from enum import Enum


class Emphasis(Enum):
    """A kind of fault that is made frequent; each has its own recorded seeds."""

    NONE = ""
    REFUSALS = "refusals"
    """Zones are cut off by refused connections."""
    SLOW_ANSWERS = "slow-answers"
    """Long answers of the store take seconds to arrive, or stall midway."""
    KINDS = "kinds"
    """Workers are replaced by others, and jobs restrict where their tasks run."""
    LEADERS = "leaders"
    """The leader is paused, killed, silenced or turned away; one entry is larger."""
    DEPARTURES = "departures"
    """Workers drain and leave; they end at once, or run on for seconds after that."""
    POISON = "poison"
    """Jobs far overdue, endless or invalid, unreadable values, foreign heartbeats."""
    SHUTDOWNS = "shutdowns"
    """Processes are told to stop or reload, also in series; all are killed at last."""
    ODD_ENTRIES = "odd-entries"
    """Another writer puts odd values into the store and sends odd heartbeats."""
