"""Orders to the agents, rate-limited to the capacity of the leader's link.

The `Scheduler` adds orders and takes out those that can be sent now.
"""

from collections.abc import Callable, Mapping

from wagtailcleat.ids import Epoch, NodeId
from wagtailcleat.scheduling.models import RunKey, Start
from wagtailcleat.scheduling.outgoing import (
    BURST_SECONDS,
    EndTracker,
    PendingOrders,
    ReceivedEnd,
    take_starts,
)
from wagtailcleat.scheduling.token_bucket import TokenBucket
from wagtailcleat.scheduling.vms import Vm
from wagtailcleat.wire.scheduling import Orders

Withdraw = Callable[[Vm, RunKey], None]
"""Called to free the room and requeue the task of a run whose start was not sent."""
MayAcknowledge = Callable[[ReceivedEnd], bool]
"""Returns whether an end that is stored may be acknowledged."""


class Dispatch:
    """Pending orders by agent, and the acknowledgements of ends."""

    def __init__(self, epoch: Epoch, start_bytes_per_second: float) -> None:
        """Create orders of the leader of `epoch`.

        Parameters: `start_bytes_per_second` limits the rate of starts.
        """
        self.holds_starts = False
        """Whether the rate limit holds back some starts."""
        self._epoch = epoch
        self._tracker_by_node: dict[NodeId, EndTracker] = {}
        self._pending_by_node: dict[NodeId, PendingOrders] = {}
        self._start_budget = TokenBucket(
            start_bytes_per_second, burst_seconds=BURST_SECONDS
        )

    def __repr__(self) -> str:
        """Show the number of agents with pending orders."""
        return f"<Dispatch to {len(self._pending_by_node)} agents>"

    def pending(self, node: NodeId) -> PendingOrders:
        """Return the pending orders of an agent."""
        return self._pending_by_node.setdefault(node, PendingOrders())

    def withdraw_starts(self, vm: Vm, withdraw: Withdraw) -> None:
        """Take back the starts that were not sent, and call `withdraw` for each."""
        pending = self._pending_by_node.get(vm.node)
        if pending is None:
            return
        starts, pending.starts = pending.starts, []
        for start in starts:
            if start.key in vm.hosted_by_run:
                withdraw(vm, start.key)

    def end_tracker(self, node: NodeId, born: int) -> EndTracker:
        """Return the ends of a worker's incarnation; a new one starts without ends.

        Parameters: `born` identifies the incarnation, see `WorkerInfo`.
        """
        tracker = self._tracker_by_node.get(node)
        if tracker is None or tracker.born != born:
            tracker = self._tracker_by_node[node] = EndTracker(born)
        return tracker

    def has_unsettled_ends(self, node: NodeId) -> bool:
        """Return whether ends that an agent has listed may not be acknowledged yet."""
        tracker = self._tracker_by_node.get(node)
        return tracker is not None and bool(tracker.unsettled)

    def orders(
        self,
        vm_by_node: Mapping[NodeId, Vm],
        withdraw: Withdraw,
        may_acknowledge: MayAcknowledge,
        *,
        now: float,
    ) -> list[tuple[Vm, Orders]]:
        """Return the orders to send now to connected agents, and mark them as sent.

        Parameters: `withdraw` is called for each start that will not be sent;
        `may_acknowledge` for each end that is stored.
        """
        self._settle_ends(may_acknowledge)
        self._start_budget.refill(now)
        self.holds_starts = False
        sent = []
        for node, pending in list(self._pending_by_node.items()):
            vm = vm_by_node.get(node)
            if vm is None or vm.worker is None:
                del self._pending_by_node[node]
                continue
            if not pending or not vm.is_connected:
                continue
            self._take_orders(node, pending)
            if not pending:
                continue
            vm.orders_sent += 1
            orders = Orders(
                self._epoch,
                vm.orders_sent,
                vm.worker.born,
                _mark_sent(vm, pending.starts, withdraw, now),
                pending.stops,
                pending.paces,
                self._settled_number(vm.node, vm.worker.born),
            )
            sent.append((vm, orders))
        return sent

    def _take_orders(self, node: NodeId, pending: PendingOrders) -> None:
        """Remove an agent's pending orders, except starts beyond the rate limit."""
        del self._pending_by_node[node]
        count = take_starts(pending.starts, self._start_budget)
        if count < len(pending.starts):
            self._pending_by_node[node] = PendingOrders(starts=pending.starts[count:])
            pending.starts = pending.starts[:count]
            self.holds_starts = True

    def _settled_number(self, node: NodeId, born: int) -> int:
        """Return up to which number a worker incarnation's ends are acknowledged."""
        tracker = self._tracker_by_node.get(node)
        # A new incarnation numbers its ends from 1, and is known before its first list:
        # the numbers of the previous one must not acknowledge them.
        return tracker.settled if tracker is not None and tracker.born == born else 0

    def _settle_ends(self, may_acknowledge: MayAcknowledge) -> None:
        for node, tracker in self._tracker_by_node.items():
            before = tracker.settled
            while tracker.unsettled:
                end = tracker.unsettled[0]
                is_stored = end.entry is None or end.entry.committed >= end.version
                if not is_stored or not may_acknowledge(end):
                    break
                tracker.unsettled.popleft()
                tracker.settled = end.number
            if tracker.settled > before:
                self.pending(node).acknowledged = tracker.settled


def _mark_sent(
    vm: Vm, starts: list[Start], withdraw: Withdraw, now: float
) -> list[Start]:
    wanted = []
    for start in starts:
        hosted = vm.hosted_by_run.get(start.key)
        if hosted is None:
            continue
        if hosted.stopping:
            withdraw(vm, start.key)
            continue
        hosted.sent = True
        hosted.progressed_at = now
        hosted.order_number = vm.orders_sent
        hosted.session = vm.session
        wanted.append(start)
    return wanted
