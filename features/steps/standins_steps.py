"""Steps for the stand-ins and the process harness."""

import json
import tempfile
from base64 import b64decode, b64encode
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from behave import given, step, then, when

from standins.processes import HttpError, Process, Stream, http, wait_for
from wagtailcleat.clock import boot_time

TIMEOUT_SECONDS = 10
LONG_LEASE_SECONDS = 3600


def _folder(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return Path(folder.name)


def _start(context, module, *arguments):
    name = module.rpartition(".")[2]
    process = Process(name, _folder(context), module, arguments)
    context.add_cleanup(process.close)
    context.process = process
    return process


def _base64(text):
    return b64encode(text.encode()).decode()


def _read_key(store, key):
    body = {"key": _base64(key)}
    answer = http("POST", f"{store.url}/v3/kv/range", body).json()
    return answer["kvs"][0] if "kvs" in answer else None


def _put(store, key, compare=(), lease="0"):
    put = {"key": _base64(key), "value": _base64("value"), "lease": lease}
    body = {"compare": list(compare), "success": [{"request_put": put}]}
    return http("POST", f"{store.url}/v3/kv/txn", body)


def _put_new(store, key):
    absent = {"key": _base64(key), "target": "VERSION", "version": "0"}
    return _put(store, key, [absent])


def _open_watch(context, key, **create):
    request = {"create_request": {"key": _base64(key)} | create}
    context.stream = Stream("POST", f"{context.store.url}/v3/watch", request)
    context.add_cleanup(context.stream.close)
    wait_for(lambda: context.stream.lines, TIMEOUT_SECONDS, "the watch is created")


def _watch_events(context):
    results = [json.loads(line)["result"] for line in list(context.stream.lines)]
    return [event for result in results for event in result.get("events", [])]


def _event_types(context):
    return [event.get("type", "PUT") for event in _watch_events(context)]


@given("a store")
def step_store(context):
    context.store = _start(context, "standins.store")


@given('a store that loses the next answer to a write of "{key}"')
def step_losing_store(context, key):
    step_store(context)
    context.store.faults(lose_answers=1, lose_answers_matching=key)


@given("a store that takes {rate:d} writes a second")
def step_limited_store(context, rate):
    step_store(context)
    context.store.faults(writes_per_second=rate)


@given('a watch on "{key}"')
def step_watch(context, key):
    _open_watch(context, key)


@when('a watch on "{key}" is opened from that revision')
def step_watch_from(context, key):
    _open_watch(context, key, start_revision=context.answer["header"]["revision"])


@when('"{key}" is put on condition that it has version 0')
def step_put_new(context, key):
    context.answer = _put_new(context.store, key).json()
    assert context.answer["succeeded"] is True


@when('"{key}" is put again on condition that it has version 0')
def step_put_again(context, key):
    context.second = _put_new(context.store, key).json()


@then('only the first transaction succeeded and "{key}" has version {version}')
def step_first_only(context, key, version):
    assert "succeeded" not in context.second, context.second
    assert _read_key(context.store, key)["version"] == version


@when('"{key}" is put under a lease of {ttl:d} second')
def step_put_leased(context, key, ttl):
    answer = http("POST", f"{context.store.url}/v3/lease/grant", {"TTL": ttl})
    context.lease = answer.json()["ID"]
    assert _put(context.store, key, lease=context.lease).status == 200


@then('the watch sees a PUT and then a DELETE of "{key}"')
def step_put_and_delete(context, key):
    wait_for(lambda: len(_event_types(context)) == 2, TIMEOUT_SECONDS, "two events")
    assert _event_types(context) == ["PUT", "DELETE"]
    assert {e["kv"]["key"] for e in _watch_events(context)} == {_base64(key)}
    assert _read_key(context.store, key) is None


@then("renewing the lease returns no TTL")
def step_renew_gone(context):
    url = f"{context.store.url}/v3/lease/keepalive"
    answer = http("POST", url, {"ID": context.lease}).json()
    assert answer == {"result": {"ID": context.lease}}, answer


@then('the watch sees a PUT of "{key}"')
def step_sees_put(context, key):
    wait_for(lambda: _event_types(context) == ["PUT"], TIMEOUT_SECONDS, "one PUT")
    kv = _watch_events(context)[0]["kv"]
    assert b64decode(kv["key"]).decode() == key
    assert b64decode(kv["value"]) == b"value"


@when('"{key}" is put and no answer comes')
def step_put_unanswered(context, key):
    try:
        response = _put(context.store, key)
    except HttpError:
        return
    raise AssertionError(f"answered: {response}")


@then('"{key}" has version {version}')
def step_version(context, key, version):
    assert _read_key(context.store, key)["version"] == version


@when("the store goes down")
def step_store_down(context):
    context.store.faults(down=True)


@then('reading "{key}" is refused with status {status:d} and code {code:d}')
def step_refused(context, key, status, code):
    response = http("POST", f"{context.store.url}/v3/kv/range", {"key": _base64(key)})
    assert (response.status, response.json()["code"]) == (status, code)


@then("the watch has ended")
def step_watch_ended(context):
    wait_for(lambda: context.stream.ended, TIMEOUT_SECONDS, "the watch is cut")


@when("{count:d} writes are made in a row")
def step_writes(context, count):
    context.responses = [_put(context.store, f"k-{n}") for n in range(count)]


@then("some writes are refused with status {status:d} and code {code:d}")
def step_some_refused(context, status, code):
    refused = [r for r in context.responses if r.status != 200]
    assert refused, "no write was refused"
    assert {(r.status, r.json()["code"]) for r in refused} == {(status, code)}


@then("every write that was not refused is in the record")
def step_record_complete(context):
    accepted = [n for n, r in enumerate(context.responses) if r.status == 200]
    written = [row[1] for row in context.store.record()["writes"]]
    assert written == [f"k-{n}" for n in accepted], written


@then("a value of {over:d} bytes is refused and one of {fits:d} is accepted")
def step_value_limit(context, over, fits):
    def put(size):
        value = b64encode(b"x" * size).decode()
        operation = {"request_put": {"key": _base64("large"), "value": value}}
        return http("POST", f"{context.store.url}/v3/kv/txn", {"success": [operation]})

    assert (put(over).status, put(fits).status) == (400, 200)


@then("a transaction of {over:d} operations is refused and one of {fits:d} is accepted")
def step_txn_limit(context, over, fits):
    def put(count):
        keys = [_base64(f"k-{n}") for n in range(count)]
        operations = [{"request_put": {"key": key}} for key in keys]
        return http("POST", f"{context.store.url}/v3/kv/txn", {"success": operations})

    assert (put(over).status, put(fits).status) == (400, 200)


def _start_task(context, task_id, **changes):
    body = {"command": "hold", "cores": 1, "memory_mb": 100}
    body["lease_until"] = boot_time() + LONG_LEASE_SECONDS
    url = f"{context.worker.url}/tasks/{task_id}"
    return http("PUT", url, body | changes)


def _task(context, task_id):
    tasks = http("GET", f"{context.worker.url}/tasks").json()["tasks"]
    return next(task for task in tasks if task["id"] == task_id)


def _record_rows(context, kind):
    rows = context.worker.record()["starts_and_ends"]
    return [row for row in rows if row[1] == kind]


def _wait_for_state(context, task_id, state, seconds):
    wait_for(
        lambda: _task(context, task_id)["state"] == state,
        seconds,
        f"{task_id} is {state}",
    )


@given("a worker")
def step_worker(context):
    context.worker = _start(context, "standins.worker", "--cores", "4")


@given("a worker that loses its next answer")
def step_losing_worker(context):
    step_worker(context)
    context.worker.faults(lose_answers=1)


@given("a worker that keeps its record in a file")
def step_recording_worker(context):
    context.file = _folder(context) / "worker.record"
    arguments = ["--cores", "4", "--record", str(context.file)]
    context.worker = _start(context, "standins.worker", *arguments)


@when("the worker is killed and started again")
def step_restart(context):
    context.url = context.worker.url
    context.worker.kill()
    context.worker.start()


@then('it answers on the same port without tasks and its file still shows "{task_id}"')
def step_restarted(context, task_id):
    assert http("GET", f"{context.url}/tasks").json() == {"tasks": []}
    rows = [json.loads(line) for line in context.file.read_text().splitlines()]
    assert [row[1:3] for row in rows] == [["start", task_id]], rows


@when(
    'task "{task_id}" is started with command "{command}"'
    " under a lease of {seconds:g} seconds"
)
def step_start_leased(context, task_id, command, seconds):
    context.lease_until = boot_time() + seconds
    response = _start_task(
        context, task_id, command=command, lease_until=context.lease_until
    )
    assert response.status == 201, response


@then(
    'task "{task_id}" becomes "{state}" not before its lease ends,'
    " which is its recorded end"
)
def step_lapses(context, task_id, state):
    _wait_for_state(context, task_id, state, TIMEOUT_SECONDS)
    assert boot_time() >= context.lease_until
    assert _record_rows(context, "end") == [
        [context.lease_until, "end", task_id, state]
    ]


@then('extending the lease of "{task_id}" does not restart it')
def step_no_restart(context, task_id):
    leases = {task_id: boot_time() + LONG_LEASE_SECONDS, "t-unknown": 1}
    url = f"{context.worker.url}/leases"
    answer = http("POST", url, {"lease_until_by_id": leases}).json()
    assert answer == {"unknown": ["t-unknown"]}, answer
    assert _task(context, task_id)["state"] == "lapsed"
    assert _task(context, task_id)["lease_until"] == context.lease_until


@then('starting "{task_id}" under an expired lease is refused as "{code}"')
def step_refuse_lapsed(context, task_id, code):
    response = _start_task(context, task_id, lease_until=boot_time())
    assert (response.status, response.json()["code"]) == (409, code)


@when('task "{task_id}" is started with command "{command}" and no answer comes')
def step_start_unanswered(context, task_id, command):
    try:
        response = _start_task(context, task_id, command=command)
    except HttpError:
        return
    raise AssertionError(f"answered: {response}")


@when('task "{task_id}" is started with command "{command}" again')
def step_start_again(context, task_id, command):
    context.response = _start_task(context, task_id, command=command)


@then("the second start answers {status:d} and one start is recorded")
def step_one_start(context, status):
    assert context.response.status == status, context.response
    assert len(_record_rows(context, "start")) == 1


@when('task "{task_id}" takes all cores')
def step_take_all(context, task_id):
    assert _start_task(context, task_id, cores=4).status == 201


@then(
    'starting "{second}" with 1 core is refused as "{code}" until "{first}" is stopped'
)
def step_capacity(context, second, code, first):
    response = _start_task(context, second)
    assert (response.status, response.json()["code"]) == (507, code)
    url = f"{context.worker.url}/tasks/{first}/stop"
    stopped = http("POST", url, {"checkpoint": True}).json()
    assert stopped["state"] == "stopped", stopped
    assert float(stopped["checkpoint"]) > 0
    assert _start_task(context, second).status == 201


@when('task "{task_id}" with command "{command}" is started from checkpoint "{text}"')
def step_resume(context, task_id, command, text):
    response = _start_task(context, task_id, command=command, checkpoint=text)
    assert response.status == 201, response


@then('task "{task_id}" becomes "{state}" within {seconds:d} seconds')
def step_task_state(context, task_id, state, seconds):
    _wait_for_state(context, task_id, state, seconds)


@then('the usage includes "{task_id}" only in measurements after its start')
def step_usage(context, task_id):
    started_at = _record_rows(context, "start")[0][0]

    def usage():
        return http("GET", f"{context.worker.url}/usage").json()

    def shown_usage():
        seen = usage()
        if seen["measured_at"] < started_at:
            assert task_id not in seen["tasks_by_id"], seen
        return seen if task_id in seen["tasks_by_id"] else None

    shown = wait_for(shown_usage, TIMEOUT_SECONDS, "usage of the task")
    assert boot_time() - shown["measured_at"] >= shown["lag_seconds"]
    assert shown["tasks_by_id"][task_id] == {"cores": 1, "memory_mb": 100}


@given("an endpoint")
def step_endpoint(context):
    context.endpoint = _start(context, "standins.endpoint")
    context.url = context.endpoint.url


@given("an endpoint behind a link")
def step_linked_endpoint(context):
    step_endpoint(context)
    port = str(context.endpoint.ready["port"])
    context.link = _start(context, "standins.link", "--target-port", port)
    context.url = context.link.url


@then("a request is echoed and counted by its request id")
def step_echo(context):
    headers = {"Wagtailcleat-Request-Id": "r-1"}
    response = http("POST", f"{context.url}/holds?echo=1", b"seat", headers)
    echoed = response.json()
    assert (echoed["method"], echoed["path"]) == ("POST", "/holds")
    assert echoed["body"] == "seat"
    record = context.endpoint.record()
    assert record["count_by_request_id"] == {"r-1": 1}
    assert record["runs"][0][1:] == ["POST", "/holds", "r-1"]


@then("a truncated answer is reported as incomplete")
def step_cut_body(context):
    context.endpoint.faults(cut_body=True)
    try:
        response = http("GET", f"{context.url}/holds?size=1000")
    except HttpError:
        context.endpoint.faults()
        return
    raise AssertionError(f"whole: {response}")


@then("events resume after the last event id")
def step_events(context):
    url = f"{context.url}/events?count=5&every=0.01"
    response = http("GET", url, headers={"Last-Event-ID": "3"})
    assert response.headers["content-type"] == "text/event-stream"
    assert response.body == b"id: 4\ndata: event 4\n\nid: 5\ndata: event 5\n\n"


@given("an open event stream through the link")
def step_open_events(context):
    context.stream = Stream("GET", f"{context.url}/events?every=0.02")
    context.add_cleanup(context.stream.close)
    wait_for(lambda: context.stream.lines, TIMEOUT_SECONDS, "the first event")


@when("the link goes silent")
def step_silent(context):
    context.link.faults(silent=True)


@then(
    "the stream receives nothing more while a new request through the link is answered"
)
def step_nothing_more(context):
    discarded = context.link.record()["swallowed_bytes"]
    received = len(context.stream.lines)
    wait_for(
        lambda: context.link.record()["swallowed_bytes"] > discarded + 100,
        TIMEOUT_SECONDS,
        "the link swallows events",
    )
    assert len(context.stream.lines) == received
    assert http("GET", f"{context.url}/holds").status == 200


@step("the stream has not ended")
def step_not_ended(context):
    assert not context.stream.ended


@when("the link holds bytes back while a request is made")
def step_hold_bytes(context):
    context.link.faults(hold=True)
    pool = ThreadPoolExecutor(1)
    context.add_cleanup(pool.shutdown)
    context.pending = pool.submit(http, "GET", f"{context.url}/holds")
    opened = "the held connection is open"
    wait_for(lambda: context.link.record()["open"] == 2, TIMEOUT_SECONDS, opened)
    assert "/holds" not in context.endpoint.record()["count_by_path"]


@then("the request is answered after the release")
def step_released(context):
    assert not context.pending.done()
    context.link.faults()
    assert context.pending.result(TIMEOUT_SECONDS).status == 200


@when("it is frozen")
def step_freeze(context):
    context.process.freeze()


@then("a request gets no answer until it is thawed")
def step_thaw(context):
    try:
        response = http("GET", f"{context.url}/holds", timeout=0.2)
    except HttpError:
        context.process.thaw()
        assert http("GET", f"{context.url}/holds").status == 200
        return
    raise AssertionError(f"answered: {response}")


@then("it exits with {code:d} when asked to stop")
def step_terminate(context, code):
    assert context.process.rss_mb() > 1
    assert context.process.terminate() == code
    assert context.process.stderr.read_text() == ""
