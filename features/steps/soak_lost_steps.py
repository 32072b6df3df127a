"""Steps on the soak's checks for answers that are missing and tasks that wait."""

import tempfile
import time
from pathlib import Path

from behave import given, then, when

from soak.active_faults import FaultSpan
from soak.callers import Submitted
from soak.connections import Cut
from soak.lost import FinalAnswer, find_cut_answers, find_idle, find_unanswered
from standins.platform_cluster import free_ports
from standins.processes import Process, http, wait_for

JOB = "ab12"
OTHER = "cd34"
MILLICORES = 1000
END = 30.0
WAIT_SECONDS = 5.0
LEASE_SLACK_SECONDS = 0.2
ENTRIES = frozenset({"entry-1", "entry-2"})


def span(start, end, names, *, planned):
    return FaultSpan(start, end, "a fault", frozenset(names), planned)


@given("an entry that is told to stop at {start:f} s and has ended at {end:f} s")
def step_stopping_entry(context, start, end):
    context.spans = [span(start, end, ["entry-1"], planned=True)]


@when(
    "its connection ends at {end:f} s, {seconds:f} s after the last byte of a request"
)
def step_cut(context, end, seconds):
    cut = Cut("entry-1", "GET", end - seconds, end, 0, first=False)
    context.sent_at = cut.sent_at
    context.found = find_cut_answers([cut], context.spans)


@when("another process was killed {seconds:f} s before that request")
def step_killed_before(context, seconds):
    at = context.sent_at - seconds
    context.spans.append(span(at, at, ["agent-1"], planned=False))


@then("the checker reports {count:d} request that was cut off")
@then("the checker reports {count:d} requests that were cut off")
def step_cut_off(context, count):
    assert len(context.found) == count, context.found


@when("the last questions for a job are answered 200, 410, 503 and not at all")
def step_last_questions(context):
    answers = [FinalAnswer(JOB, "entry-1", status, 0.1) for status in (200, 410, 503)]
    answers.append(FinalAnswer(JOB, "entry-1", 0, 3.5))
    context.found = find_unanswered(answers)


@then("the checker reports 3 answers, with status 410, 503 and 0")
def step_unanswered(context):
    statuses = [line.partition("status ")[2].split()[0] for line in context.found]
    assert statuses == ["410", "503", "0"], context.found


@given("{count:d} workers of {cores:d} cores that are up since {at:f} s")
def step_workers(context, count, cores, at):
    millicores = cores * MILLICORES
    context.rows = [
        ["boot", at, f"i-{number + 1}", "a", millicores, ""] for number in range(count)
    ]


@given("a job that runs from {start:f} s to {end:f} s, and then from {at:f} s, {kind}")
def step_job_waits(context, start, end, at, kind):
    lasting = kind == "lasting"
    job = Submitted(JOB, [{"count": 1, "cpu": MILLICORES}], [200], accepted_at=start)
    job.is_lasting = job.is_endless = lasting
    context.jobs = [job]
    task = f"{JOB}.0.0.0"
    context.rows += [
        ["start", start, "i-1", task, 1, ""],
        ["end", end, "i-1", task, 1, "lapsed"],
        ["start", at, "i-2", task, 2, ""],
    ]
    context.spans = []


@when("nothing else happens")
def step_nothing(context):
    pass


@when("another job uses {cores:d} cores all the while")
def step_full(context, cores):
    step = {"count": cores, "cpu": MILLICORES}
    context.jobs.append(Submitted(OTHER, [step], [200], accepted_at=2.0))
    context.rows += [
        ["start", 2.0, f"i-{1 + number % 3}", f"{OTHER}.0.0.{number}", 1, ""]
        for number in range(cores)
    ]


@when('"{name}" leaves at {at:f} s')
def step_leaves(context, name, at):
    names = [name, f"agent-1-to-{name}"]
    context.spans.append(span(at, at + 1.0, names, planned=True))


@when('"{name}" is told to stop at {at:f} s')
def step_told(context, name, at):
    context.spans.append(span(at, at + 1.0, [name], planned=True))


@when('"{name}" is killed at {at:f} s and back at {back:f} s')
def step_killed(context, name, at, back):
    context.spans.append(span(at, back, [name], planned=False))


@when("an agent is told to stop at {at:f} s")
def step_agent_told(context, at):
    context.spans.append(span(at, at + 1.0, ["agent-2"], planned=True))


@when("all entries are told to stop at {at:f} s")
def step_entries_told(context, at):
    context.spans.append(span(at, at + 1.0, ENTRIES, planned=True))


@then("the checker reports {count:d} waits of {seconds:f} s")
def step_waits(context, count, seconds):
    rows = sorted(context.rows, key=lambda row: row[1])
    found = find_idle(context.jobs, rows, context.spans, END, ENTRIES)
    assert len(found) == count, found
    assert all(f"for {seconds:.2f} s" in line for line in found), found


@given("a worker that runs a task for {seconds:d} s with a lease of {lease:f} s")
def step_leased_worker(context, seconds, lease):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    control = f"127.0.0.1:{free_ports(1, '127.0.0.1')[0]}"
    arguments = ["--instance", "i-1", "--control", control]
    worker = Process("worker", Path(folder.name), "standins.platform_worker", arguments)
    context.add_cleanup(worker.kill)
    context.worker = worker
    clock = http("POST", f"{worker.url}/hold", {}).json()["clockMs"]
    start = {
        "task": f"{JOB}.0.0.0",
        "run": 1,
        "spec": f'{{"seconds": {seconds}}}',
        "deadlineMs": clock + int(lease * 1000),
    }
    assert http("POST", f"{worker.url}/run-start", start).status == 200
    assert http("POST", f"{worker.url}/hold", {}).json()["running"]


@when("the worker is paused for {seconds:f} s")
def step_paused(context, seconds):
    context.worker.freeze()
    # The length of the pause is what is tested.
    time.sleep(seconds)
    context.worker.thaw()


@then("the record says that the run lapsed {seconds:f} s after its start")
def step_lapsed(context, seconds):
    def rows():
        found = {row[0]: row for row in context.worker.record()["rows"]}
        return found if "end" in found else None

    found = wait_for(rows, WAIT_SECONDS, "the run has ended")
    assert found["end"][5] == "lapsed", found
    for kind in ("lapse", "end"):
        lasted = found[kind][1] - found["start"][1]
        assert abs(lasted - seconds) <= LEASE_SLACK_SECONDS, found
