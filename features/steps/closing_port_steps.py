"""Steps on the ports of an entry that closes them."""

import asyncio
import socket
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from standins.processes import refuses, wait_for
from wagtailcleat.entry.context import CallersState
from wagtailcleat.entry.serving import CallersServer

REQUEST = b"GET / HTTP/1.1\r\nHost: entry.example\r\n\r\n"
ADMIN_REQUEST = b"GET /admin/nodes HTTP/1.1\r\nHost: entry.example\r\n\r\n"
DRAIN_SECONDS = 4.0
WAIT_TIMEOUT_SECONDS = 15
MAX_CONNECTIONS = 100


class _Answer(RequestHandler):
    def get(self):
        self.finish("whole")


@given("a callers' server")
def step_server(context):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)

    async def serve():
        server = CallersServer(Application([("/", _Answer)]))
        server.set_limits(CallersState(), MAX_CONNECTIONS)
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        return server, sockets[0].getsockname()

    context.server, context.address = context.runner.run(serve())


def _connect(context):
    connection = socket.create_connection(context.address, timeout=DRAIN_SECONDS)
    context.add_cleanup(connection.close)
    return connection


def _read(connection):
    """Return what arrives before the end of the connection; b"" after a reset."""
    data = b""
    try:
        while part := connection.recv(65_536):
            data += part
    except ConnectionError:
        return b""
    return data


@when("{count:d} callers send a request, and it drains before it has accepted them")
def step_drain_at_once(context, count):
    # The loop does not run between the connections and the drain.
    context.connections = [_connect(context) for _ in range(count)]
    for connection in context.connections:
        connection.sendall(REQUEST)
    context.runner.run(context.server.drain(DRAIN_SECONDS))
    context.answers = [_read(connection) for connection in context.connections]


@given("{count:d} callers whose connections have been idle")
def step_idle(context, count):
    context.connections = [_connect(context) for _ in range(count)]

    # One turn of the loop finds the connections, the next one accepts them.
    for _ in range(2):
        context.runner.run(asyncio.sleep(0))
    assert len(context.server._connections) == count


@when("all of them send a request as the server closes its connections")
def step_send_at_close(context):
    def send_all():
        for connection in context.connections:
            connection.sendall(REQUEST)

    find_idle = context.server._wait_until_idle

    async def find_idle_and_send(give_up_at):
        await find_idle(give_up_at)
        send_all()

    context.server._wait_until_idle = find_idle_and_send
    context.runner.run(context.server.drain(DRAIN_SECONDS))
    context.answers = [_read(connection) for connection in context.connections]


@then("each of these was answered whole")
def step_each_answered(context):
    whole = [a.startswith(b"HTTP/1.1 200") for a in context.answers]
    assert all(whole), context.answers


@when("half of an operator's request has been sent as the first entry is told to stop")
def step_half_sent(context):
    entry = context.cluster.entry
    context.admin = socket.create_connection(("127.0.0.1", entry.ready["admin_port"]))
    context.add_cleanup(context.admin.close)
    context.admin.sendall(ADMIN_REQUEST[:20])
    pool = ThreadPoolExecutor(1)
    context.add_cleanup(pool.shutdown)
    context.exiting = pool.submit(entry.terminate)


@when("the rest is sent once its callers' port is closed")
def step_rest_sent(context):
    port = context.cluster.entry.ready["http_port"]
    wait_for(lambda: refuses(port), WAIT_TIMEOUT_SECONDS, "the callers' port is closed")
    context.admin.sendall(ADMIN_REQUEST[20:])
    context.answer = context.admin.recv(65_536)
    context.exit_code = context.exiting.result()


@then("that request was answered")
def step_admin_answered(context):
    assert context.answer.startswith(b"HTTP/1.1 "), context.answer
