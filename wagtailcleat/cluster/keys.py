"""The project's own keys in the platform's store, and how their values are coded."""

from typing import TypeVar

import msgspec

from wagtailcleat.ids import JobId, NodeId

ROOT = "wagtailcleat/"
LEADER_KEY = ROOT + "leader/epoch"
"""Who leads; changes with each leader only, so that its writes can be tied to it."""
BEAT_KEY = ROOT + "leader/beat"
"""Rewritten by the leader as long as it lives."""
LEADER_PREFIX = ROOT + "leader/"
ENTRY_PREFIX = ROOT + "entries/"
AGENT_PREFIX = ROOT + "agents/"
"""Agents that may run tasks: a new leader waits for each."""
JOB_PREFIX = ROOT + "jobs/"
"""What callers handed in: a job, and whether it was cancelled."""
LEARNT_KEY = ROOT + "learnt"
"""What the leader has learnt of images that share VMs."""
RECORD_PREFIX = ROOT + "progress/"
"""Written by the leader only."""
CANCELLED = "/cancelled"


class Place(msgspec.Struct, frozen=True, array_like=True):
    """Where a process is reached by its peers."""

    host: str
    port: int
    incarnation: int
    weight: float = 1.0
    """Cores that an entry may use: one with more of them leads with less delay."""


class Beat(msgspec.Struct, frozen=True, array_like=True):
    """What the leader says of itself with each renewal."""

    alone: bool = False
    """Whether no earlier leader may act any more."""
    laid_down: bool = False
    """Whether it acts no more: any entry may claim."""


T = TypeVar("T")


def encode(value: object) -> bytes:
    """Return the stored form of a value."""
    return msgspec.msgpack.encode(value)


def decode(data: bytes, kind: type[T]) -> T:
    """Return the value of a stored form."""
    return msgspec.msgpack.decode(data, type=kind)


def decode_beat(data: bytes) -> Beat:
    """Return the beat of a stored form; one of another version says nothing."""
    try:
        return decode(data, Beat)
    except msgspec.MsgspecError:
        return Beat()


def job_key(job: JobId) -> str:
    """Return the key of a job."""
    return JOB_PREFIX + job


def cancel_key(job: JobId) -> str:
    """Return the key whose presence cancels a job."""
    return JOB_PREFIX + job + CANCELLED


def record_key(job: JobId) -> str:
    """Return the key of a job's progress."""
    return RECORD_PREFIX + job


def entry_key(node: NodeId) -> str:
    """Return the key that names an entry."""
    return ENTRY_PREFIX + node


def agent_key(node: NodeId) -> str:
    """Return the key that names an agent."""
    return AGENT_PREFIX + node
