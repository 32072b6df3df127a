"""Batch attempts of an agent: creates and connects the parts that run them."""

import asyncio
from collections.abc import Callable

from wagtailcleat.agent.attempt_handlers import (
    AttemptHandlers,
    PenaltyEstimate,
    RefusalCheck,
)
from wagtailcleat.agent.attempt_recovery import AttemptRecovery, ReadEpoch
from wagtailcleat.agent.attempt_table import Attempt, AttemptTable
from wagtailcleat.agent.commitments import Commitments
from wagtailcleat.agent.evictor import Evictor
from wagtailcleat.agent.grant_renewal import GrantRenewal
from wagtailcleat.agent.shard_owners import ShardOwners
from wagtailcleat.agent.task_monitor import TaskMonitor
from wagtailcleat.clock import Clock
from wagtailcleat.ids import AttemptId, Incarnation, VmName
from wagtailcleat.membership.view import View
from wagtailcleat.platform.worker import Worker
from wagtailcleat.process import Handlers
from wagtailcleat.settings import Timing
from wagtailcleat.wire.peers import Peers

DRAIN_POLL_SECONDS = 0.1


class Attempts:
    """All attempts on this VM, with their monitoring and grant renewal."""

    def __init__(
        self,
        worker: Worker,
        commitments: Commitments,
        view: View,
        peers: Peers,
        *,
        vm: VmName,
        incarnation: Incarnation,
        clock: Clock,
        timing: Timing,
        closed_reason: Callable[[], str],
        evict_all_reason: Callable[[], str],
        read_epoch: ReadEpoch,
    ) -> None:
        """Run attempts through `worker` within `commitments`.

        Parameters: `closed_reason` returns why no task may start now, and
        `evict_all_reason` why all running tasks must be evicted, both an empty string
        if there is no reason; `read_epoch` reads a shard's epoch from the store.
        """
        table = AttemptTable(commitments, clock)
        owners = ShardOwners(view)
        evictor = Evictor(table, worker)
        self._table = table
        self._evictor = evictor
        self._handlers = AttemptHandlers(
            table,
            owners,
            evictor,
            worker,
            vm=vm,
            incarnation=incarnation,
            timing=timing,
            closed_reason=closed_reason,
        )
        self._recovery = AttemptRecovery(
            table, owners, worker, timing=timing, read_epoch=read_epoch
        )
        self._monitor = TaskMonitor(
            table, evictor, worker, timing=timing, evict_all_reason=evict_all_reason
        )
        self._renewal = GrantRenewal(
            table,
            owners,
            evictor,
            worker,
            peers,
            node=view.me.node,
            vm=vm,
            incarnation=incarnation,
            timing=timing,
        )

    @property
    def attempt_by_id(self) -> dict[AttemptId, Attempt]:
        """Return the attempts from reservation until their end is acknowledged."""
        return self._table.attempt_by_id

    @property
    def ready(self) -> bool:
        """Return whether recovery has listed all tasks; owners are refused before."""
        return self._table.is_complete

    def handlers(self) -> Handlers:
        """Return the handlers of batch messages by message class."""
        return self._handlers.by_message()

    def running(self) -> list[Attempt]:
        """Return the attempts that the worker runs or may be about to run."""
        return self._table.running()

    def dump(self) -> dict[str, object]:
        """Return the state of the attempts for the state dump."""
        return self._table.dump()

    def limit_interference(
        self, refusal_reason: RefusalCheck, penalty: PenaltyEstimate
    ) -> None:
        """Refuse tasks by their interference with services, as the functions decide."""
        self._handlers.refusal_reason = refusal_reason
        self._handlers.penalty = penalty

    async def recover(self) -> None:
        """Adopt the worker's tasks; messages of owners are refused until it is done."""
        await self._recovery.run()

    async def monitor(self) -> None:
        """Record ends and evict attempts whose grant is ending, until cancelled."""
        await self._monitor.run()

    async def renew(self) -> None:
        """Renew grants and report ends at each shard's owner, until cancelled."""
        await self._renewal.run()

    def request_poll(self) -> None:
        """Request a poll of the worker without delay, after a new configuration."""
        self._monitor.request_poll()

    async def evict(self, attempt: Attempt, reason: str) -> None:
        """Checkpoint and stop an attempt; its end is reported to its owner later."""
        await self._evictor.evict(attempt, reason)

    async def drain(self, reason: str) -> None:
        """Evict all attempts; return once their owners have acknowledged the ends."""
        while self.attempt_by_id:
            await self._evictor.evict_all(reason)
            await self._monitor.poll()
            await self._renewal.renew_due()
            await asyncio.sleep(DRAIN_POLL_SECONDS)
