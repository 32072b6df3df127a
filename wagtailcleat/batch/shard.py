"""The state and helpers that the parts of a shard's owner share."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from wagtailcleat.batch.journal import CommitOutcome, Journal
from wagtailcleat.batch.penalties import Penalties
from wagtailcleat.batch.record import AnyEvent, ShardRecord
from wagtailcleat.batch.usage_estimates import UsageEstimates
from wagtailcleat.clock import Clock
from wagtailcleat.configuration.parts import InForce
from wagtailcleat.ids import AttemptId, ShardId
from wagtailcleat.logs import part_logger
from wagtailcleat.membership.view import View
from wagtailcleat.settings import Timing
from wagtailcleat.wire.peers import Peers

log = part_logger("batch")

GRANT_MARGIN_FACTOR = 1.05
RENEWALS_PER_GRANT = 3.0
"""How often agents renew their grants, and report ends, in the time of one grant."""
MAX_EVENTS_PER_COMMIT = 200
CALL_TIMEOUT_SECONDS = 1.0


@dataclass
class Shard:
    """One shard, as its owner sees it.

    `wake` makes the owner's loop run before its next interval;
    `grant_bound_by_attempt` holds, for each attempt, the time by which its grant has
    certainly expired; `in_force` is the configuration in force.
    """

    id: ShardId
    shard_count: int
    journal: Journal
    view: View
    in_force: InForce
    peers: Peers
    clock: Clock
    wall_clock: Clock
    timing: Timing
    random: random.Random
    may_grant_until: Callable[[], float]
    """Returns until when this process may issue grants, on its clock."""
    usage_estimates: UsageEstimates = field(default_factory=UsageEstimates)
    penalties: Penalties = field(default_factory=Penalties)
    grant_bound_by_attempt: dict[AttemptId, float] = field(default_factory=dict)
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    _background: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def record(self) -> ShardRecord:
        """The committed state."""
        return self.journal.record

    def grant_bound_from(self, now: float) -> float:
        """Return the time by which a grant issued up to `now` has expired."""
        return now + self.timing.grant * GRANT_MARGIN_FACTOR

    async def commit_all(self, events: list[AnyEvent]) -> bool:
        """Commit independent events; return whether all were committed.

        They are split into several commits, of which some may fail.
        """
        slices = [
            events[start : start + MAX_EVENTS_PER_COMMIT]
            for start in range(0, len(events), MAX_EVENTS_PER_COMMIT)
        ]
        outcomes = await asyncio.gather(*(self.journal.commit(s) for s in slices))
        self.wake.set()
        return all(outcome is CommitOutcome.COMMITTED for outcome in outcomes)

    def run_in_background(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[None]:
        """Run `work` in its own asyncio task; log its exceptions."""
        task = asyncio.create_task(_log_exceptions(work))
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    def stop_background(self) -> None:
        """Cancel the background tasks."""
        for task in self._background:
            task.cancel()


async def _log_exceptions(work: Coroutine[Any, Any, Any]) -> None:
    try:
        await work
    except Exception:
        log.exception("A background task failed with an exception")
