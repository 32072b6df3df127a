"""Steps on entries that are told to stop while callers use their connections."""

import itertools
import os
import secrets
import signal
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from datetime import datetime
from pathlib import Path

from behave import given, then, when

from features.steps.odd_process_steps import put_value
from standins.persistent_callers import Call, PersistentCaller, make_request
from standins.persistent_callers import receive_answer as receive
from standins.platform_cluster import PREFIX, host_of
from standins.processes import http, wait_for
from standins.stored_jobs import put
from wagtailcleat.cluster.keys import ProcessInfo, encode, entry_key, job_key
from wagtailcleat.ids import JobId, NodeId, ServiceName
from wagtailcleat.resources import Resources
from wagtailcleat.scheduling.models import Job, Step

GRACE_SECONDS = 4.0
CUT_SECONDS = 0.2
"""A caller that waited no longer may have sent its request as the connection ended."""
READ_SECONDS = 12.0
USED_CALLS = 3
CALLS_SECONDS = 10.0
SIGNAL_INTERVAL_SECONDS = 0.01
STOP_PARTS = ("process: ", "entry: ", "leadership: ", "store: ")
"""Parts whose log lines tell how far a stop has got."""
TASKS_SECONDS = 60.0
FIRST_LIBRARY = "msgspec"


def _address(context):
    return host_of(1), context.cluster.ports[2]


@given("{count:d} callers that use their connections until the entry ends them")
def step_callers(context, count):
    context.callers = [
        PersistentCaller(lambda: _address(context), number, pause_seconds=0.1)
        for number in range(count)
    ]
    for caller in context.callers:
        context.add_cleanup(caller.close)
    wait_for(
        lambda: all(len(caller.calls) >= USED_CALLS for caller in context.callers),
        CALLS_SECONDS,
        "every caller has sent some requests",
    )


@given("{count:d} callers with an idle connection")
def step_idle(context, count):
    context.connections = [_connect(context) for _ in range(count)]
    for connection in context.connections:
        connection.sendall(make_request("GET", secrets.token_hex(8)))
        assert _answer(connection).status == 410


def _connect(context):
    connection = socket.create_connection(_address(context), READ_SECONDS)
    context.add_cleanup(connection.close)
    return connection


def _answer(connection):
    call = Call("", False, time.monotonic())
    receive(connection, call)
    return call


@given("{count:d} jobs of {tasks:d} tasks wait")
def step_waiting_jobs(context, count, tasks):
    step = Step(tasks, Resources(1.0, 100, 0), required_label="of no worker")
    now = time.time()
    jobs = [
        Job(JobId(f"{number:016x}"), "holds", ServiceName("s"), "", (step,), now)
        for number in range(count)
    ]
    put(context.cluster.store, {job_key(job.id): encode(job) for job in jobs})
    wait_for(
        lambda: context.cluster.call("GET", PREFIX) == (200, {"pending": count}),
        TASKS_SECONDS,
        "the leader knows all jobs",
    )


@given("the store takes {seconds:g} s to answer")
def step_slow_store(context, seconds):
    context.cluster.store.faults(slow_seconds=seconds)
    context.add_cleanup(context.cluster.store.faults)


@when("the entry is told to stop")
def step_stop(context):
    context.stopped_at = time.monotonic()
    context.cluster.entries[0].signal_to_stop()


@when("it gets SIGTERM, SIGINT and SIGHUP again and again")
def step_signals(context):
    entry = context.cluster.entries[0]
    numbers = itertools.cycle((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    while entry.alive and time.monotonic() - context.stopped_at < GRACE_SECONDS:
        os.kill(entry.pid, next(numbers))
        time.sleep(SIGNAL_INTERVAL_SECONDS)


@when("the entry is told to stop, and stands still from {start:g} s to {end:g} s on")
def step_stand_still(context, start, end):
    entry = context.cluster.entries[0]
    step_stop(context)
    _sleep_until(context.stopped_at + start)
    entry.freeze()
    context.add_cleanup(entry.thaw)
    context.thaw_at = context.stopped_at + end


@when("all callers, and {count:d} new ones, send a request while it does")
def step_send_while_still(context, count):
    context.connections += [_connect(context) for _ in range(count)]
    for connection in context.connections:
        connection.sendall(make_request("POST", secrets.token_hex(8)))
    _sleep_until(context.thaw_at)
    context.cluster.entries[0].thaw()
    context.answers = [_answer(connection) for connection in context.connections]


@when("all callers send a request")
def step_send(context):
    wait_for(
        lambda: "process: Stops" in _messages(context), CALLS_SECONDS, "the entry stops"
    )
    for connection in context.connections:
        connection.sendall(make_request("GET", secrets.token_hex(8)))
    context.answers = [_answer(connection) for connection in context.connections]


@when("callers send a POST, a GET and a DELETE that have 60 s, {seconds:g} s later")
def step_send_late(context, seconds):
    context.connections = [_connect(context) for _ in range(3)]
    _sleep_until(context.stopped_at + seconds)
    for method, connection in zip(
        ("POST", "GET", "DELETE"), context.connections, strict=True
    ):
        request = make_request(method, secrets.token_hex(8))
        connection.sendall(request.replace(b"Ms: 3000", b"Ms: 60000"))
    # The answers are read in time: an entry may end while the first is waited for.
    with ThreadPoolExecutor(len(context.connections)) as pool:
        context.answers = list(pool.map(_answer, context.connections))


@when("the callers send half of the head, or half of the body, {seconds:g} s later")
def step_first_half(context, seconds):
    _sleep_until(context.stopped_at + seconds)
    context.rests = []
    for connection, share in zip(context.connections, (0.2, 0.9), strict=True):
        request = make_request("POST", secrets.token_hex(8))
        cut = int(len(request) * share)
        connection.sendall(request[:cut])
        context.rests.append(request[cut:])


@when("they send the rest {seconds:g} s later")
def step_second_half(context, seconds):
    _sleep_until(time.monotonic() + seconds)
    for connection, rest in zip(context.connections, context.rests, strict=True):
        connection.sendall(rest)
    context.answers = [_answer(connection) for connection in context.connections]


def _sleep_until(moment):
    time.sleep(max(0.0, moment - time.monotonic()))


def _messages(context):
    return [line["message"] for line in context.cluster.entries[0].log_lines()]


@given("{count:d} entries are registered that do not answer")
def step_silent_entries(context, count):
    for number in range(count):
        silent = socket.create_server((host_of(1), 0))
        silent.settimeout(CALLS_SECONDS)
        context.add_cleanup(silent.close)
        info = ProcessInfo(host_of(1), silent.getsockname()[1], 1)
        put_value(context.cluster, entry_key(NodeId(f"silent-{number}")), encode(info))
    # The leader has read the keys when it calls the last one.
    context.add_cleanup(silent.accept()[0].close)


@then("it ends by itself within its grace period")
def step_ends(context):
    entry = context.cluster.entries[0]
    entry.wait_for_end(GRACE_SECONDS + 1.0)
    seconds = time.monotonic() - context.stopped_at
    ended_at = datetime.now().isoformat(" ")
    lines = [
        f"{line['time']} {line['message']}"
        for line in entry.log_lines()
        if line["message"].startswith(STOP_PARTS)
    ]
    shown = f"{seconds} s, ended at {ended_at}, code {entry.exit_code}: {lines}"
    assert seconds <= GRACE_SECONDS, f"{shown}\n{entry.stderr.read_text()}"
    assert entry.exit_code == 0, shown


@then("no caller waited for an answer that did not come")
def step_no_cut(context):
    for caller in context.callers:
        caller.close()
    calls = [call for caller in context.callers for call in caller.calls]
    cut = [call for call in calls if not call.status and call.seconds > CUT_SECONDS]
    assert not cut, f"{len(cut)} of {len(calls)} calls, such as {cut[0]}"


@then("each of these requests was answered")
def step_answered(context):
    assert all(answer.status == 200 for answer in context.answers), context.answers


@then("each of these requests was answered 503 or 504")
def step_refused(context):
    statuses = [answer.status for answer in context.answers]
    assert set(statuses) <= {503, 504}, context.answers


@then("each of these answers announces the end of the connection")
def step_announced(context):
    assert all(a.status and a.says_close for a in context.answers), context.answers


@when("a caller sends a POST and closes its connection")
def step_caller_leaves(context):
    connection = _connect(context)
    context.job = secrets.token_hex(8)
    connection.sendall(make_request("POST", context.job))
    wait_for(
        lambda: b"calls_in_progress 1.0" in _metrics(context),
        CALLS_SECONDS,
        "the request was read",
    )
    connection.close()


def _metrics(context):
    return http("GET", f"http://{host_of(1)}:{context.cluster.ports[1]}/metrics").body


@then('the entry logs that its connection ended before the answer, as "{why}"')
def step_logged(context, why):
    lines = wait_for(
        lambda: [
            line
            for line in context.cluster.entries[0].log_lines()
            if line["message"] == "callers: Connection ended before the answer"
        ],
        CALLS_SECONDS,
        "the line is logged",
    )
    shown = [(line["method"], line["job"], line["why"]) for line in lines]
    assert shown == [("POST", context.job, why)], shown


@then('the entry counts {count:d} unanswered call, as "{why}"')
def step_counted(context, count, why):
    line = f'unanswered_calls_total{{reason="{why}"}} {count}.0'
    assert line.encode() in _metrics(context), _metrics(context).decode()


@when("entry 1 and agent 1 are started again, and get SIGHUP while they import modules")
def step_reload_early(context):
    for program in (context.cluster.entries[0], context.cluster.agents[0]):
        program.kill()
        before = program.pid
        with ThreadPoolExecutor(1) as pool:
            starting = pool.submit(program.start)
            wait_for(
                lambda p=program, b=before: p.pid != b and _has_imported(p.pid),
                CALLS_SECONDS,
                f"{program.name} imports its modules",
            )
            os.kill(program.pid, signal.SIGHUP)
            starting.result()


def _has_imported(pid):
    """Return whether a process has loaded one of the first libraries it imports."""
    return FIRST_LIBRARY in Path(f"/proc/{pid}/maps").read_text()


@then("both have started, and a job is done")
def step_started(context):
    context.cluster.wait_until_ready()
    job = context.cluster.submit([{"count": 1, "cpu": 1000, "memMb": 1, "estMs": 50}])
    context.cluster.wait_for_state(job, "done")
