"""Keys of this project in the platform's store, and the encoding of their values."""

from typing import TypeVar

import msgspec

from wagtailcleat.ids import JobId, NodeId

ROOT = "wagtailcleat/"
LEADER_KEY = ROOT + "leader/epoch"
"""Names the leader.

Only a new leader changes it, so a leader's writes are conditional on its revision.
"""
HEARTBEAT_KEY = ROOT + "leader/beat"
"""Rewritten by the leader with each renewal of its lease."""
LEADER_PREFIX = ROOT + "leader/"
ENTRY_PREFIX = ROOT + "entries/"
AGENT_PREFIX = ROOT + "agents/"
"""Agents that may run tasks; a new leader waits for a report from each of them."""
JOB_PREFIX = ROOT + "jobs/"
"""Submitted jobs, and a key for each job that was cancelled."""
INTERFERENCE_KEY = ROOT + "learnt"
"""Interference that the leader has measured between images that share VMs."""
RUN_TIMES_KEY = ROOT + "run-times"
"""Run times of each queue, as the leader has learned them."""
RECORD_PREFIX = ROOT + "progress/"
"""Progress of jobs; written by the leader only."""
CANCELLED = "/cancelled"


class ProcessInfo(msgspec.Struct, frozen=True, array_like=True):
    """Address, incarnation and weight of a process, as its peers know them."""

    host: str
    port: int
    incarnation: int
    weight: float = 1.0
    """Cores that an entry may use; an entry with more of them leads with less delay."""


class LeaderHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """What the leader states with each renewal of its lease."""

    predecessors_expired: bool = False
    """Whether the leases of all earlier leaders have expired."""
    stepped_down: bool = False
    """Whether this leader no longer acts, so that any entry may claim."""
    written_at: float = 0.0
    """Wall clock seconds of the leader's VM; 0: unknown. A hint, for clocks differ."""


T = TypeVar("T")


def encode(value: object) -> bytes:
    """Return a value as msgpack."""
    return msgspec.msgpack.encode(value)


def decode(data: bytes, kind: type[T]) -> T:
    """Return the value of type `kind` that `data` holds.

    Raises:
        msgspec.MsgspecError: if `data` is not such a value.

    """
    return msgspec.msgpack.decode(data, type=kind)


def decode_leader_heartbeat(data: bytes) -> LeaderHeartbeat:
    """Return the stored heartbeat; the default where another version wrote it."""
    try:
        return decode(data, LeaderHeartbeat)
    except msgspec.MsgspecError:
        return LeaderHeartbeat()


def job_key(job: JobId) -> str:
    """Return the key of a job."""
    return JOB_PREFIX + job


def cancel_key(job: JobId) -> str:
    """Return the key whose presence cancels a job."""
    return JOB_PREFIX + job + CANCELLED


def record_key(job: JobId) -> str:
    """Return the key of a job's progress record."""
    return RECORD_PREFIX + job


def entry_key(node: NodeId) -> str:
    """Return the key under which an entry is registered."""
    return ENTRY_PREFIX + node


def agent_key(node: NodeId) -> str:
    """Return the key under which an agent is registered."""
    return AGENT_PREFIX + node
