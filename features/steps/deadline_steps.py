"""Steps on the deadline header of calls."""

import secrets
import socket
import time

from behave import then, when

from standins.persistent_callers import Call, make_request, receive_answer
from standins.platform_cluster import host_of

ANSWER_SECONDS = 12.0


@when('a submission has the deadline header "{deadline}"')
def step_submit(context, deadline):
    address = host_of(1), context.cluster.ports[2]
    request = make_request("POST", secrets.token_hex(8))
    with socket.create_connection(address, ANSWER_SECONDS) as connection:
        header = b"-Ms: " + deadline.encode("latin-1")
        connection.sendall(request.replace(b"-Ms: 3000", header))
        context.answer = Call("POST", True, time.monotonic())
        receive_answer(connection, context.answer)


@when("a submission has the deadline header of {count:d} digits")
def step_submit_digits(context, count):
    step_submit(context, "9" * count)


@then("that submission is accepted")
def step_accepted(context):
    assert context.answer.status == 200, context.answer
