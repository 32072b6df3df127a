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
        if not self.note_incarnation(report):
            return True
        _, number = self._last_by_node[report.node]
        if 0 < report.number <= number:
            return True
        self._last_by_node[report.node] = (report.incarnation, report.number)
        return False

    def note_incarnation(self, report: Report) -> bool:
        """Return whether a report is of its agent's latest incarnation, and note that.

        Called for each report, also for those that are not accepted: the first report
        that an incarnation makes for this leader's epoch, after the leader has told it
        to follow, may be delayed beyond those of the next incarnation.
        """
        if (report.node, report.incarnation) in self._past_incarnations:
            return False
        known, _ = self._last_by_node.setdefault(report.node, (report.incarnation, 0))
        if report.incarnation != known:
            self._past_incarnations.add((report.node, known))
            self._last_by_node[report.node] = (report.incarnation, 0)
        return True
