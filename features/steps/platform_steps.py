"""Steps on a deployment of real processes, with stand-ins for the platform."""

import json
import secrets
import tempfile
import time
from pathlib import Path

from behave import given, then, when

from standins.platform_cluster import PREFIX, PlatformCluster, host_of, store_host
from standins.processes import http, wait_for

TIMEOUT_SECONDS = 20.0


@given("a deployment of {entries:d} entry and {agents:d} agent")
@given("a deployment of {entries:d} entry and {agents:d} agents")
@given("a deployment of {entries:d} entries and {agents:d} agent")
@given("a deployment of {entries:d} entries and {agents:d} agents")
def step_deployment(context, entries, agents):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.cluster = PlatformCluster(Path(folder.name), entries=entries, agents=agents)
    context.add_cleanup(context.cluster.close)
    context.cluster.wait_until_ready()
    context.entry = 0


@given(
    "a deployment of {entries:d} entries, the second {speed:d} times as fast, "
    "and {agents:d} agent"
)
def step_uneven_deployment(context, entries, speed, agents):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.cluster = PlatformCluster(
        Path(folder.name), entries=entries, agents=agents, speeds=(1.0, float(speed))
    )
    context.add_cleanup(context.cluster.close)
    context.cluster.wait_until_ready()
    context.entry = 0


@then("entry {number:d} is the leader")
def step_leads(context, number):
    cluster = context.cluster
    expected = cluster.entries[number - 1]
    wait_for(
        lambda: cluster.leader() is expected, TIMEOUT_SECONDS, f"entry {number} leads"
    )


@when("the process of entry {number:d} is killed")
def step_kill_entry(context, number):
    context.cluster.entries[number - 1].kill()


@when("the process of entry {number:d} is started again")
def step_start_entry(context, number):
    context.cluster.entries[number - 1].start()


@then('a job of {count:d} tasks submitted at entry 1 is shown as "{state}"')
def step_submit_done(context, count, state):
    _submit(context, _steps(count))
    context.cluster.wait_for_state(context.job, state)


def _steps(count, second=0):
    steps = [{"count": count, "cpu": 1000, "memMb": 100, "estMs": 500}]
    if second:
        steps.append(steps[0] | {"count": second, "after": [0]})
    return steps


def _submit(context, steps, **spec):
    context.job = context.cluster.submit(steps, entry=context.entry, **spec)


@when("a job of {count:d} tasks and then {second:d} tasks is submitted at entry 1")
@when("a job of {count:d} tasks and then {second:d} task is submitted at entry 1")
def step_two_steps(context, count, second):
    _submit(context, _steps(count, second))


@when("a job of {count:d} task that fails is submitted at entry 1")
def step_failing_job(context, count):
    _submit(context, _steps(count), fail=True)


@when("a job of {count:d} tasks of {seconds:d} s is submitted at entry 1")
def step_job(context, count, seconds):
    _submit(context, _steps(count), seconds=seconds)


@when("a job of {count:d} tasks of {seconds:d} s is submitted at entry 1 and runs")
def step_job_runs(context, count, seconds):
    _submit(context, _steps(count), seconds=seconds)
    _wait_until_started(context, count)


@when(
    "a job of {count:d} tasks of {seconds:d} s and then {second:d} task"
    " is submitted at entry 1"
)
def step_two_step_job(context, count, seconds, second):
    _submit(context, _steps(count, second), seconds=seconds)


@when(
    "a job of {count:d} tasks of {seconds:d} s and then {second:d} tasks"
    " of {more:d} s is submitted at entry 1 and runs"
)
def step_two_step_job_runs(context, count, seconds, second, more):
    _submit(context, _steps(count, second), seconds=seconds)
    _wait_until_started(context, count)


@when(
    "a job of {count:d} tasks of {seconds:d} s and then {second:d} tasks"
    " is submitted at the other entry"
)
def step_other_entry(context, count, seconds, second):
    cluster = context.cluster
    context.leader = cluster.leader()
    context.entry = next(
        n for n, entry in enumerate(cluster.entries) if entry is not context.leader
    )
    _submit(context, _steps(count, second), seconds=seconds)


def _wait_until_started(context, count):
    wait_for(
        lambda: len(context.cluster.starts(context.job)) >= count,
        TIMEOUT_SECONDS,
        f"{count} tasks have started",
    )


@then('it is shown as "{state}" at entry {entry:d}')
def step_shown(context, state, entry):
    context.cluster.wait_for_state(
        context.job, state, entry=entry - 1, timeout=TIMEOUT_SECONDS
    )


@then('it is shown as "{state}" at the other entry')
def step_shown_other(context, state):
    context.cluster.wait_for_state(
        context.job, state, entry=context.entry, timeout=TIMEOUT_SECONDS
    )


@then("each of its {count:d} tasks was started once")
def step_started_once(context, count):
    starts = context.cluster.starts(context.job)
    assert len(starts) == len(set(starts)) == count, starts


@then("each of its {count:d} tasks was started once, the second step after the first")
def step_started_once_in_order(context, count):
    step_started_once(context, count)
    steps = [name.split(".")[2] for name in context.cluster.starts(context.job)]
    assert steps == sorted(steps), steps


@then("its task was started {count:d} times")
def step_start_count(context, count):
    assert len(context.cluster.starts(context.job)) == count


@then("no task ran twice at the same time")
def step_no_overlap(context):
    assert not context.cluster.overlaps(), context.cluster.overlaps()


@then("the queue shows {count:d} waiting at entry 1")
def step_waiting(context, count):
    assert context.cluster.call("GET", PREFIX) == (200, {"pending": count})


@then("a submission to an unknown queue is answered {status:d}")
def step_unknown_queue(context, status):
    path = "/nowhere/" + secrets.token_hex(8)
    body = {"spec": "", "steps": _steps(1)}
    assert context.cluster.call("POST", path, body)[0] == status


@then("the state of an unknown job is answered {status:d}")
def step_unknown_job(context, status):
    path = PREFIX + secrets.token_hex(8)
    assert context.cluster.call("GET", path)[0] == status


@then("its cancellation is answered {status:d}")
def step_unknown_cancel(context, status):
    path = PREFIX + secrets.token_hex(8)
    assert context.cluster.call("DELETE", path)[0] == status


@then("a body that is no job is answered {status:d}")
def step_bad_body(context, status):
    path = PREFIX + secrets.token_hex(8)
    for body in (b"{", b"[]", b'{"steps": 3}', b'{"steps": [{"count": -1}]}'):
        assert context.cluster.call("POST", path, body)[0] == status, body


@then("a body of {size:d} bytes is answered {status:d}")
def step_long_body(context, size, status):
    path = PREFIX + secrets.token_hex(8)
    assert context.cluster.call("POST", path, b" " * size)[0] == status


@when("it is cancelled at entry {entry:d}")
def step_cancel(context, entry):
    answer = context.cluster.call("DELETE", PREFIX + context.job, entry=entry - 1)
    assert answer == (200, {"state": "cancelled"}), answer


@then("nothing of it runs within {seconds:d} s")
def step_nothing_runs(context, seconds):
    def ended():
        rows = [row for row in context.cluster.rows() if row[3].startswith(context.job)]
        kinds = [row[0] for row in rows]
        return kinds.count("start") == kinds.count("end")

    wait_for(ended, seconds, "all of its runs have ended")


@when('the operator adds queue "{opened}" and removes queue "{closed}"')
def step_change_queues(context, opened, closed):
    context.cluster.configure(version=5, queues=(opened,))


@then(
    'within {seconds:d} s both entries serve "{opened}" and answer 404 for "{closed}"'
)
def step_queues_changed(context, seconds, opened, closed):
    def in_force():
        return all(
            context.cluster.call("GET", f"/{opened}/", entry=entry)[0] == 200
            and context.cluster.call("GET", f"/{closed}/", entry=entry)[0] == 404
            for entry in range(2)
        )

    wait_for(in_force, seconds, "both entries have the new configuration")


@when('zone "{zone}" is taken out and the agents know it')
def step_zone_out(context, zone):
    context.cluster.write_as_operator({f"op/evacuate/{zone}": {}})
    processes = [*context.cluster.agents, *context.cluster.entries]
    wait_for(
        lambda: all(_knows_zone_is_out(process, zone) for process in processes),
        TIMEOUT_SECONDS,
        "every process knows that the zone is out",
    )


def _knows_zone_is_out(process, zone):
    return any(zone in line.get("zones", []) for line in process.log_lines())


@then("all of it ran on worker {number:d}")
def step_ran_on(context, number):
    starts = [row for row in context.cluster.rows() if row[0] == "start"]
    assert {row[2] for row in starts} == {f"i-{number}"}, starts


@then("the metrics of entry 1 count calls to the store")
def step_metrics(context):
    text = _read_admin_page(context, "/metrics").decode()
    assert 'wagtailcleat_store_calls_total{kind="write"}' in text, text


@then("the state dump of entry 1 names its node")
def step_state(context):
    assert json.loads(_read_admin_page(context, "/state"))["node"] == "entry-1"


def _read_admin_page(context, path):
    cluster = context.cluster
    return http("GET", f"http://{host_of(1)}:{cluster.ports[1]}{path}").body


@when("the leader is killed while the first step runs")
def step_kill_leader(context):
    _wait_until_started(context, 4)
    context.leader.kill()


@when("all entries and agents are killed and started again")
def step_kill_all(context):
    programs = [*context.cluster.agents, *context.cluster.entries]
    for program in programs:
        program.kill()
    for program in programs:
        program.start()


@when("the agent is killed and started again")
def step_restart_agent(context):
    agent = context.cluster.agents[0]
    agent.kill()
    agent.start()


@when("the store answers no call for {seconds:d} s")
def step_store_outage(context, seconds):
    # The duration of the fault itself, not a wait for a condition.
    context.cluster.store.faults(hang=True)
    began = time.time()
    time.sleep(seconds)
    context.cluster.store.faults()
    context.outage = (began, time.time())


@then("the second step started during the store outage")
def step_started_in_outage(context):
    began, ended = context.outage
    rows = [
        row
        for row in context.cluster.rows()
        if row[0] == "start" and row[3].startswith(f"{context.job}.0.1.")
    ]
    assert rows and all(began < row[1] < ended for row in rows), (rows, context.outage)


@when("the store loses its next {count:d} answers to writes")
def step_lose_answers(context, count):
    context.cluster.store.faults(lose_answers=count)


@when(
    "{count:d} jobs of {tasks:d} task are submitted while the store rejects writes"
    " of records"
)
def step_many_jobs(context, count, tasks):
    cluster = context.cluster
    context.jobs = [cluster.submit(_steps(tasks), seconds=1.0) for _ in range(count)]
    cluster.store.faults(refused_bodies=True)
    wait_for(
        lambda: len([r for r in cluster.rows() if r[0] == "end"]) >= count,
        TIMEOUT_SECONDS,
        "all tasks have ended",
    )
    cluster.store.faults()


@then('all of them are shown as "{state}" at entry 1')
def step_all_shown(context, state):
    for job in context.jobs:
        context.cluster.wait_for_state(job, state, timeout=TIMEOUT_SECONDS)


@when("worker {number:d} carries out calls {seconds:g} s late")
def step_late_worker(context, number, seconds):
    context.cluster.workers[number - 1].faults(late_seconds=seconds)


@when("worker {number:d} answers again once it has started a task")
def step_answers_again(context, number):
    worker = context.cluster.workers[number - 1]
    wait_for(lambda: worker.record()["rows"], TIMEOUT_SECONDS, "a call was carried out")
    worker.faults()


@when("worker {number:d} stops answering")
def step_silent_worker(context, number):
    context.cluster.workers[number - 1].faults(silent=True)


@when("worker {number:d} is killed")
def step_worker_killed(context, number):
    context.before = context.cluster.starts(context.job)
    worker = context.cluster.workers.pop(number - 1)
    worker.kill()


@then("all {count:d} tasks run on worker 2 within {seconds:d} s")
def step_run_on_second(context, count, seconds):
    worker = context.cluster.workers[-1]

    def running():
        tasks = set()
        for kind, _, _, task, _, _ in worker.record()["rows"]:
            if kind == "start":
                tasks.add(task)
            elif kind == "end":
                tasks.discard(task)
        return len(tasks) == count

    wait_for(running, seconds, f"{count} tasks run on worker 2")


@when("the store compacts its history")
def step_compact(context):
    http("POST", f"{context.cluster.store.url}/forget", {})


@when("the leader is paused for {seconds:d} s")
def step_pause(context, seconds):
    # The duration of the fault itself, not a wait for a condition.
    _wait_until_started(context, 1)
    context.leader.freeze()
    time.sleep(seconds)
    context.leader.thaw()


@when("the store rejects calls of the entry that does not lead")
def step_reject_follower(context):
    cluster = context.cluster
    leader = cluster.leader()
    context.entry = next(
        number for number, e in enumerate(cluster.entries) if e is not leader
    )
    cluster.store.faults(turned_away=store_host(context.entry))
    _wait_until_store_outage(context, context.entry)


@when("a job of {count:d} tasks and then {second:d} task is submitted at that entry")
def step_submit_at_entry(context, count, second):
    context.job = secrets.token_hex(8)
    body = {"spec": "{}", "steps": _steps(count, second)}
    path = PREFIX + context.job
    context.answer = context.cluster.call("POST", path, body, entry=context.entry)


@then("its first submission is accepted")
def step_first_submission(context):
    assert context.answer[0] == 200, context.answer


@when("the store rejects every call")
def step_store_rejects(context):
    cluster = context.cluster
    cluster.store.faults(busy=True)
    _wait_until_store_outage(context, 0)


def _wait_until_store_outage(context, entry):
    # An entry without other calls to the store detects the outage on the next request.
    context.cluster.call("GET", PREFIX + secrets.token_hex(8), entry=entry)
    url = f"http://{host_of(entry + 1)}:{context.cluster.ports[1]}/metrics"
    wait_for(
        lambda: b"wagtailcleat_store_up 0.0" in http("GET", url).body,
        TIMEOUT_SECONDS,
        "the entry has detected the outage of the store",
    )


@then("a submission is refused within {seconds:d} s, with a time to retry after")
def step_submission_refused(context, seconds):
    context.job = secrets.token_hex(8)
    body = {"spec": "{}", "steps": _steps(1)}
    began = time.monotonic()
    answer = http(
        "POST",
        context.cluster.url(0) + PREFIX + context.job,
        body,
        headers={"Host": "seats.example", "Wagtailcleat-Deadline-Ms": "3000"},
    )
    assert time.monotonic() - began < seconds
    assert answer.status == 503 and int(answer.headers["retry-after"]) >= 1, answer


@then("nothing of it was stored once the store answers again")
def step_not_stored(context):
    context.cluster.store.faults()
    assert not context.cluster.stored(f"wagtailcleat/jobs/{context.job}")


@when(
    "the store rejects calls of the entry that leads, and the other one becomes leader"
)
def step_reject_leader(context):
    cluster = context.cluster
    leader = cluster.leader()
    context.entry = cluster.entries.index(leader)
    cluster.store.faults(turned_away=store_host(context.entry))
    wait_for(
        lambda: cluster.leader() is not leader, TIMEOUT_SECONDS, "the other entry leads"
    )


@given('the operator adds the advised queue "{name}"')
def step_advised_queue(context, name):
    cluster = context.cluster
    cluster.configure(version=2, queues=("holds", name))
    context.prefix = f"/{name}/"
    wait_for(
        lambda: cluster.call("GET", context.prefix)[0] == 200,
        TIMEOUT_SECONDS,
        "the entry serves the added queue",
    )


@when("the advice service grants tickets for worker {number:d} only")
def step_grant_tickets(context, number):
    context.cluster.store.faults(granted=[f"i-{number}"])


@when("a job of {count:d} tasks that need tickets is submitted to that queue")
def step_ticketed(context, count):
    context.job = context.cluster.submit(
        _steps(count), prefix=context.prefix, ticketed=True
    )


@then("all its tasks are started at worker {number:d}, and it is done")
def step_started_at(context, number):
    cluster = context.cluster
    wait_for(
        lambda: cluster.state(context.job, prefix=context.prefix) == "done",
        TIMEOUT_SECONDS,
        "the advised job is done",
    )
    starts = [
        r for r in cluster.rows() if r[0] == "start" and r[3].startswith(context.job)
    ]
    assert {row[2] for row in starts} == {f"i-{number}"}, starts
