"""Refused connections to the leader's port, as one entry has seen them."""

from wagtailcleat.cluster.timing import ESTABLISHED_LEADER_SECONDS

NO_REVISION = -1
"""Equals no revision of a key in the store."""


class LeaderRefusals:
    """Whether an established leader's port refuses connections.

    Such a leader may be replaced at once while its heartbeat is still the one that was
    known at the first refusal.
    """

    def __init__(self) -> None:
        """Start without refusals."""
        self._heartbeat_revision: int | None = None
        """Heartbeat revision when an established leader's port first refused.

        `NO_REVISION` if the leader was not established then, None without refusals.
        """

    def __repr__(self) -> str:
        """Show the heartbeat revision of the first refusal."""
        return f"<LeaderRefusals since {self._heartbeat_revision}>"

    def clear(self) -> None:
        """Forget the refusals, because the leader has answered."""
        self._heartbeat_revision = None

    def record(
        self, *, refused: bool, known_for: float, heartbeat_revision: int
    ) -> None:
        """Record the result of a probe.

        Parameters: `known_for` is how many seconds this entry has known the leader.
        """
        if not refused:
            self._heartbeat_revision = None
        elif self._heartbeat_revision is None:
            established = known_for >= ESTABLISHED_LEADER_SECONDS
            self._heartbeat_revision = (
                heartbeat_revision if established else NO_REVISION
            )

    def by_established(self, heartbeat_revision: int) -> bool:
        """Return whether an established leader refuses, at the same heartbeat."""
        return heartbeat_revision == self._heartbeat_revision
