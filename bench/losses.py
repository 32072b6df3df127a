"""Show where a played day lost its worth, from its report file and the site's sheet.

The worth lost is split by class of requests, by the parts of the score and by prices.
The loss of the whole day is split once more by what happened at the time, which need
not be its cause. The sums are checked against the figures in the report.

python -m bench.losses REPORT SITE
"""

import json
import sys
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

import cyclopts

WINDOW_SECONDS = 2.0
"""Length of the report's windows."""
POWER_LOSS_SECONDS = 6.0
"""How long a loss of power counts as the cause of what is lost.

The report's own interval lasts until the machines count as settled.
"""
TOLERANCE = 0.02
"""Greatest difference between a sum and the bench's figure that is put down to counts.

The sheet has the mean worth of a class, not that of each request.
"""
NO_CAUSE = "no disturbance"
KINDS_BY_CAUSE = {
    "no power": ("closing", "herd_kill", "zone_loss", "after_ack_kill"),
    "store away": ("platform_down", "platform_slow", "platform_lost", "core_cut"),
    "network cut": ("bridge_cut", "node_cut", "zone_cut", "srv_cut", "lossy"),
    "processes restarted": ("roll_term", "node_kill", "replace_core", "node_freeze"),
    "workers fail or leave": (
        "srv_",
        "release",
        "scale_in",
        "evacuate",
        "applied_late",
    ),
    "burst": ("burst", "hot_key", "poison"),
}
"""Prefixes of kinds of disturbance; of several at one time the first cause counts."""


class Loss(NamedTuple):
    """Worth that was lost to one cause, as a share of all that was owed."""

    cause: str
    worth: float


def losses_by_part(report: dict[str, Any], site: dict[str, Any]) -> list[Loss]:
    """Return the losses by class, by the other parts of the score, and by price."""
    weight_by_part = {name: weight for name, weight, _ in report["parts"]}
    share_by_part = {name: share for name, _, share in report["parts"]}
    losses = [
        Loss(f"class {name}", weight_by_part["whole day"] * lost)
        for name, lost in _lost_by_class(report, site).items()
    ]
    losses += [
        Loss(name, weight * (1 - share_by_part[name]))
        for name, weight in weight_by_part.items()
        if name != "whole day"
    ]
    losses += [
        Loss(f"price of {name}", price) for name, _, price in report["prices"] if price
    ]
    return losses


def _lost_by_class(report: dict[str, Any], site: dict[str, Any]) -> dict[str, float]:
    """Return the share of all owed worth that each class lost."""
    worth_by_class = {row["name"]: row["worth"] for row in site["classes"]}
    owed_by_class = {
        row["name"]: (row["n"] - row["not_owed"]) * worth_by_class[row["name"]]
        for row in report["classes"]
    }
    owed = sum(owed_by_class.values())
    return {
        row["name"]: owed_by_class[row["name"]] * (1 - row["worth"]) / owed
        for row in report["classes"]
    }


def losses_by_moment(report: dict[str, Any]) -> list[Loss]:
    """Return the loss of the whole day by what happened in each window.

    Windows count by their numbers of requests, scaled to the loss of the day.
    """
    lost_by_cause: dict[str, float] = {}
    for row in report["windows"]:
        cause = _cause(float(row["name"]), report["events"])
        lost = (row["n"] - row["not_owed"]) * (1 - row["worth"])
        lost_by_cause[cause] = lost_by_cause.get(cause, 0.0) + lost
    total = sum(lost_by_cause.values()) or 1.0
    weight, share = next(
        (weight, share)
        for name, weight, share in report["parts"]
        if name == "whole day"
    )
    rows = [
        Loss(cause, weight * (1 - share) * lost / total)
        for cause, lost in lost_by_cause.items()
    ]
    return sorted(rows, key=lambda row: -row.worth)


def _cause(begins_at: float, events: list[dict[str, Any]]) -> str:
    """Return the cause of what was lost in the window that begins at a second."""
    kinds = [event["kind"] for event in events if _overlaps(event, begins_at)]
    for cause, prefixes in KINDS_BY_CAUSE.items():
        if any(kind.startswith(prefixes) for kind in kinds):
            return cause
    return NO_CAUSE


def _overlaps(event: dict[str, Any], begins_at: float) -> bool:
    ends_at = event["to_s"]
    if event["kind"].startswith(KINDS_BY_CAUSE["no power"]):
        ends_at = min(ends_at, event["at_s"] + POWER_LOSS_SECONDS)
    return event["at_s"] < begins_at + WINDOW_SECONDS and ends_at > begins_at


def main(report_file: Path, site_file: Path) -> int:
    """Print the losses of a day; return 1 if they don't add up to the report's."""
    report = json.loads(report_file.read_text())
    site = tomllib.loads(site_file.read_text())
    by_part = losses_by_part(report, site)
    lost = sum(row.worth for row in by_part)
    print(f"worth {report['G']:.3f}, lost {1 - report['G']:.3f}, explained {lost:.3f}")
    _print("by part", by_part)
    _print("of the whole day, by what happened at the time", losses_by_moment(report))
    return 0 if abs(lost - (1 - report["G"])) <= TOLERANCE else 1


def _print(title: str, losses: list[Loss]) -> None:
    print(f"\n{title}")
    for row in losses:
        print(f"  {row.worth:.4f}  {row.cause}")


if __name__ == "__main__":
    app = cyclopts.App(help=__doc__)
    app.default(main)
    sys.exit(app())
