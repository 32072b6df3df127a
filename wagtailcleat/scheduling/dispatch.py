"""What leaves for the agents: orders, within what the leader's link bears."""

from collections.abc import Callable, Mapping

from wagtailcleat.ids import Epoch, NodeId
from wagtailcleat.scheduling.models import RunKey, Start
from wagtailcleat.scheduling.outgoing import Acknowledging, Outgoing, StartBudget
from wagtailcleat.scheduling.vms import Vm
from wagtailcleat.wire.scheduling import Orders

Withdraw = Callable[[Vm, RunKey], None]
"""Frees the room and the task of a run whose start was not sent."""


class Dispatch:
    """Orders that wait for their agents, and the ends that these may forget."""

    def __init__(self, epoch: Epoch, start_bytes_per_second: float) -> None:
        """Send as the leader of `epoch`; see `StartBudget` for the bytes of starts."""
        self.holds_starts = False
        """Whether starts wait for the link to bear them."""
        self._epoch = epoch
        self._acks_by_node: dict[NodeId, Acknowledging] = {}
        self._outgoing_by_node: dict[NodeId, Outgoing] = {}
        self._start_budget = StartBudget(start_bytes_per_second)

    def __repr__(self) -> str:
        """Show for how many agents orders wait."""
        return f"<Dispatch to {len(self._outgoing_by_node)} agents>"

    def outgoing(self, node: NodeId) -> Outgoing:
        """Return what an agent is still to be told."""
        return self._outgoing_by_node.setdefault(node, Outgoing())

    def acknowledging(self, node: NodeId, born: int) -> Acknowledging:
        """Return the ends of a worker's life; a new life begins with none."""
        ends = self._acks_by_node.get(node)
        if ends is None or ends.born != born:
            ends = self._acks_by_node[node] = Acknowledging(born)
        return ends

    def orders(
        self, vm_by_node: Mapping[NodeId, Vm], withdraw: Withdraw, *, now: float
    ) -> list[tuple[Vm, Orders]]:
        """Return what each agent in touch is to be told now, and count it as sent.

        Parameters: `withdraw` is called for each start that is not wanted any more.
        """
        self._acknowledge()
        self._start_budget.fill(now)
        self.holds_starts = False
        sent = []
        for node, outgoing in list(self._outgoing_by_node.items()):
            vm = vm_by_node.get(node)
            if vm is None or vm.worker is None:
                del self._outgoing_by_node[node]
                continue
            if not outgoing or not vm.present:
                continue
            self._hold_starts(node, outgoing)
            if not outgoing:
                continue
            vm.orders_sent += 1
            orders = Orders(
                self._epoch,
                vm.orders_sent,
                vm.worker.born,
                _still_wanted(vm, outgoing.starts, withdraw),
                outgoing.stops,
                outgoing.paces,
                self._acknowledged(vm.node, vm.worker.born),
            )
            sent.append((vm, orders))
        return sent

    def _hold_starts(self, node: NodeId, outgoing: Outgoing) -> None:
        """Take an agent's orders out, but the starts that the link does not bear."""
        del self._outgoing_by_node[node]
        count = self._start_budget.spend(outgoing.starts)
        if count < len(outgoing.starts):
            self._outgoing_by_node[node] = Outgoing(starts=outgoing.starts[count:])
            outgoing.starts = outgoing.starts[:count]
            self.holds_starts = True

    def _acknowledged(self, node: NodeId, born: int) -> int:
        """Return up to which number ends of a worker's life are durable."""
        ends = self._acks_by_node.get(node)
        # The numbers of its next life begin anew, before its ends are first listed.
        return ends.durable if ends is not None and ends.born == born else 0

    def _acknowledge(self) -> None:
        for node, ends in self._acks_by_node.items():
            before = ends.durable
            while ends.waiting:
                number, entry, version = ends.waiting[0]
                if entry is not None and entry.committed < version:
                    break
                ends.waiting.popleft()
                ends.durable = number
            if ends.durable > before:
                self.outgoing(node).acknowledged = ends.durable


def _still_wanted(vm: Vm, starts: list[Start], withdraw: Withdraw) -> list[Start]:
    wanted = []
    for start in starts:
        hosted = vm.hosted_by_run.get(start.key)
        if hosted is None:
            continue
        if hosted.stopping:
            withdraw(vm, start.key)
            continue
        hosted.sent = True
        hosted.order = vm.orders_sent
        hosted.session = vm.session
        wanted.append(start)
    return wanted
