"""Shards that this agent owns: connects their ownership and message handlers."""

from collections.abc import Callable

from wagtailcleat.batch.holders import Holder
from wagtailcleat.batch.journal import Journal
from wagtailcleat.batch.owner import Owner
from wagtailcleat.batch.ownership import Ownership
from wagtailcleat.batch.shard import Shard
from wagtailcleat.clock import Clock
from wagtailcleat.configuration.models import zone_is_out
from wagtailcleat.ids import ShardId
from wagtailcleat.node import Node
from wagtailcleat.process import PlainHandlers
from wagtailcleat.settings import AgentSettings
from wagtailcleat.wire.attempts import RenewGrants
from wagtailcleat.wire.jobs import CancelJob, ListJobs, NotOwner, ShowJob, SubmitJob
from wagtailcleat.wire.membership import Member
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.takeover import StepDown

OWNER_MESSAGES = (SubmitJob, ShowJob, ListJobs, CancelJob, RenewGrants)


class ShardHosting:
    """Connects the ownership of shards with a node and its messages."""

    def __init__(
        self,
        node: Node,
        settings: AgentSettings,
        *,
        wall_clock: Clock,
        closed_reason: Callable[[], str],
    ) -> None:
        """Own a share of the shards.

        Parameters: `closed_reason` returns why no shard may be claimed, or an empty
        string.
        """
        self._node = node
        self._settings = settings
        self._wall_clock = wall_clock
        self.ownership = Ownership(
            node.store,
            node.view,
            node.supervisor.supervisor("ownership"),
            shards=settings.shards,
            clock=node.clock,
            timing=settings.timing,
            rng=node.rng("ownership"),
            make_owner=self._make_owner,
            announce=self._announce,
            closed=closed_reason,
            may_own=self._may_own,
        )

    def by_message(self) -> PlainHandlers:
        """Return the handlers by message class."""
        handlers: PlainHandlers = dict.fromkeys(OWNER_MESSAGES, self._on_owner_message)
        return handlers | {StepDown: self._on_step_down}

    def dump(self) -> dict[str, object]:
        """Return the state of each owned shard for the state dump."""
        owners = self.ownership.owner_by_shard
        return {str(shard): owner.dump() for shard, owner in owners.items()}

    def _make_owner(
        self, shard: ShardId, journal: Journal, earlier: list[Holder]
    ) -> Owner:
        node = self._node
        owned = Shard(
            shard,
            self._settings.shards,
            journal,
            node.view,
            node.in_force,
            node.peers,
            node.clock,
            self._wall_clock,
            self._settings.timing,
            node.rng(f"shard/{shard}"),
            self.ownership.may_grant_until,
        )
        return Owner(owned, earlier)

    def _may_own(self, member: Member) -> bool:
        # An agent in a zone that is out claims no shards. If it counted as a
        # candidate, a shard could be left without an owner.
        return not zone_is_out(self._node.in_force.configuration, member.zone)

    def _announce(self) -> None:
        shards = sorted(self.ownership.owner_by_shard)
        change = self._node.change_me
        self._node.supervisor.once("announce", lambda: change(shards=shards))

    async def _on_owner_message(self, message: AnyMessage) -> AnyMessage:
        shard = message.spec.shard if isinstance(message, SubmitJob) else message.shard  # type: ignore[union-attr]
        owner = self.ownership.owner_by_shard.get(shard)
        if owner is None:
            known = self._node.view.owner(shard)
            return NotOwner(known.node if known else "")
        return await owner.order(message)

    async def _on_step_down(self, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, StepDown)
        return self.ownership.step_down(message)
