"""How late a job ended, and between which of its log lines it lost its time.

A start tells its job's slack: the seconds until the objective less the work that is
left. Work that goes as estimated leaves it as it is; whatever it falls by was lost.
"""

from collections.abc import Iterator, Mapping, Sequence
from datetime import datetime, timedelta
from typing import Any, NamedTuple

MOST_SHOWN = 3
LEAST_SECONDS = 0.3
"""A smaller fall of the slack is passed over."""
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"

Line = Mapping[str, Any]


class Point(NamedTuple):
    """The slack at the time of one line."""

    line: Line
    moment: datetime
    slack: float


def tell_lost_time(lines: Sequence[Line]) -> Iterator[str]:
    """Yield how late each occurrence of a job ended, and where it lost its time.

    Parameters: `lines` of one job in order of time.
    """
    occurrences = dict.fromkeys(
        _occurrence(line) for line in lines if _is(line, "Starts") and "due" in line
    )
    for occurrence in occurrences:
        of_it = [line for line in lines if _occurrence(line) in ("", occurrence)]
        try:
            points = _points(of_it)
        except ValueError:
            # A time in another format: nothing can be said of it.
            continue
        yield from _tell(occurrence, points)


def _occurrence(line: Line) -> str:
    _, _, rest = str(line.get("run", "")).partition("/")
    return rest.split("/")[0]


def _is(line: Line, ending: str) -> bool:
    return str(line["message"]).endswith(ending)


def _points(lines: Sequence[Line]) -> list[Point]:
    starts = [
        Point(line, moment(line), float(line["slack"]))
        for line in lines
        if _is(line, "Starts") and "due" in line
    ]
    first, last = starts[0], starts[-1]
    points = [*starts]
    accepted = [line for line in lines if _is(line, "Accepted")]
    if accepted and _occurrence(first.line) == "0":
        waited = (first.moment - moment(accepted[0])).total_seconds()
        points.insert(0, Point(accepted[0], moment(accepted[0]), first.slack + waited))
    ends = [line for line in lines if _is(line, "Run ended")]
    if ends:
        objective = last.moment + timedelta(seconds=float(last.line["due"]))
        left = objective - moment(ends[-1])
        points.append(Point(ends[-1], moment(ends[-1]), left.total_seconds()))
    return points


def moment(line: Line) -> datetime:
    """Return the time of a line.

    Raises:
        ValueError: it is in another format.

    """
    return datetime.strptime(str(line["time"]), TIME_FORMAT)


def _tell(occurrence: str, points: Sequence[Point]) -> Iterator[str]:
    last = points[-1]
    if _is(last.line, "Run ended"):
        side = "after" if last.slack < 0 else "before"
        yield (
            f"! occurrence {occurrence}: its last run ended"
            f" {abs(last.slack):.1f} s {side} its objective"
        )
    falls = [
        (before.slack - after.slack, before, after)
        for before, after in zip(points, points[1:], strict=False)
    ]
    largest = sorted(falls, key=lambda fall: -fall[0])[:MOST_SHOWN]
    for seconds, before, after in largest:
        if seconds >= LEAST_SECONDS:
            yield (
                f"! lost {seconds:.1f} s between {before.line['time']} and"
                f" {after.line['time']}, {_short(before.line)} to {_short(after.line)}"
            )


def _short(line: Line) -> str:
    _, _, message = str(line["message"]).partition(": ")
    return f"{message} {line.get('run', '')}".strip()
