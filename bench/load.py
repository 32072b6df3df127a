"""Open-loop HTTP load on real entries, for `bench.real` and `bench.costs`.

Latencies are counted from the intended send time.
"""

import asyncio
import contextlib
import random
import time
from collections.abc import Iterable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from bench.services import MICROSECONDS, Arrival, histogram

MAX_CLIENTS = 1000
CONNECT_SECONDS = 2.0
REFUSED = 503
FAILED = 500
NO_ANSWER = 599


@dataclass
class AnswerCounts:
    """Counts and latencies of the answers; latencies from the intended send time."""

    deadline: float
    answered: HdrHistogram = field(default_factory=histogram)
    refused: HdrHistogram = field(default_factory=histogram)
    in_time: int = 0
    late: int = 0
    not_run: int = 0
    without_retry_after: int = 0
    unknown: int = 0
    unreachable: int = 0
    worst_lag: float = 0.0
    """Greatest delay, in seconds, with which the driver itself sent a request."""

    @property
    def total(self) -> int:
        """The number of counted requests."""
        failed = self.unknown + self.unreachable
        return self.in_time + self.late + self.not_run + failed

    def measures(self) -> dict[str, float]:
        """Return shares and percentiles; times in milliseconds."""
        total = max(1, self.total)
        return {
            "requests": self.total,
            "p50_ms": self.answered.get_value_at_percentile(50) / 1000,
            "p99_ms": self.answered.get_value_at_percentile(99) / 1000,
            "in_time_share": self.in_time / total,
            "refused_share": self.not_run / total,
            "unknown_share": self.unknown / total,
            "unreachable_share": self.unreachable / total,
            "refusal_p50_ms": self.refused.get_value_at_percentile(50) / 1000,
            "refusals_without_retry_after": self.without_retry_after,
            "driver_lag_ms": self.worst_lag * 1000,
        }


async def drive(
    urls: list[str],
    arrivals: Iterable[Arrival],
    deadline: float,
    *,
    seed: int,
    warm_up: float = 0.0,
) -> AnswerCounts:
    """Send each arrival at its time to one of `urls`; return the counted answers.

    Parameters: `deadline` is each request's, in seconds; arrivals in the first
    `warm_up` seconds are sent but not counted.
    """
    answers = AnswerCounts(deadline)
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)
    rng = random.Random(f"{seed}/urls")
    running: set[asyncio.Task[None]] = set()
    start = time.monotonic()
    for arrival in arrivals:
        await asyncio.sleep(max(0.0, start + arrival.at - time.monotonic()))
        due = start + arrival.at
        if arrival.at >= warm_up:
            answers.worst_lag = max(answers.worst_lag, time.monotonic() - due)
        url = rng.choice(urls)
        work = _send(client, url, arrival, due, answers, arrival.at >= warm_up)
        task = asyncio.create_task(work)
        running.add(task)
        task.add_done_callback(running.discard)
    if running:
        await asyncio.wait(running)
    client.close()
    return answers


async def _send(
    client: CurlAsyncHTTPClient,
    url: str,
    arrival: Arrival,
    due: float,
    answers: AnswerCounts,
    counted: bool,
) -> None:
    method = "GET" if arrival.idempotent else "POST"
    request = HTTPRequest(
        f"{url}/{arrival.number}?delay={arrival.work:.4f}",
        method=method,
        body=None if arrival.idempotent else b"",
        headers={"Wagtailcleat-Deadline-Ms": str(int(answers.deadline * 1000))},
        connect_timeout=CONNECT_SECONDS,
        request_timeout=answers.deadline + CONNECT_SECONDS,
    )
    response = None
    with contextlib.suppress(HTTPClientError, OSError):
        response = await client.fetch(request, raise_error=False)
    elapsed = time.monotonic() - due
    if not counted:
        return
    microseconds = int(elapsed * MICROSECONDS) + 1
    if response is None or response.code == NO_ANSWER:
        answers.unreachable += 1
    elif response.code == REFUSED:
        answers.not_run += 1
        answers.without_retry_after += "Retry-After" not in response.headers
        answers.refused.record_value(microseconds)
    elif response.code >= FAILED:
        answers.unknown += 1
    else:
        answers.answered.record_value(microseconds)
        answers.in_time += elapsed <= answers.deadline
        answers.late += elapsed > answers.deadline
