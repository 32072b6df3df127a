"""Takeover of a shard: settle earlier owners, and ask agents what they run.

It runs beside the new owner's own loop until both are done. An earlier owner that
can't be reached is settled by time alone, once all its grants have expired.
"""

import asyncio

from wagtailcleat.batch.grants import GrantManager
from wagtailcleat.batch.holders import (
    Holder,
    clear_earlier_holders,
    holder_of,
    is_settled,
)
from wagtailcleat.batch.shard import CALL_TIMEOUT_SECONDS, Shard
from wagtailcleat.ids import AttemptId, NodeId
from wagtailcleat.logs import part_logger
from wagtailcleat.wire.takeover import Adopt, Adopted, StepDown

log = part_logger("takeover")

ROUND_INTERVAL_SECONDS = 0.5


class Takeover:
    """Settles the earlier owners and adopts the attempts that agents already have.

    It ends when no earlier owner can issue grants any more and each agent with
    attempts of the shard has answered.
    """

    def __init__(
        self, shard: Shard, grants: GrantManager, earlier: list[Holder]
    ) -> None:
        """Set the grant bounds of the attempts in the record.

        Until its agent has answered, an attempt counts as running for the time of one
        grant, plus `outage_grant` while an earlier owner is unsettled.
        """
        self._shard = shard
        self._grant_manager = grants
        self._unsettled = earlier
        self._cleared = not earlier
        self._attempts_by_node: dict[NodeId, list[AttemptId]] = {}
        now = shard.clock()
        outage = shard.timing.outage_grant if earlier else 0.0
        self._initial_bound = shard.grant_bound_from(now) + outage
        for attempt, task in shard.record.task_by_attempt.items():
            shard.grant_bound_by_attempt[attempt] = self._initial_bound
            self._attempts_by_node.setdefault(task.node, []).append(attempt)

    def dump(self) -> dict[str, object]:
        """Return the unsettled owners and agents for the state dump."""
        return {
            "owners": [holder.node for holder in self._unsettled],
            "agents": sorted(self._attempts_by_node),
        }

    async def run(self) -> None:
        """Ask owners and agents each round until all are settled, or until deposed."""
        while not self._shard.journal.deposed.is_set():
            await asyncio.gather(self._settle_owners(), self._adopt_all())
            if self._cleared and not self._attempts_by_node:
                return
            pause = ROUND_INTERVAL_SECONDS * self._shard.random.uniform(0.7, 1.3)
            await asyncio.sleep(pause)

    async def _settle_owners(self) -> None:
        if self._unsettled:
            await self._step_down_all()
        if not self._unsettled and not self._cleared:
            journal = self._shard.journal
            self._cleared = await clear_earlier_holders(
                journal.store, journal.shard, journal.epoch_value
            )

    async def _step_down_all(self) -> None:
        shard = self._shard
        me, order = holder_of(shard.view.me), StepDown(shard.id, shard.journal.epoch)
        settled = await asyncio.gather(
            *(is_settled(h, me, order, shard.peers) for h in self._unsettled)
        )
        pairs = zip(self._unsettled, settled, strict=True)
        self._unsettled = [holder for holder, is_done in pairs if not is_done]
        # Time alone settles an owner that can't be reached, once all its grants have
        # expired.
        if shard.clock() > self._initial_bound:
            self._unsettled = []
        if not self._unsettled:
            self._shorten_bounds()

    def _shorten_bounds(self) -> None:
        # No earlier owner issues grants any more, so the last ones lapse within one
        # grant from now.
        shard = self._shard
        until = shard.grant_bound_from(shard.clock())
        for attempts in self._attempts_by_node.values():
            for attempt in attempts:
                bound = shard.grant_bound_by_attempt.get(attempt, until)
                shard.grant_bound_by_attempt[attempt] = min(bound, until)

    async def _adopt_all(self) -> None:
        current = self._shard.record.task_by_attempt
        for node, attempts in list(self._attempts_by_node.items()):
            if not any(attempt in current for attempt in attempts):
                del self._attempts_by_node[node]
        await asyncio.gather(
            *(self._adopt_from(node) for node in list(self._attempts_by_node))
        )

    async def _adopt_from(self, node: NodeId) -> None:
        shard = self._shard
        member = shard.view.member_by_node.get(node)
        if member is None:
            return
        request = Adopt(shard.id, shard.journal.epoch)
        answer = await shard.peers.call(
            member.host, member.port, request, timeout=CALL_TIMEOUT_SECONDS
        )
        if isinstance(answer, Adopted):
            attempts = self._attempts_by_node.pop(node)
            self._grant_manager.record_adopted(answer, attempts)
