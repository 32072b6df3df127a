"""Store the ends of runs of jobs that this version can't decode.

Used by `records`. The key stands beside that of the job's record, so that the list of
the records has both.
"""

from collections.abc import Callable

from wagtailcleat.cluster.keys import LEADER_KEY, encode, held_ends_key
from wagtailcleat.cluster.leader_lease import LeaderLease
from wagtailcleat.cluster.stored_values import Unreadable, decode_stored
from wagtailcleat.ids import JobId
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.keyvalue import MAX_TXN_ENTRIES, KeyValueStore
from wagtailcleat.scheduling.held_ends import (
    HeldEnd,
    HeldEnds,
    held_ends_problem,
    without_checkpoints,
)
from wagtailcleat.scheduling.job_table import JobTable
from wagtailcleat.storage import Compare, Conflict, Found, Txn, Written

log = part_logger("leader")

JOBS_PER_WRITE = (MAX_TXN_ENTRIES - 1) // 2
"""Each job takes a compare and a put; one more compare is for the leader key."""
BYTES_PER_WRITE = 128 * 1024
"""Size limit of the ends in one write; those of a job that has more are alone."""


def decode_held_ends(found: Found) -> list[HeldEnd] | Unreadable:
    """Return the ends that a key holds."""
    ends = decode_stored(found, list[HeldEnd])
    if not isinstance(ends, Unreadable) and (why := held_ends_problem(ends)):
        return Unreadable(why)
    return ends


class HeldEndsWriter:
    """Writes the ends of held-back jobs for one epoch's leader.

    Each write is conditional on the leader key, as in `Records`.
    """

    def __init__(
        self,
        job_table: JobTable,
        lease: LeaderLease,
        store: KeyValueStore,
        max_value_bytes: int,
        lost_leadership: Callable[[Conflict], bool],
    ) -> None:
        """Create it; the store takes values of up to `max_value_bytes`.

        Parameters: `lost_leadership` returns whether a write failed because the leader
        key has changed, and steps down then.
        """
        self._job_table = job_table
        self._lease = lease
        self._store = store
        self._max_value_bytes = max_value_bytes
        self._lost_leadership = lost_leadership
        self._failures_by_job: dict[JobId, int] = {}
        """Failed writes of each job's ends since the last one that succeeded."""

    def __repr__(self) -> str:
        """Show of how many jobs there are ends to write."""
        return f"<HeldEndsWriter: {len(self._changed())} to write>"

    def _changed(self) -> list[HeldEnds]:
        held_ends = self._job_table.held_ends_by_id.values()
        return [held for held in held_ends if held.version > held.committed]

    async def write(self, on_progress: Callable[[], None]) -> bool:
        """Write until all ends are stored; return False after a write that failed.

        Parameters: `on_progress` is called after each write that succeeded.
        """
        while changed := self._changed():
            if not await self._write_batch(self._next_batch(changed)):
                return False
            on_progress()
        return True

    def _next_batch(self, changed: list[HeldEnds]) -> list[HeldEnds]:
        """Return the jobs with the fewest failures; each failure halves their number.

        Ends that the store does not accept must not delay those of other jobs.
        """
        failures = self._failures_by_job
        fewest = min(failures.get(held.job, 0) for held in changed)
        following = [h for h in changed if failures.get(h.job, 0) == fewest]
        return following[: max(1, JOBS_PER_WRITE >> fewest)]

    async def _write_batch(self, batch: list[HeldEnds]) -> bool:
        compares = [Compare(LEADER_KEY, self._lease.leader_revision)]
        puts: dict[str, bytes] = {}
        version_by_job: dict[JobId, int] = {}
        size = 0
        for held in batch:
            value = self._encode(held)
            size += len(value)
            if puts and size > BYTES_PER_WRITE:
                break
            key, revision = held_ends_key(held.job), held.store_revision
            compares.append(Compare(key, revision, absent=revision == 0))
            puts[key] = value
            version_by_job[held.job] = held.version
        outcome = await self._store.write(Txn(compares, puts))
        if isinstance(outcome, Conflict) and self._lost_leadership(outcome):
            return False
        for held in batch[: len(puts)]:
            if isinstance(outcome, Written):
                held.store_revision = outcome.store_revision
                held.committed = version_by_job[held.job]
                self._failures_by_job.pop(held.job, None)
                fields = {"job": held.job, "ends": len(held.end_by_run)}
                log.info("Stored the ends of an unreadable job", extra=fields)
                continue
            failures = self._failures_by_job.get(held.job, 0)
            self._failures_by_job[held.job] = failures + 1
            if isinstance(outcome, Conflict):
                _adopt(held, outcome)
        return isinstance(outcome, Written)

    def _encode(self, held: HeldEnds) -> bytes:
        ends = list(held.end_by_run.values())
        value = encode(ends)
        if len(value) > self._max_value_bytes:
            value = encode(without_checkpoints(ends))
        return value


def _adopt(held: HeldEnds, conflict: Conflict) -> None:
    """Merge what is stored: a write without an answer may have taken effect."""
    key = held_ends_key(held.job)
    found = next((f for f in conflict.current if f.key == key), None)
    held.store_revision = found.mod_revision if found else 0
    if found is not None:
        stored = decode_held_ends(found)
        if not isinstance(stored, Unreadable):
            held.merge(stored)
