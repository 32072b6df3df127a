"""What the parts of a shard's owner share."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from wagtailcleat.batch.journal import Commit, Journal
from wagtailcleat.batch.learning import Learning
from wagtailcleat.batch.penalties import Penalties
from wagtailcleat.batch.record import AnyEvent, ShardRecord
from wagtailcleat.clock import Clock
from wagtailcleat.configuration.parts import InForce
from wagtailcleat.ids import AttemptId, ShardId
from wagtailcleat.logs import part_logger
from wagtailcleat.membership.view import View
from wagtailcleat.settings import Timing
from wagtailcleat.wire.peers import Peers

log = part_logger("batch")

LAPSE_MARGIN = 1.05
EVENTS_A_COMMIT = 200
CALL_SECONDS = 1.0


@dataclass
class Shard:
    """One shard as its owner holds it."""

    id: ShardId
    shards: int
    journal: Journal
    view: View
    in_force: InForce
    peers: Peers
    clock: Clock
    wall_clock: Clock
    timing: Timing
    random: random.Random
    may_grant_until: Callable[[], float]
    """Until when this process may hand out grants, on its clock."""
    learning: Learning = field(default_factory=Learning)
    penalties: Penalties = field(default_factory=Penalties)
    granted_until: dict[AttemptId, float] = field(default_factory=dict)
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    _background: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def record(self) -> ShardRecord:
        """What is committed."""
        return self.journal.record

    def whole_grant_from(self, now: float) -> float:
        """Return when a grant answered by `now` has surely lapsed at its agent."""
        return now + self.timing.grant * LAPSE_MARGIN

    async def commit_all(self, events: list[AnyEvent]) -> bool:
        """Commit events that don't depend on one another; tell whether all are."""
        slices = [
            events[start : start + EVENTS_A_COMMIT]
            for start in range(0, len(events), EVENTS_A_COMMIT)
        ]
        outcomes = await asyncio.gather(*(self.journal.commit(s) for s in slices))
        self.wake.set()
        return all(outcome is Commit.COMMITTED for outcome in outcomes)

    def in_background(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[None]:
        """Run `work` in a task of its own."""
        task = asyncio.create_task(_ignore(work))
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    def stop_background(self) -> None:
        """Cancel what runs in the background."""
        for task in self._background:
            task.cancel()


async def _ignore(work: Coroutine[Any, Any, Any]) -> None:
    try:
        await work
    except Exception:
        log.exception("Work in the background crashed")
