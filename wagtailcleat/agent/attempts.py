"""The batch side of an agent: wires what reserves, starts, watches and reports."""

import asyncio
from collections.abc import Callable

from wagtailcleat.agent.attempt_handlers import AttemptHandlers, Penalty, Refuses
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
    """All attempts at this VM, and the renewal of their grants."""

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
        closed: Callable[[], str],
        must_leave: Callable[[], str],
        read_epoch: ReadEpoch,
    ) -> None:
        """Run attempts through `worker` within `commitments`.

        Parameters: `closed` tells why no task may start now, or is empty, and
        `must_leave` why those that run may not stay; `read_epoch` reads a shard's
        epoch from the store.
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
            closed=closed,
        )
        self._recovery = AttemptRecovery(
            table, owners, worker, timing=timing, read_epoch=read_epoch
        )
        self._monitor = TaskMonitor(
            table, evictor, worker, timing=timing, must_leave=must_leave
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
        """All attempts, from the reservation until the owner knows of the end."""
        return self._table.attempt_by_id

    @property
    def ready(self) -> bool:
        """Whether all that the worker may run has been listed; orders wait for it."""
        return self._table.complete

    def handlers(self) -> Handlers:
        """Return what answers each message of this part."""
        return self._handlers.by_message()

    def running(self) -> list[Attempt]:
        """Return the attempts that the worker runs, or may run."""
        return self._table.running()

    def dump(self) -> dict[str, object]:
        """Return each attempt's state for the state dump."""
        return self._table.dump()

    def limit_interference(self, refuses: Refuses, penalty: Penalty) -> None:
        """Judge tasks by their interference with services, through these functions."""
        self._handlers.refuses = refuses
        self._handlers.penalty = penalty

    async def rebuild(self) -> None:
        """Recover what the worker runs; until then no order is accepted."""
        await self._recovery.run()

    async def watch(self) -> None:
        """See what ended and stop what has no grant left, until cancelled."""
        await self._monitor.run()

    async def renew(self) -> None:
        """Renew grants and report ends to each shard's owner, until cancelled."""
        await self._renewal.run()

    def request_poll(self) -> None:
        """Poll the worker at once: the configuration changed."""
        self._monitor.request_poll()

    async def evict(self, attempt: Attempt, reason: str) -> None:
        """Checkpoint and stop an attempt; its end is then reported."""
        await self._evictor.evict(attempt, reason)

    async def drain(self, reason: str) -> None:
        """Checkpoint and stop everything, and wait until owners know of it."""
        while self.attempt_by_id:
            await self._evictor.evict_all(reason)
            await self._monitor.poll()
            await self._renewal.renew_due()
            await asyncio.sleep(DRAIN_POLL_SECONDS)
