"""Computes how late a job ended and between which of its log lines it lost time.

`explain` prints the result. Each line of a run's start gives the slack of its job: the
seconds until the objective minus the estimated remaining work. Slack stays the same
while work proceeds as estimated, so a decrease is time lost.
"""

from collections.abc import Iterator, Mapping, Sequence
from datetime import datetime, timedelta
from typing import Any, NamedTuple

MAX_LOSSES_SHOWN = 3
MIN_LOSS_SECONDS = 0.3
"""A smaller decrease of the slack is not reported."""
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"

Line = Mapping[str, Any]


class SlackSample(NamedTuple):
    """The slack of a job in seconds, at the time of one log line."""

    line: Line
    time: datetime
    slack: float


def lost_time_lines(lines: Sequence[Line]) -> Iterator[str]:
    """Yield how late each occurrence of a job ended and its largest losses of time.

    Parameters: `lines` of one job, ordered by time.
    """
    occurrences = dict.fromkeys(
        _occurrence(line)
        for line in lines
        if _message_ends_with(line, "Starts") and "due" in line
    )
    for occurrence in occurrences:
        occurrence_lines = [
            line for line in lines if _occurrence(line) in ("", occurrence)
        ]
        try:
            samples = _slack_samples(occurrence_lines)
        except ValueError:
            # A timestamp in another format can't be compared.
            continue
        yield from _lost_time_of_occurrence(occurrence, samples)


def _occurrence(line: Line) -> str:
    _, _, rest = str(line.get("run", "")).partition("/")
    return rest.split("/")[0]


def _message_ends_with(line: Line, ending: str) -> bool:
    return str(line["message"]).endswith(ending)


def _slack_samples(lines: Sequence[Line]) -> list[SlackSample]:
    starts = [
        SlackSample(line, line_time(line), float(line["slack"]))
        for line in lines
        if _message_ends_with(line, "Starts") and "due" in line
    ]
    first, last = starts[0], starts[-1]
    samples = [*starts]
    accepted = [line for line in lines if _message_ends_with(line, "Accepted")]
    if accepted and _occurrence(first.line) == "0":
        waited = (first.time - line_time(accepted[0])).total_seconds()
        samples.insert(
            0, SlackSample(accepted[0], line_time(accepted[0]), first.slack + waited)
        )
    ends = [line for line in lines if _message_ends_with(line, "Run ended")]
    if ends:
        objective = last.time + timedelta(seconds=float(last.line["due"]))
        slack_at_end = objective - line_time(ends[-1])
        samples.append(
            SlackSample(ends[-1], line_time(ends[-1]), slack_at_end.total_seconds())
        )
    return samples


def line_time(line: Line) -> datetime:
    """Return the timestamp of a log line.

    Raises:
        ValueError: the timestamp is in another format.

    """
    return datetime.strptime(str(line["time"]), TIME_FORMAT)


def _lost_time_of_occurrence(
    occurrence: str, samples: Sequence[SlackSample]
) -> Iterator[str]:
    last = samples[-1]
    if _message_ends_with(last.line, "Run ended"):
        relation = "after" if last.slack < 0 else "before"
        yield (
            f"! occurrence {occurrence}: its last run ended"
            f" {abs(last.slack):.1f} s {relation} its objective"
        )
    losses = [
        (before.slack - after.slack, before, after)
        for before, after in zip(samples, samples[1:], strict=False)
    ]
    largest = sorted(losses, key=lambda loss: -loss[0])[:MAX_LOSSES_SHOWN]
    for seconds, before, after in largest:
        if seconds >= MIN_LOSS_SECONDS:
            yield (
                f"! lost {seconds:.1f} s between {before.line['time']} and"
                f" {after.line['time']}, {_event_label(before.line)}"
                f" to {_event_label(after.line)}"
            )


def _event_label(line: Line) -> str:
    _, _, message = str(line["message"]).partition(": ")
    return f"{message} {line.get('run', '')}".strip()
