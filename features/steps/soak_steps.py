"""Steps on a short soak test, its checker, and links that refuse connections."""

import socket
import tempfile
from pathlib import Path

from behave import given, then, when

from soak.callers import Submitted
from soak.checker import MILLICORES, find_violations
from soak.emphasis import Emphasis
from soak.run import run_seed
from standins.processes import Process, wait_for

TWICE_AT_ONCE = "twice at once"
JOB = "ab12"
TASK = f"{JOB}.0.0.0"
HOST = "127.0.0.1"
TIMEOUT_SECONDS = 5.0


@when("seed {seed:d} is run with {seconds:d} s of faults")
def step_run_seed(context, seed, seconds):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.violations = run_seed(seed, Path(folder.name), float(seconds))


@when('seed {seed:d} of "{emphasis}" is run with {seconds:d} s of faults')
def step_run_seed_of(context, seed, emphasis, seconds):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.violations = run_seed(
        seed, Path(folder.name), float(seconds), emphasis=Emphasis(emphasis)
    )


@then("no guarantee was violated")
def step_no_violation(context):
    assert not context.violations, context.violations


@given("a job of 1 task that was accepted")
def step_job(context):
    steps = [{"count": 1, "cpu": 1000}]
    context.job = Submitted(JOB, steps, [200], accepted_at=1.0)


def check(context, rows):
    context.violations = find_violations([context.job], rows, [], 6.0)


def start(at, instance, run):
    return ["start", at, instance, TASK, run, ""]


def end(at, instance, run, how):
    return ["end", at, instance, TASK, run, how]


@when(
    'its task starts on "{one}" and then on "{other}" before it has ended on "{same}"'
)
def step_twice(context, one, other, same):
    rows = [start(2.0, one, 1), start(3.0, other, 1001)]
    check(context, [*rows, end(3.1, same, 1, "lapsed"), end(4.0, other, 1001, "done")])


@when('its task ends on "{one}" before it starts on "{other}"')
def step_in_turn(context, one, other):
    rows = [start(2.0, one, 1), end(2.9, one, 1, "lapsed")]
    check(context, [*rows, start(3.0, other, 1001), end(4.0, other, 1001, "done")])


@then("the checker reports a task that runs twice at once")
def step_reported(context):
    assert any(TWICE_AT_ONCE in line for line in context.violations), context.violations


@then("the checker reports no task that runs twice at once")
def step_not_reported(context):
    assert not any(TWICE_AT_ONCE in line for line in context.violations), (
        context.violations
    )


@given(
    "a job of {count:d} tasks of {cores:d} core, at most {most:d} on a worker of kind"
    ' "{kind}"'
)
def step_restricted_job(context, count, cores, most, kind):
    step = {"count": count, "cpu": cores * MILLICORES}
    step |= {"maxPerServer": most, "requiredLabel": kind}
    context.job = Submitted(JOB, [step], [200], accepted_at=1.0)


@when('a worker of {cores:d} core and kind "{kind}" starts {count:d} of them')
def step_starts_restricted(context, cores, kind, count):
    rows = [["boot", 1.0, "i-1", kind, cores * MILLICORES, ""]]
    rows += [["start", 2.0, "i-1", f"{JOB}.0.0.{n}", 1, ""] for n in range(count)]
    check(context, rows)


@then(
    'the checker reports "{one}" {first:d} time, "{other}" {second:d} times and'
    ' "{last}" {third:d} time'
)
def step_reports(context, one, first, other, second, last, third):
    for rule, count in ((one, first), (other, second), (last, third)):
        found = [line for line in context.violations if line.startswith(rule)]
        assert len(found) == count, context.violations


def connect_as(context, name):
    """Connect to the link as `name`, as peers do, and wait for an answer."""
    connection = socket.create_connection(
        (HOST, context.link.ready["port"]), TIMEOUT_SECONDS
    )
    context.add_cleanup(connection.close)
    assert is_answered(connection, name)
    return connection


def is_answered(connection, name):
    request = f"GET /{name} HTTP/1.1\r\nHost: {name}\r\n\r\n"
    connection.sendall(request.encode())
    return connection.recv(1000).startswith(b"HTTP/1.1 200")


@given('a link to an endpoint, with a connection of "{one}" and one of "{other}"')
def step_link(context, one, other):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    endpoint = Process("endpoint", Path(folder.name), "standins.endpoint")
    context.add_cleanup(endpoint.close)
    target = ["--target-port", str(endpoint.ready["port"])]
    context.link = Process("link", Path(folder.name), "standins.link", target)
    context.add_cleanup(context.link.close)
    context.connection_by_name = {
        name: connect_as(context, name) for name in (one, other)
    }


@when('the link refuses connections and resets those of "{name}"')
def step_refuse(context, name):
    context.link.faults(refuse=True, reset_from=[name])


@then("a new connection to the link is refused")
def step_refused(context):
    try:
        socket.create_connection((HOST, context.link.ready["port"]), TIMEOUT_SECONDS)
    except ConnectionRefusedError:
        return
    raise AssertionError("the port accepts connections")


@then('the connection of "{name}" is reset, and that of "{other}" is still answered')
def step_reset(context, name, other):
    def is_reset():
        try:
            assert context.connection_by_name[name].recv(1), "closed, not reset"
        except ConnectionResetError:
            return True

    wait_for(is_reset, TIMEOUT_SECONDS, "the connection is reset")
    assert is_answered(context.connection_by_name[other], other)


@when("the link listens again")
def step_listen(context):
    context.link.faults()


@then('a new connection of "{name}" is answered')
def step_new(context, name):
    connect_as(context, name)
