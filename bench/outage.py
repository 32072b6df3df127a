"""Measures a store outage of several minutes with the default lease and grant times.

    python -m bench.outage --minutes 4 --json outage.json

The test suite scales all times down. This run does not: the store is down for longer
than the ownership lease and many grants, while requests and tasks continue. The exit
code is 1 if a request failed, a submission during the outage was not refused, a task
was stopped, a process died, the store got more calls per second than its limits
allow, or no job was accepted within 10 s of its return.
"""

import json
import sys
import time
from pathlib import Path
from typing import Annotated

import cyclopts

from standins.cluster import Cluster, VmOptions
from standins.processes import http, wait_for

VMS = (
    VmOptions("vm-1", "zilina-a", "rack-a1"),
    VmOptions("vm-2", "zilina-b", "rack-b1"),
    VmOptions("vm-3", "zilina-a", "rack-a2"),
)
RULES = {"teams": [{"name": "travel-desk", "cores": 200, "memory_mb": 800_000}]}
TASKS = 9
PAUSE_SECONDS = 0.05
TIMEOUT_SECONDS = 60
MAX_SECONDS_TO_ACCEPT = 10
MAX_WRITES_PER_SECOND = 300
MAX_READS_PER_SECOND = 2000

app = cyclopts.App(name="bench.outage", help=__doc__)


def _url(cluster: Cluster, path: str) -> str:
    return f"http://127.0.0.1:{cluster.entry.ready['http_port']}{path}"


def _submit(cluster: Cluster, name: str, command: str, tasks: int) -> int:
    body = {"id": name, "command": command, "cores": 1, "memory_mb": 100}
    url = _url(cluster, "/teams/travel-desk/jobs")
    return http("POST", url, body | {"tasks": tasks}).status


def _job_account(cluster: Cluster, name: str) -> dict[str, object]:
    answer = http("GET", _url(cluster, f"/teams/travel-desk/jobs/{name}"))
    return answer.json() if answer.status == 200 else {}


def _send_requests_until(
    cluster: Cluster, end: float, statuses: dict[int, int]
) -> None:
    while time.monotonic() < end:
        answer = http("GET", _url(cluster, "/services/booking-core/hold"))
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
        time.sleep(PAUSE_SECONDS)


def measure(minutes: float) -> dict[str, object]:
    """Run the outage for `minutes`; return the measures."""
    seconds = minutes * 60
    with Cluster(VMS) as cluster:
        assert cluster.apply(rules=RULES).status == 200
        wait_for(
            lambda: _submit(cluster, "ledger", f"sleep:{seconds + 60:g}", TASKS) == 201,
            TIMEOUT_SECONDS,
            "the job is accepted",
        )
        wait_for(
            lambda: _job_account(cluster, "ledger").get("assigned") == TASKS,
            TIMEOUT_SECONDS,
            "all tasks run",
        )
        processes = [*cluster.agent_by_vm.values(), *cluster.entry_by_node.values()]
        before = {p.name: p.rss_mb() for p in processes}
        statuses: dict[int, int] = {}
        cluster.store.faults(down=True)
        _send_requests_until(cluster, time.monotonic() + seconds, statuses)
        refused = _submit(cluster, "late", "echo:x", 1)
        after = {p.name: p.rss_mb() for p in processes}
        cluster.store.faults(down=False)
        back_at = time.monotonic()
        wait_for(
            lambda: _submit(cluster, "after", "echo:x", 1) == 201,
            TIMEOUT_SECONDS,
            "a job is accepted again",
        )
        accepted_after = time.monotonic() - back_at
        wait_for(
            lambda: _job_account(cluster, "ledger").get("state") == "finished",
            TIMEOUT_SECONDS + 120,
            "the job finishes",
        )
        rates = cluster.store.record()["calls_by_second"]
        return {
            "minutes": minutes,
            "answers_by_status": statuses,
            "submission_in_the_outage": refused,
            "accepted_again_after_s": round(accepted_after, 2),
            "ledger": _job_account(cluster, "ledger"),
            "alive": all(p.alive for p in processes),
            "memory_mb_before": before,
            "memory_mb_after": after,
            "most_reads_a_second": max(row[1] for row in rates),
            "most_writes_a_second": max(row[2] for row in rates),
        }


def failed_checks(results: dict[str, object]) -> list[str]:
    """Return the failed checks, as sentences."""
    ledger = results["ledger"]
    assert isinstance(ledger, dict)
    checks = {
        "a request was not answered 200": set(results["answers_by_status"]) == {200},  # type: ignore[call-overload]
        "a submission was not refused as not run": results["submission_in_the_outage"]
        == 503,
        "a task was stopped": ledger["evictions"] == 0 and ledger["attempts"] == TASKS,
        "a process died": results["alive"],
        "too many reads": results["most_reads_a_second"] <= MAX_READS_PER_SECOND,  # type: ignore[operator]
        "too many writes": results["most_writes_a_second"] <= MAX_WRITES_PER_SECOND,  # type: ignore[operator]
        "no job was accepted within 10 s": results["accepted_again_after_s"]
        <= MAX_SECONDS_TO_ACCEPT,  # type: ignore[operator]
    }
    return [sentence for sentence, passed in checks.items() if not passed]


@app.default
def run(
    *,
    minutes: Annotated[float, cyclopts.Parameter(help="From 0.2 to 60.")] = 4.0,
    json_file: Annotated[Path | None, cyclopts.Parameter(name="--json")] = None,
) -> int:
    """Take the store down for some minutes, and print the measures."""
    if not 0.2 <= minutes <= 60:
        print(f"--minutes takes 0.2 to 60, not {minutes:g}", file=sys.stderr)
        return 2
    results = measure(minutes)
    text = json.dumps(results, indent=2)
    print(text)
    if json_file is not None:
        json_file.write_text(text)
    for sentence in failed_checks(results):
        print(f"FAILED: {sentence}")
    return 1 if failed_checks(results) else 0


def main() -> None:
    """Run the program."""
    sys.exit(app(result_action="return_value"))


if __name__ == "__main__":
    main()
