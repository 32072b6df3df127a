"""Cancellations of jobs that are not in the store, and their removal.

A submission without an answer may be stored seconds later. If it is cancelled before
that, the cancellation stays in the store as a tombstone, and the late write, which
requires that there is none, fails.
"""

import asyncio

from wagtailcleat.clock import Clock
from wagtailcleat.cluster.keys import LEADER_KEY, cancel_key, job_key
from wagtailcleat.cluster.leader_lease import LeaderLease
from wagtailcleat.ids import JobId
from wagtailcleat.platform.keyvalue import MAX_TXN_ENTRIES, KeyValueStore
from wagtailcleat.storage import Compare, Conflict, Txn, Written

KEPT_SECONDS = 60.0
"""How long a tombstone is kept; the store carries writes out late by seconds."""
CHECK_SECONDS = 5.0
TOMBSTONES_PER_DELETE = (MAX_TXN_ENTRIES - 1) // 2
"""Each takes a compare and a delete; one more compare is for the leader key."""


class Tombstones:
    """The tombstones that this leader has found, and removes in time."""

    def __init__(
        self, lease: LeaderLease, *, store: KeyValueStore, clock: Clock
    ) -> None:
        """Start without any."""
        self._lease = lease
        self._store = store
        self._clock = clock
        self._found_at_by_job: dict[JobId, float] = {}

    def __repr__(self) -> str:
        """Show their number."""
        return f"<Tombstones: {len(self._found_at_by_job)}>"

    def add(self, job: JobId) -> None:
        """Record a cancellation whose job is not known."""
        self._found_at_by_job.setdefault(job, self._clock())

    async def run(self) -> None:
        """Remove tombstones that are old enough, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            while jobs := self._old(self._clock()):
                if not await self._remove(jobs):
                    break

    def _old(self, now: float) -> list[JobId]:
        limit = now - KEPT_SECONDS
        old = [job for job, at in self._found_at_by_job.items() if at <= limit]
        return old[:TOMBSTONES_PER_DELETE]

    async def _remove(self, jobs: list[JobId]) -> bool:
        """Remove tombstones; return False if the store did not answer."""
        compares = [Compare(LEADER_KEY, self._lease.leader_revision)]
        compares += [Compare(job_key(job), absent=True) for job in jobs]
        deletes = [cancel_key(job) for job in jobs]
        outcome = await self._store.write(Txn(compares, deletes=deletes))
        if isinstance(outcome, Conflict):
            # The cancellation of a job that was stored meanwhile goes with the job.
            stored = {found.key for found in outcome.current}
            jobs = [job for job in jobs if job_key(job) in stored]
        elif not isinstance(outcome, Written):
            return False
        for job in jobs:
            del self._found_at_by_job[job]
        return bool(jobs)
