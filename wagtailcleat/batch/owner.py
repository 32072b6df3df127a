"""The owner of one shard: accepts jobs, places tasks and issues grants.

`Ownership` creates an owner for each shard that this agent has claimed. To start an
attempt, the owner reserves resources at an agent, commits the assignment and sends
the start order. An attempt runs only while its agent holds a grant; the next attempt
of a task is committed only after the end of the previous one was reported or its
grant has lapsed.
"""

import asyncio

from wagtailcleat.batch.grants import GrantManager
from wagtailcleat.batch.holders import Holder
from wagtailcleat.batch.journal import Journal
from wagtailcleat.batch.placer import Placer
from wagtailcleat.batch.shard import Shard
from wagtailcleat.batch.submissions import Submissions
from wagtailcleat.batch.takeover import Takeover
from wagtailcleat.wire.attempts import RenewGrants
from wagtailcleat.wire.jobs import CancelJob, ListJobs, ShowJob, SubmitJob
from wagtailcleat.wire.messages import AnyMessage


class Owner:
    """A shard that this process owns until its journal is deposed."""

    def __init__(self, shard: Shard, earlier: list[Holder]) -> None:
        """Own `shard`, taken over from the `earlier` holders."""
        self.shard = shard
        self._grant_manager = GrantManager(shard)
        self._submissions = Submissions(shard)
        self._placer = Placer(shard, self._grant_manager)
        self.takeover = Takeover(shard, self._grant_manager, earlier)

    @property
    def journal(self) -> Journal:
        """The shard's log."""
        return self.shard.journal

    async def order(self, message: AnyMessage) -> AnyMessage:
        """Handle a message that concerns the shard and return the answer.

        Callers submit, show, list and cancel jobs; agents renew grants.
        """
        if isinstance(message, SubmitJob):
            return await self._submissions.submit(message)
        if isinstance(message, ShowJob):
            return await self._submissions.show(message)
        if isinstance(message, ListJobs):
            return await self._submissions.list_jobs(message)
        if isinstance(message, CancelJob):
            return await self._submissions.cancel(message)
        assert isinstance(message, RenewGrants)
        return await self._grant_manager.renew(message)

    async def run(self) -> None:
        """End lapsed attempts and place pending tasks, until deposed."""
        shard = self.shard
        while not self.journal.deposed.is_set():
            shard.wake.clear()
            await self._refresh_zones_if_changed()
            await self._grant_manager.end_lapsed()
            self._placer.place()
            try:
                async with asyncio.timeout(shard.timing.placement):
                    await shard.wake.wait()
            except TimeoutError:
                continue

    def stop(self) -> None:
        """Cancel the background tasks."""
        self.shard.stop_background()

    def dump(self) -> dict[str, object]:
        """Return the shard's state for the state dump."""
        record = self.shard.record
        return {
            "epoch": self.journal.epoch,
            "entry": record.number,
            "jobs": len(record.job_by_id),
            "pending": record.pending_count(),
            "assigned": len(record.task_by_attempt),
            "starts": self._placer.starts,
            "unsettled": self.takeover.dump(),
        }

    async def _refresh_zones_if_changed(self) -> None:
        # A conflict shows that a zone went out, but none occurs while no task can
        # be placed, so a zone that is back in use would go unnoticed. The store is
        # read if the journal and the configuration in force differ.
        zones_out = self.shard.in_force.configuration.zones_out
        if sorted(zones_out) != sorted(self.journal.zones_out):
            await self.journal.refresh_zones()
