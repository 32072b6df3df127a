"""Renews the grants of attempts at their shards' owners, and reports ends to them.

A grant is a lease on running an attempt. The agent counts the lease from the agent's
request, the owner from the owner's answer, so the lease always expires at the agent
first. The worker's lease on the task ends at the same instant as the agent's grant: the
worker itself stops a task whose agent has crashed or is paused.
"""

import asyncio

from wagtailcleat.agent.attempt_table import AttemptTable, Phase
from wagtailcleat.agent.evictor import Evictor
from wagtailcleat.agent.shard_owners import ShardOwners
from wagtailcleat.batch.shard import RENEWALS_PER_GRANT
from wagtailcleat.ids import AttemptId, Incarnation, NodeId, ShardId, VmName
from wagtailcleat.platform.worker import Worker
from wagtailcleat.settings import Timing
from wagtailcleat.wire.attempts import Grants, RenewGrants
from wagtailcleat.wire.membership import Member
from wagtailcleat.wire.peers import Peers

CHECKS_PER_RENEWAL = 4
CALL_TIMEOUT_SECONDS = 2.0


class GrantRenewal:
    """Requests new grants from each shard's owner, at intervals and after an end."""

    def __init__(
        self,
        table: AttemptTable,
        owners: ShardOwners,
        evictor: Evictor,
        worker: Worker,
        peers: Peers,
        *,
        node: NodeId,
        vm: VmName,
        incarnation: Incarnation,
        timing: Timing,
    ) -> None:
        """Renew the grants of the attempts in `table`, and their leases at `worker`."""
        self._table = table
        self._owners = owners
        self._evictor = evictor
        self._worker = worker
        self._peers = peers
        self._node = node
        self._vm = vm
        self._incarnation = incarnation
        self._timing = timing
        self._interval = timing.grant / RENEWALS_PER_GRANT
        self._renewed_at_by_shard: dict[ShardId, float] = {}

    async def run(self) -> None:
        """Renew due grants at intervals and after an end, until cancelled."""
        ended = self._table.unreported_end
        while True:
            await self.renew_due()
            try:
                async with asyncio.timeout(self._interval / CHECKS_PER_RENEWAL):
                    await ended.wait()
            except TimeoutError:
                continue
            ended.clear()

    async def renew_due(self) -> None:
        """Renew the grants of each shard with an unreported end or a renewal due."""
        now = self._table.clock()
        due: set[ShardId] = set()
        for attempt in self._table.attempt_by_id.values():
            if attempt.phase is Phase.RESERVED:
                continue
            renewed_at = self._renewed_at_by_shard.get(attempt.shard, 0.0)
            if attempt.report is not None or now - renewed_at >= self._interval:
                due.add(attempt.shard)
        await asyncio.gather(*(self._renew_shard(shard) for shard in due))

    async def _renew_shard(self, shard: ShardId) -> None:
        if shard in self._owners.shards_without_epoch:
            return
        for owner in self._owners.candidates(shard):
            if await self._request_renewal(shard, owner):
                return

    async def _request_renewal(self, shard: ShardId, owner: Member) -> bool:
        requested_at = self._table.clock()
        answer = await self._peers.call(
            owner.host,
            owner.port,
            self._renewal_message(shard, requested_at),
            timeout=CALL_TIMEOUT_SECONDS,
        )
        if not isinstance(answer, Grants):
            return False
        if not self._owners.accept(shard, answer.epoch, owner.node):
            return False
        self._renewed_at_by_shard[shard] = requested_at
        await self._apply(answer, requested_at)
        return True

    def _renewal_message(self, shard: ShardId, now: float) -> RenewGrants:
        return RenewGrants(
            self._vm,
            self._node,
            self._incarnation,
            shard,
            self._owners.epoch(shard),
            [
                attempt.current_report()
                for attempt in self._table.of_shard(shard)
                if attempt.phase is not Phase.RESERVED
            ],
            self._table.commitments.free(now),
        )

    async def _apply(self, answer: Grants, requested_at: float) -> None:
        await self._extend(answer.seconds_by_attempt, requested_at)
        for attempt_id in answer.acknowledged:
            await self._forget(attempt_id)
        for attempt_id in answer.stop:
            attempt = self._table.attempt_by_id.get(attempt_id)
            if attempt is not None:
                await self._evictor.evict(attempt, "its owner stops it")

    async def _extend(
        self, seconds_by_attempt: dict[AttemptId, float], requested_at: float
    ) -> None:
        lease_until_by_attempt: dict[AttemptId, float] = {}
        for attempt_id, seconds in seconds_by_attempt.items():
            attempt = self._table.attempt_by_id.get(attempt_id)
            if attempt is None or attempt.phase is Phase.ENDED:
                continue
            attempt.grant_until = max(attempt.grant_until, requested_at + seconds)
            lease_until_by_attempt[attempt_id] = attempt.grant_until
        if lease_until_by_attempt:
            await self._worker.renew(lease_until_by_attempt)

    async def _forget(self, attempt_id: AttemptId) -> None:
        attempt = self._table.attempt_by_id.get(attempt_id)
        if attempt is None or attempt.phase is not Phase.ENDED:
            return
        self._table.discard(attempt_id, attempt.shard, "ended")
        await self._worker.forget(attempt_id)
