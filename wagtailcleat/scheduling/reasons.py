"""Reasons for the start of a task, for the leader's log."""

from typing import NamedTuple


class Margin(NamedTuple):
    """The most restrictive serving image beside a filling task on its VM."""

    beside: str = ""
    """The serving image with the least room; empty if no serving task runs there."""
    adds: float = 0.0
    """Utilization that the task is expected to add to that image at full pace."""
    variance: float = 0.0
    """Variance of that estimate, for a VM full of the task's image."""
    room: float = 0.0
    """Utilization that could still be added to that image, by its last report."""
    age: float = 0.0
    """Seconds since the VM's last report."""


class StartReason(NamedTuple):
    """Values that explain why a task was started, and where."""

    lateness: str
    """Lower-case name of the job's `Lateness`."""
    slack: float
    """Seconds until the job's objective beyond its remaining work; negative: late."""
    due: float | None
    """Seconds until the objective of the job; None for a long-running step."""
    margin: Margin

    def fields(self) -> dict[str, str | float]:
        """Return the fields of the log line, without those that do not apply."""
        fields: dict[str, str | float] = {
            "lateness": self.lateness,
            "slack": round(self.slack, 2),
        }
        if self.due is not None:
            fields["due"] = round(self.due, 2)
        if self.margin.beside:
            fields["beside"] = self.margin.beside
            for name in ("adds", "variance", "room", "age"):
                fields[name] = round(getattr(self.margin, name), 3)
        return fields
