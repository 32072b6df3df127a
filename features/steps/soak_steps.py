"""A short run of the soak, its judge, and links that refuse."""

import socket
import tempfile
from pathlib import Path

from behave import given, then, when

from soak.callers import Submitted
from soak.judge import problems
from soak.run import play
from standins.processes import Process, wait_for

TWICE = "twice at once"
JOB = "ab12"
TASK = f"{JOB}.0.0.0"
HOST = "127.0.0.1"
SECONDS = 5.0


@when("seed {seed:d} is played with {seconds:d} s of faults")
def step_play(context, seed, seconds):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.found = play(seed, Path(folder.name), float(seconds))


@then("no promise was broken")
def step_kept(context):
    assert not context.found, context.found


@given("a job of 1 task that was accepted")
def step_job(context):
    steps = [{"count": 1, "cpu": 1000}]
    context.job = Submitted(JOB, steps, [200], accepted_at=1.0)


def judged(context, rows):
    context.found = problems([context.job], rows, [], 6.0)


def start(at, instance, run):
    return ["start", at, instance, TASK, run, ""]


def end(at, instance, run, how):
    return ["end", at, instance, TASK, run, how]


@when(
    'its task starts on "{one}" and then on "{other}" before it has ended on "{same}"'
)
def step_twice(context, one, other, same):
    rows = [start(2.0, one, 1), start(3.0, other, 1001)]
    judged(context, [*rows, end(3.1, same, 1, "lapsed"), end(4.0, other, 1001, "done")])


@when('its task ends on "{one}" before it starts on "{other}"')
def step_in_turn(context, one, other):
    rows = [start(2.0, one, 1), end(2.9, one, 1, "lapsed")]
    judged(context, [*rows, start(3.0, other, 1001), end(4.0, other, 1001, "done")])


@then("the judge tells of a task that runs twice at once")
def step_told(context):
    assert any(TWICE in line for line in context.found), context.found


@then("the judge tells of no task that runs twice at once")
def step_not_told(context):
    assert not any(TWICE in line for line in context.found), context.found


def connected(context, name):
    """Connect to the link, name itself as peers do, and wait for an answer."""
    opened = socket.create_connection((HOST, context.link.ready["port"]), SECONDS)
    context.add_cleanup(opened.close)
    assert answered(opened, name)
    return opened


def answered(connection, name):
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
        name: connected(context, name) for name in (one, other)
    }


@when('the link refuses connections and resets those of "{name}"')
def step_refuse(context, name):
    context.link.faults(refuse=True, reset_from=[name])


@then("a new connection to the link is refused")
def step_refused(context):
    try:
        socket.create_connection((HOST, context.link.ready["port"]), SECONDS)
    except ConnectionRefusedError:
        return
    raise AssertionError("somebody listens")


@then('the connection of "{name}" is reset, and that of "{other}" is still answered')
def step_reset(context, name, other):
    def is_reset():
        try:
            assert context.connection_by_name[name].recv(1), "closed, not reset"
        except ConnectionResetError:
            return True

    wait_for(is_reset, SECONDS, "the connection is reset")
    assert answered(context.connection_by_name[other], other)


@when("the link listens again")
def step_listen(context):
    context.link.faults()


@then('a new connection of "{name}" is answered')
def step_new(context, name):
    connected(context, name)
