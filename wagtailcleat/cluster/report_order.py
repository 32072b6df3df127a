"""Detect reports that arrive after a later report of the same agent.

Used by `leader`.
"""

from wagtailcleat.ids import Incarnation, NodeId
from wagtailcleat.wire.scheduling import Report


class ReportOrder:
    """The incarnations of agents, and the number of each agent's last report."""

    def __init__(self) -> None:
        """Start without reports."""
        self._last_by_node: dict[NodeId, tuple[Incarnation, int]] = {}
        """Incarnation and number of the last report of each agent."""
        self._past_incarnations: set[tuple[NodeId, Incarnation]] = set()
        """Incarnations of agents that were replaced by a later one."""

    def __repr__(self) -> str:
        """Show how many agents have reported."""
        return f"<ReportOrder of {len(self._last_by_node)} agents>"

    def is_stale(self, report: Report) -> bool:
        """Return whether a later report was handled already; if not, record this one.

        A report may be delayed on a connection that its agent has closed, and arrive
        after later ones. It does not list what was started since: those runs would
        count as gone, and start elsewhere while they continue.
        """
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
