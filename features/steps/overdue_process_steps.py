"""Steps on schedules far overdue in a deployment of real processes."""

import secrets
import threading
import time

from behave import then, when

from standins.platform_cluster import PREFIX, host_of
from standins.processes import HttpError, http, wait_for

MINUTE_MS = 60_000
SMALL = {"count": 1, "cpu": 100, "memMb": 8, "estMs": 100}
OK = 200
CHECK_PAUSE_SECONDS = 0.2
CHECK_SECONDS = 1.0
MIN_CHECKS = 4
CHECKS_LIMIT_SECONDS = 10.0


class _Checks:
    """Asks each entry whether it is ready, again and again, until it is closed."""

    def __init__(self, cluster):
        port = cluster.ports[3]
        numbers = range(1, len(cluster.entries) + 1)
        self._urls = [f"http://{host_of(number)}:{port}/ready" for number in numbers]
        self._closed = threading.Event()
        self.statuses = []
        """0 for a check without an answer in time."""
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self):
        while not self._closed.wait(CHECK_PAUSE_SECONDS):
            for url in self._urls:
                try:
                    status = http("GET", url, timeout=CHECK_SECONDS).status
                except HttpError:
                    status = 0
                self.statuses.append(status)

    def wait_for_more(self, count):
        """Wait for `count` checks from now on; return at once if the checks ended."""
        least = len(self.statuses) + count
        wait_for(
            lambda: self._closed.is_set() or len(self.statuses) >= least,
            CHECKS_LIMIT_SECONDS,
            f"{least} checks",
        )

    def close(self):
        """End the checks."""
        self._closed.set()
        self._thread.join()


@when(
    "a schedule with {count:d} overdue occurrences is submitted, and then {jobs:d} jobs"
)
def step_submitted(context, count, jobs):
    cluster = context.cluster
    context.entry = 1
    context.claims = _claims(cluster)
    context.checks = _Checks(cluster)
    context.add_cleanup(context.checks.close)
    context.schedule = secrets.token_hex(8)
    body = {
        "spec": '{"seconds": 0.05}',
        "steps": [SMALL],
        "times": 2 * count,
        "startMs": int(time.time() * 1000) - count * MINUTE_MS,
        "intervalMs": MINUTE_MS,
    }
    status, _ = cluster.call("POST", PREFIX + context.schedule, body)
    assert status == OK, status
    context.jobs = [
        cluster.submit([SMALL], entry=number % 2, seconds=0.1) for number in range(jobs)
    ]


@when("the leader is killed, and {jobs:d} jobs more are submitted")
def step_killed(context, jobs):
    cluster = context.cluster
    context.checks.close()
    leader = cluster.leader()
    leader.kill()
    context.entry = 1 - cluster.entries.index(leader)
    context.jobs += [
        cluster.submit([SMALL], entry=context.entry, seconds=0.1) for _ in range(jobs)
    ]


def _claims(cluster):
    return sum(
        line["message"].endswith("Claimed")
        for entry in cluster.entries
        for line in entry.log_lines()
    )


@then(
    "all of these jobs are done within {seconds:d} s, and the schedule is cancelled"
    " within {cancel:d} s"
)
def step_done(context, seconds, cancel):
    cluster, entry = context.cluster, context.entry

    def all_done():
        return all(cluster.state(job, entry=entry) == "done" for job in context.jobs)

    wait_for(all_done, seconds, "the jobs are done")
    context.checks.wait_for_more(MIN_CHECKS)
    assert cluster.state(context.schedule, entry=entry) == "running"
    begun_at = time.monotonic()
    status, _ = cluster.call("DELETE", PREFIX + context.schedule, entry=entry)
    taken = time.monotonic() - begun_at
    assert status == OK and taken <= cancel, (status, taken)


@then("both entries were ready at each check, and use less than {size:d} MB")
def step_ready(context, size):
    context.checks.close()
    statuses = context.checks.statuses
    assert len(statuses) >= MIN_CHECKS and set(statuses) == {OK}, statuses
    used = [entry.rss_mb() for entry in context.cluster.entries]
    assert max(used) < size, used


@then("no other entry has claimed leadership")
def step_no_claim(context):
    assert _claims(context.cluster) == context.claims, context.claims
