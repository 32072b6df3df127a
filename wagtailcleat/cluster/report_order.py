"""Which of an agent's reports is the latest."""

from wagtailcleat.ids import Incarnation, NodeId
from wagtailcleat.wire.scheduling import Report


class ReportOrder:
    """The lives of the agents, and the number of the last report of each."""

    def __init__(self) -> None:
        """Know no report yet."""
        self._last_by_node: dict[NodeId, tuple[Incarnation, int]] = {}
        """Life and number of the last report of each agent."""
        self._past_incarnations: set[tuple[NodeId, Incarnation]] = set()
        """Lives of agents that a later one has followed."""

    def __repr__(self) -> str:
        """Show how many agents have reported."""
        return f"<ReportOrder of {len(self._last_by_node)} agents>"

    def is_stale(self, report: Report) -> bool:
        """Tell whether a later report was taken in already; if not, note this one."""
        # A report may be held up on a connection that its agent has given up, and come
        # after later ones. It does not show what was started since: those runs would
        # count as gone, and start elsewhere while they go on.
        if (report.node, report.incarnation) in self._past_incarnations:
            return True
        incarnation, number = self._last_by_node.get(
            report.node, (report.incarnation, 0)
        )
        if report.incarnation != incarnation:
            self._past_incarnations.add((report.node, incarnation))
            number = 0
        if 0 < report.number <= number:
            return True
        self._last_by_node[report.node] = (report.incarnation, report.number)
        return False
