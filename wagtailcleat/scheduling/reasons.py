"""Why a task started where it did, as the decision log tells it."""

from typing import NamedTuple


class Margin(NamedTuple):
    """What a filling task meets on a VM, beside the serving image that binds."""

    beside: str = ""
    """The serving image with the least room; empty where nobody serves."""
    adds: float = 0.0
    """Utilization that the task is expected to add to it at full pace."""
    variance: float = 0.0
    """Of that estimate, for a VM full of the task's image."""
    room: float = 0.0
    """Utilization that could still be added to it, by its last report."""
    age: float = 0.0
    """Seconds since the VM was last reported."""


class StartReason(NamedTuple):
    """What decided a start."""

    lateness: str
    """When its job can be done at best."""
    slack: float
    """Seconds that its job has beyond the work that is left; negative: late."""
    due: float | None
    """Seconds until the objective of its job; none where its step runs for ever."""
    margin: Margin

    def fields(self) -> dict[str, str | float]:
        """Return the fields of the log line; those of no use here are left out."""
        told: dict[str, str | float] = {
            "lateness": self.lateness,
            "slack": round(self.slack, 2),
        }
        if self.due is not None:
            told["due"] = round(self.due, 2)
        if self.margin.beside:
            told["beside"] = self.margin.beside
            for name in ("adds", "variance", "room", "age"):
                told[name] = round(getattr(self.margin, name), 3)
        return told
