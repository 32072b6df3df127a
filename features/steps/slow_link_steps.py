"""Steps on slow answers of the store."""

import asyncio
import json
import logging
import tempfile
import time
from base64 import b64encode
from pathlib import Path

from behave import given, then, when

from standins.platform_cluster import PREFIX
from standins.processes import Process, http
from standins.stored_jobs import put, store_ended_jobs
from wagtailcleat.clock import boot_time
from wagtailcleat.cluster.operator_watch import OperatorWatch
from wagtailcleat.platform.keyvalue import KeyValueStore
from wagtailcleat.platform.operators import CONFIGURATION_KEY
from wagtailcleat.storage import Changes, Listing, Txn, Unavailable, Written

CONFIGURATION_TIMEOUT_SECONDS = 8.0


@given("{count:d} jobs of {size:d} bytes that have ended are stored")
def step_ended_jobs(context, count, size):
    store_ended_jobs(context.cluster.store, count, size)


@when("the leader is killed while lists leave the store at {rate:d} bytes a second")
def step_kill_slow(context, rate):
    cluster = context.cluster
    leader = cluster.leader()
    context.entry = next(
        n for n, entry in enumerate(cluster.entries) if entry is not leader
    )
    cluster.store.faults(bytes_per_second=rate)
    leader.kill()


@then('a job submitted at the other entry is shown as "{state}" within {seconds:g} s')
def step_served(context, state, seconds):
    cluster = context.cluster
    ends_at = time.monotonic() + seconds
    steps = [{"count": 2, "cpu": 1000, "memMb": 100, "estMs": 500}]
    job = cluster.submit(steps, entry=context.entry, prefix=PREFIX)
    left = ends_at - time.monotonic()
    cluster.wait_for_state(job, state, entry=context.entry, timeout=left)


@given("a store that holds {count:d} keys of {size:d} bytes")
def step_store(context, count, size):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.store = Process("store", Path(folder.name), "standins.platform_store")
    context.add_cleanup(context.store.kill)
    put(context.store, {f"keys/{n:06d}": b"x" * size for n in range(count)})


@when("lists leave it at {rate:d} bytes a second")
def step_rate(context, rate):
    context.store.faults(bytes_per_second=rate)


@when("lists stop after {count:d} bytes")
def step_stop_after(context, count):
    context.store.faults(stall_after_bytes=count)


@when("it refuses each page after the first one twice")
def step_refuse_pages(context):
    context.store.faults(refused_pages=2)


@then("the first page was asked for once")
def step_first_page_once(context):
    rows = context.store.record()["rows"]
    assert rows.count(["list", "keys/", ""]) == 1, rows


@given("a store that holds a configuration of {size:d} bytes")
def step_configuration(context, size):
    step_store(context, 0, 0)
    value = {"version": 3, "routes": [], "services": [], "limits": {"pad": "x" * size}}
    body = {"setKeys": [{"key": CONFIGURATION_KEY, "value": _base64(value)}]}
    url = f"{context.store.url}/kv-txn"
    assert http("POST", url, body, headers={"Operator": "yes"}).status == 200


def _base64(value):
    return b64encode(json.dumps(value).encode()).decode()


def _ask(context, seconds, question):
    async def ask():
        address = f"127.0.0.1:{context.store.ready['port']}"
        store = KeyValueStore(address, clock=boot_time, call_seconds=seconds)
        try:
            return await question(store)
        finally:
            store.close()

    return asyncio.run(ask())


def _list(context, seconds):
    return _ask(context, seconds, lambda store: store.list("keys/"))


@then(
    "all {count:d} keys are listed although a call may be silent for {seconds:g} s only"
)
def step_all_listed(context, count, seconds):
    listing = _list(context, seconds)
    assert isinstance(listing, Listing), listing
    assert len(listing.found) == count, len(listing.found)


@then(
    "a list is given up within {bound:g} s where a call may be silent for {seconds:g} s"
)
def step_aborted(context, bound, seconds):
    started_at = time.monotonic()
    assert isinstance(_list(context, seconds), Unavailable)
    assert time.monotonic() - started_at < bound


@then("a watch that waits for {seconds:g} s delivers all {count:d} keys")
def step_watch(context, seconds, count):
    changes = _ask(
        context,
        0.5,
        lambda store: store.changes("keys/", 0, wait_seconds=seconds),
    )
    assert isinstance(changes, Changes), changes
    assert len(changes.events) == count, len(changes.events)


@then(
    "the configuration is known to a process"
    " where a call may be silent for {seconds:g} s"
)
def step_configuration_known(context, seconds):
    async def follow(store):
        known = asyncio.Event()
        watch = OperatorWatch(store, wait_seconds=1.0, on_change=known.set)
        following = asyncio.create_task(watch.run())
        async with asyncio.timeout(CONFIGURATION_TIMEOUT_SECONDS):
            await known.wait()
        following.cancel()
        return watch.queues

    assert _ask(context, seconds, follow).version == 3


class _LogCollector(logging.Handler):
    """Collects the messages that are logged."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(record.getMessage())


@when("a list is cancelled after {seconds:g} s")
def step_cancel_list(context, seconds):
    collector = _LogCollector()
    loggers = [logging.getLogger(name) for name in ("tornado.application", "asyncio")]
    for logger in loggers:
        logger.addHandler(collector)

    async def cancel(store):
        listing = asyncio.create_task(store.list("keys/"))
        await asyncio.sleep(seconds)
        listing.cancel()
        await asyncio.sleep(1.5)

    try:
        _ask(context, 0.5, cancel)
    finally:
        for logger in loggers:
            logger.removeHandler(collector)
    context.logged = collector.lines


@then("nothing more is logged about it")
def step_nothing_logged(context):
    assert not context.logged, context.logged[:3]


@when("{count:d} lists are given up where a call may be silent for {seconds:g} s")
def step_many_aborted(context, count, seconds):
    async def give_up(store):
        lists = [store.list("keys/") for _ in range(count)]
        for listing in await asyncio.gather(*lists):
            assert isinstance(listing, Unavailable), listing
        started_at = time.monotonic()
        outcome = await store.write(Txn([], {"other": b"x"}))
        return outcome, time.monotonic() - started_at

    context.outcome, context.seconds = _ask(context, seconds, give_up)


@then("a write is answered within {bound:g} s")
def step_write_answered(context, bound):
    assert isinstance(context.outcome, Written), context.outcome
    assert context.seconds < bound, context.seconds
