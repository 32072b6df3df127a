"""Steps on the store's error answers to a write."""

import asyncio
import json

from behave import given, then, when
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from wagtailcleat.clock import boot_time
from wagtailcleat.platform.store import Store
from wagtailcleat.storage import Txn, Unavailable, Unknown

HOST = "127.0.0.1"
TYPE_BY_TEXT = {"unknown": Unknown, "refused": Unavailable}


class _RefusingHandler(RequestHandler):
    def initialize(self, status, body):
        self.status, self.body = status, body

    def post(self):
        self.set_status(self.status)
        self.write(self.body)


async def _write(status, body):
    answer = {"status": status, "body": body}
    server = HTTPServer(Application([(r"/v3/kv/txn", _RefusingHandler, answer)]))
    (listening,) = bind_sockets(0, HOST)
    server.add_sockets([listening])
    store = Store([f"http://{HOST}:{listening.getsockname()[1]}"], clock=boot_time)
    try:
        return await store.write(Txn([], {"zones": b"1"}))
    finally:
        store.close()
        server.stop()


@given(
    'a store that answers writes with status {status:d}, code {code} and "{message}"'
)
def step_store(context, status, code, message):
    refusal = {"message": message}
    if code != "none":
        refusal["code"] = int(code)
    context.answer = status, json.dumps(refusal)


@when("a key is written")
def step_write(context):
    context.outcome = asyncio.run(_write(*context.answer))


@then("the write's outcome is {text}")
def step_outcome(context, text):
    assert isinstance(context.outcome, TYPE_BY_TEXT[text]), context.outcome
