"""A new owner's first work: settle earlier owners, ask agents what they run."""

import asyncio

from wagtailcleat.batch.grants import GrantBook
from wagtailcleat.batch.holders import Holder, clear_earlier, holder_of, is_settled
from wagtailcleat.batch.shard import CALL_SECONDS, Shard
from wagtailcleat.ids import AttemptId, NodeId
from wagtailcleat.logs import part_logger
from wagtailcleat.wire.takeover import Adopt, Adopted, StepDown

log = part_logger("takeover")

ROUND_SECONDS = 0.5


class Takeover:
    """Runs until each earlier owner and each agent with attempts is settled."""

    def __init__(self, shard: Shard, grants: GrantBook, earlier: list[Holder]) -> None:
        """Take over the attempts in the record.

        Until an agent has answered, its attempts count as running: for one grant,
        and for the bound on outage grants too while an earlier owner is unsettled.
        """
        self._shard = shard
        self._grants = grants
        self._unsettled = earlier
        self._cleared = not earlier
        self._held_by_node: dict[NodeId, list[AttemptId]] = {}
        now = shard.clock()
        outage = shard.timing.outage_grant if earlier else 0.0
        self._bound = shard.whole_grant_from(now) + outage
        for attempt, task in shard.record.task_by_attempt.items():
            shard.granted_until[attempt] = self._bound
            self._held_by_node.setdefault(task.node, []).append(attempt)

    def dump(self) -> dict[str, object]:
        """Return what is not settled yet, for the state dump."""
        return {
            "owners": [holder.node for holder in self._unsettled],
            "agents": sorted(self._held_by_node),
        }

    async def run(self) -> None:
        """Ask again each round those that did not answer."""
        while not self._shard.journal.deposed.is_set():
            await asyncio.gather(self._settle_owners(), self._ask_agents())
            if self._cleared and not self._held_by_node:
                return
            pause = ROUND_SECONDS * self._shard.random.uniform(0.7, 1.3)
            await asyncio.sleep(pause)

    # ---- earlier owners

    async def _settle_owners(self) -> None:
        if self._unsettled:
            await self._step_down_all()
        if not self._unsettled and not self._cleared:
            journal = self._shard.journal
            self._cleared = await clear_earlier(
                journal.store, journal.shard, journal.epoch_value
            )

    async def _step_down_all(self) -> None:
        shard = self._shard
        me, order = holder_of(shard.view.me), StepDown(shard.id, shard.journal.epoch)
        settled = await asyncio.gather(
            *(is_settled(h, me, order, shard.peers) for h in self._unsettled)
        )
        pairs = zip(self._unsettled, settled, strict=True)
        self._unsettled = [holder for holder, done in pairs if not done]
        if shard.clock() > self._bound:
            self._unsettled = []
        if not self._unsettled:
            self._shorten()

    def _shorten(self) -> None:
        # No earlier owner grants any more, so its last grants end a grant from now.
        shard = self._shard
        until = shard.whole_grant_from(shard.clock())
        for attempts in self._held_by_node.values():
            for attempt in attempts:
                bound = shard.granted_until.get(attempt, until)
                shard.granted_until[attempt] = min(bound, until)

    # ---- agents

    async def _ask_agents(self) -> None:
        current = self._shard.record.task_by_attempt
        for node, attempts in list(self._held_by_node.items()):
            if not any(attempt in current for attempt in attempts):
                del self._held_by_node[node]
        await asyncio.gather(*(self._ask(node) for node in list(self._held_by_node)))

    async def _ask(self, node: NodeId) -> None:
        shard = self._shard
        member = shard.view.member_by_node.get(node)
        if member is None:
            return
        ask = Adopt(shard.id, shard.journal.epoch)
        answer = await shard.peers.call(
            member.host, member.port, ask, timeout=CALL_SECONDS
        )
        if isinstance(answer, Adopted):
            held = self._held_by_node.pop(node)
            self._grants.adopted(answer, held)
