"""Read jobs and cancellations from the store and add them to the leader's jobs.

Used by `leader`, for the jobs of one epoch.
"""

import asyncio
from collections.abc import Callable
from itertools import count

from wagtailcleat.clock import Clock
from wagtailcleat.cluster.held_ends import decode_held_ends
from wagtailcleat.cluster.keys import (
    CANCELLED,
    JOB_PREFIX,
    RECORD_PREFIX,
    cancel_key,
    held_ends_key,
    job_key,
    record_key,
)
from wagtailcleat.cluster.leader_lease import LeaderLease
from wagtailcleat.cluster.stored_values import Unreadable, decode_stored
from wagtailcleat.cluster.timing import JOBS_WATCH_SECONDS
from wagtailcleat.ids import JobId
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.keyvalue import KeyValueStore
from wagtailcleat.scheduling.held_ends import HeldEnds
from wagtailcleat.scheduling.job_bounds import record_problem
from wagtailcleat.scheduling.job_entry import JobEntry
from wagtailcleat.scheduling.models import Job, JobRecord
from wagtailcleat.scheduling.scheduler import Scheduler
from wagtailcleat.storage import (
    Absent,
    Changes,
    Found,
    HistoryGone,
    Listing,
    Unavailable,
)
from wagtailcleat.wire.scheduling import Report

log = part_logger("leader")

RETRY_PAUSE_SECONDS = 0.2
"""Pause after a call to the store that failed."""


class Jobs:
    """Adds stored and submitted jobs to the scheduler of one epoch's leader."""

    def __init__(
        self,
        lease: LeaderLease,
        scheduler: Scheduler,
        *,
        store: KeyValueStore,
        clock: Clock,
        wall_clock: Clock,
        on_change: Callable[[], None],
        on_cancel: Callable[[], None],
        on_tombstone: Callable[[JobId], None],
    ) -> None:
        """Create it without any job.

        Parameters: `on_change` is called after each key that changes a job,
        `on_cancel` after each cancellation, `on_tombstone` after one whose job is not
        known.
        """
        self._lease = lease
        self._scheduler = scheduler
        self._store = store
        self._clock = clock
        self._wall_clock = wall_clock
        self._on_change = on_change
        self._on_cancel = on_cancel
        self._on_tombstone = on_tombstone
        self._revision = 0
        """Store revision up to which all changes have been applied."""
        self.why_by_unreadable: dict[JobId, str] = {}
        """Stored jobs that this version can't decode. They stay in the store, and no
        task of theirs starts."""
        self._absent_jobs: set[JobId] = set()
        """Jobs that are not in the store although agents have reported runs of them."""

    def __repr__(self) -> str:
        """Show the store revision that has been applied."""
        return f"<Jobs up to revision {self._revision}>"

    async def restore(self) -> None:
        """Read all jobs, their progress records and their cancellations."""
        jobs = await list_until_answered(self._store, JOB_PREFIX, self._clock)
        records = await list_until_answered(self._store, RECORD_PREFIX, self._clock)
        self._revision = jobs.store_revision
        found_by_key = {found.key: found for found in records.found}
        keys = {found.key for found in jobs.found}
        for found in jobs.found:
            if not found.key.endswith(CANCELLED):
                job = JobId(found.key.removeprefix(JOB_PREFIX))
                self.add(
                    job,
                    found.value,
                    found.mod_revision,
                    found_by_key.get(record_key(job)),
                    found_by_key.get(held_ends_key(job)),
                    is_cancelled=cancel_key(job) in keys,
                )
        for found in jobs.found:
            self._apply_key(found.key, found.value, found.mod_revision)

    def add(
        self,
        job: JobId,
        data: bytes,
        revision: int,
        record: Found | None = None,
        held_ends: Found | None = None,
        *,
        is_cancelled: bool = False,
    ) -> JobEntry | None:
        """Return the entry of a job, and add it first if it is new.

        Return None if the job or its record can't be decoded.

        Parameters: `data` is the stored job; `revision` is the store revision that
        wrote it, 0 if not known; `record` is its stored progress, if there is any;
        `held_ends` are the ends that were stored while it could not be decoded;
        `is_cancelled` says that its cancellation is stored, and will be applied next.
        """
        entry_by_id = self._scheduler.job_table.entry_by_id
        entry = entry_by_id.get(job)
        if entry is not None and _is_replaced(entry, revision):
            self._scheduler.job_table.remove(job)
            entry = None
        if entry is None:
            held = self._scheduler.job_table.held_ends_by_id.get(
                job
            ) or _read_held_ends(job, held_ends)
            if isinstance(held, Unreadable):
                # Without them, tasks that have succeeded would run again.
                self._hold_back(job, held.why, None)
                return None
            decoded = _decode_job(job, data, revision)
            if isinstance(decoded, Unreadable):
                self._hold_back(job, decoded.why, held)
                return None
            progress = _decode_record(record, decoded) if record else None
            if isinstance(progress, Unreadable):
                self._hold_back(job, progress.why, held)
                return None
            entry = self._scheduler.job_table.add(
                decoded,
                now=self._clock(),
                wall_now=self._wall_clock(),
                record=progress,
                store_revision=record.mod_revision if record else 0,
                is_cancelled=is_cancelled,
            )
            if held.end_by_run and not is_cancelled:
                self._scheduler.job_table.held_ends_by_id[job] = held
                self._scheduler.job_table.restore_ends(
                    held, now=self._clock(), wall_now=self._wall_clock()
                )
            # An earlier leader may have started it at an agent that has not reported.
            entry.may_start_tasks = not self._scheduler.unreported_agents
        self.why_by_unreadable.pop(job, None)
        expired_revision = self._lease.predecessors_expired_revision
        if expired_revision is not None and revision > expired_revision:
            entry.may_start_tasks = True
        return entry

    def _hold_back(self, job: JobId, why: str, held: HeldEnds | None) -> None:
        if held is not None:
            self._scheduler.job_table.held_ends_by_id.setdefault(job, held)
        if self.why_by_unreadable.get(job) != why:
            self.why_by_unreadable[job] = why
            log.error("Stored job is unreadable", extra={"job": job, "why": why})

    async def load_reported_jobs(self, report: Report) -> bool:
        """Add the jobs whose runs a report names; return False if the store fails.

        An earlier leader may have started a job that the watch has not delivered yet.
        If that job were taken for a deleted one, its runs would be stopped and its ends
        acknowledged: a task that has succeeded would run again, and one that is running
        would run twice.
        """
        keys = [running.key for running in report.running]
        keys += [ended.key for ended in report.ended] + report.unsettled
        entry_by_id = self._scheduler.job_table.entry_by_id
        for job in {key.task.job for key in keys}:
            if job in entry_by_id or job in self._absent_jobs:
                continue
            if job in self.why_by_unreadable:
                continue
            # A job is stored before it is started, so the store has it by now.
            found = await self._store.get(job_key(job))
            if isinstance(found, Unavailable):
                return False
            if isinstance(found, Absent):
                self._absent_jobs.add(job)
                continue
            self.add(job, found.value, found.mod_revision)
        return True

    async def watch(self) -> None:
        """Apply changes of stored jobs until cancelled."""
        while True:
            changes = await self._store.changes(
                JOB_PREFIX, self._revision, wait_seconds=JOBS_WATCH_SECONDS
            )
            if isinstance(changes, Changes):
                for event in changes.events:
                    if event.value is not None:
                        self._apply_key(event.key, event.value, event.mod_revision)
                self._revision = max(self._revision, changes.store_revision)
            elif isinstance(changes, HistoryGone):
                listing = await list_until_answered(
                    self._store, JOB_PREFIX, self._clock
                )
                for found in listing.found:
                    self._apply_key(found.key, found.value, found.mod_revision)
                self._revision = listing.store_revision
            else:
                await asyncio.sleep(RETRY_PAUSE_SECONDS)

    def _apply_key(self, key: str, value: bytes, revision: int) -> None:
        if not key.endswith(CANCELLED):
            job = JobId(key.removeprefix(JOB_PREFIX))
            if job in self.why_by_unreadable:
                # Its record may be what can't be decoded: it must not be added without.
                return
            known = self._scheduler.job_table.entry_by_id.get(job)
            may_start_tasks = known is not None and known.may_start_tasks
            if self.add(job, value, revision) is known and may_start_tasks:
                return
        else:
            job = JobId(key.removeprefix(JOB_PREFIX).removesuffix(CANCELLED))
            now, wall_now = self._clock(), self._wall_clock()
            why = f"in the store at revision {revision}"
            if not self._scheduler.cancel(job, now=now, wall_now=wall_now, why=why):
                self._on_tombstone(job)
            self._on_cancel()
        self._on_change()


def _is_replaced(entry: JobEntry, revision: int) -> bool:
    """Return whether another job has been stored under an ended job's id.

    A delete of the ended job was then carried out, but not answered. Otherwise the job
    is written with its last record, or before it.
    """
    is_stored = entry.state.final and entry.committed >= entry.version
    return is_stored and revision > entry.store_revision


def _decode_job(job: JobId, data: bytes, revision: int) -> Job | Unreadable:
    decoded = decode_stored(Found(job_key(job), data, revision), Job)
    if not isinstance(decoded, Unreadable) and decoded.id != job:
        return Unreadable("the job has another id than its key")
    return decoded


def _read_held_ends(job: JobId, found: Found | None) -> HeldEnds | Unreadable:
    held = HeldEnds(job)
    if found is not None:
        stored = decode_held_ends(found)
        if isinstance(stored, Unreadable):
            return stored
        held.merge(stored)
        held.committed = held.version
        held.store_revision = found.mod_revision
    return held


def _decode_record(found: Found, job: Job) -> JobRecord | Unreadable:
    record = decode_stored(found, JobRecord)
    if not isinstance(record, Unreadable) and (why := record_problem(record, job)):
        return Unreadable(why)
    return record


async def list_until_answered(
    store: KeyValueStore, prefix: str, clock: Clock
) -> Listing:
    """Return all keys under a prefix; repeat the call until the store answers."""
    started_at = clock()
    for tries in count(1):
        listing = await store.list(prefix)
        fields = {
            "prefix": prefix,
            "tries": tries,
            "seconds": round(clock() - started_at, 3),
        }
        if isinstance(listing, Listing):
            size = sum(len(found.value) for found in listing.found)
            fields |= {"keys": len(listing.found), "bytes": size}
            log.info("Listed keys", extra=fields)
            return listing
        log.warning(
            "Store did not list the keys; retrying",
            extra=fields | {"why": listing.reason},
        )
        await asyncio.sleep(RETRY_PAUSE_SECONDS)
    raise AssertionError("unreachable: the counter has no end")
