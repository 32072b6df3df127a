"""Keys of this project in the platform's store, and the encoding of their values."""

from typing import TypeVar

import msgspec

from wagtailcleat.ids import Epoch, JobId, NodeId

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
HELD_ENDS = "/ends"
MAX_EPOCH = 2**33
"""The numbers of runs contain the epoch, and JSON holds them exactly up to this one."""
KIND_BY_PREFIX = {
    LEADER_PREFIX: "leader",
    ENTRY_PREFIX: "entry",
    AGENT_PREFIX: "agent",
    JOB_PREFIX: "job",
    RECORD_PREFIX: "record",
    INTERFERENCE_KEY: "learnt",
    RUN_TIMES_KEY: "learnt",
}


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
    epoch: Epoch = Epoch(0)
    """The leader's epoch; 0: unknown. It names the epoch if the leader key can't."""


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


def job_key(job: JobId) -> str:
    """Return the key of a job."""
    return JOB_PREFIX + job


def cancel_key(job: JobId) -> str:
    """Return the key whose presence cancels a job."""
    return JOB_PREFIX + job + CANCELLED


def record_key(job: JobId) -> str:
    """Return the key of a job's progress record."""
    return RECORD_PREFIX + job


def held_ends_key(job: JobId) -> str:
    """Return the key of ends that were stored while a job could not be decoded."""
    return RECORD_PREFIX + job + HELD_ENDS


def keys_of_job(job: JobId) -> list[str]:
    """Return all keys that a job may have."""
    return [job_key(job), cancel_key(job), record_key(job), held_ends_key(job)]


def entry_key(node: NodeId) -> str:
    """Return the key under which an entry is registered."""
    return ENTRY_PREFIX + node


def agent_key(node: NodeId) -> str:
    """Return the key under which an agent is registered."""
    return AGENT_PREFIX + node


def kind_of_key(key: str) -> str:
    """Return what the value of a key is, for logs and metrics."""
    kinds = (kind for prefix, kind in KIND_BY_PREFIX.items() if key.startswith(prefix))
    return next(kinds, "other")
