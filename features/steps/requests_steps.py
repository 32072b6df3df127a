"""Steps on service requests: answers, refusals, runs, and graceful shutdown."""

import asyncio
import json
import os
import signal
import socket
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from standins.callers import (
    Caller,
    LoadGenerator,
    Peer,
    count_runs,
    find_false_answers,
    request,
    settle,
)
from standins.cluster import Cluster, ServiceOptions, VmOptions
from standins.processes import HttpError, Stream, http, refuses, wait_for
from wagtailcleat.clock import boot_time
from wagtailcleat.wire.dumps import Dump, DumpState
from wagtailcleat.wire.parts import Lost

WAIT_TIMEOUT_SECONDS = 15
RETENTION_SECONDS = 3.0
UPLOAD_PAUSE_SECONDS = 0.3
TIMING = {
    "reservation": 0.5,
    "grant": 3.0,
    "ownership": 2,
    "gossip": 0.2,
    "endpoint_check": 0.3,
    "answers_kept": RETENTION_SECONDS,
    "connect": 0.5,
    "balancer_notice": 0.6,
    "drain": 8.0,
}
VMS = (
    VmOptions("vm-1", "zilina-a", "rack-a1"),
    VmOptions("vm-2", "zilina-b", "rack-b1"),
)
SHARED_NAMES = ("cluster", "link", "agent_port")
SERVICE = "/services/booking-core"


def url(context, path, entry=None):
    process = entry or context.cluster.entry
    return f"http://127.0.0.1:{process.ready['http_port']}{SERVICE}{path}"


def entries(context):
    return list(context.cluster.entry_by_node.values())


def serves_with_all_agents(context, entry):
    try:
        state = http("GET", url(context, "/ready", entry))
        nodes = context.cluster.admin("GET", "/admin/nodes", entry=entry).json()
    except HttpError:
        return False
    agents = [n for n in nodes["nodes"] if n["node"].startswith("agent")]
    return state.status == 200 and len(agents) == len(VMS)


@given("two entries and two agents, the first agent behind a link")
def step_cluster(context):
    start(context)
    context.add_cleanup(context.cluster.close)


@given(
    "two entries and two agents that the feature shares, the first agent behind a link"
)
def step_shared_cluster(context):
    shared = context.feature.__dict__
    if "cluster" not in shared:
        start(context)
        context.add_cleanup(context.cluster.close, layer="feature")
        shared |= {name: getattr(context, name) for name in SHARED_NAMES}
    for name in SHARED_NAMES:
        setattr(context, name, shared[name])
    context.link.faults()
    for endpoint in context.cluster.endpoint_by_vm_and_service.values():
        endpoint.faults()


def start(context):
    service = ServiceOptions(slots=4, queue=8)
    cluster = Cluster(VMS, [service], timing=TIMING)
    context.cluster = cluster
    agent = cluster.agent_by_vm["vm-1"]
    context.agent_port = agent.ready["peer_port"]
    context.link = cluster.link("agent-link", context.agent_port)
    path = cluster.folder / "agent-vm-1.json"
    changed = json.loads(path.read_text())
    changed["advertised_port"] = context.link.ready["port"]
    path.write_text(json.dumps(changed))
    agent.kill()
    agent.start()
    assert cluster.apply().status == 200
    for entry in entries(context):
        wait_for(
            lambda e=entry: serves_with_all_agents(context, e),
            WAIT_TIMEOUT_SECONDS,
            "the entry reaches both agents",
        )
    wait_for(
        lambda: all(cluster.runs(vm.name) or warm_up(context) for vm in VMS),
        WAIT_TIMEOUT_SECONDS,
        "requests reach both endpoints",
    )


def warm_up(context):
    for entry in entries(context):
        http("POST", url(context, "/warm-up", entry))


@when("{count:d} callers request answers of different sizes and delays at once")
def step_concurrent_callers(context, count):
    def ask(number):
        delay = (number * 7 % 10) / 50
        path = f"/own/{number}?size={1000 + number}&delay={delay}"
        entry = entries(context)[number % 2]
        return number, http("GET", url(context, path, entry))

    with ThreadPoolExecutor(count) as pool:
        context.answers = list(pool.map(ask, range(count)))


@then("each has received its own complete answer")
def step_own_answers(context):
    for number, answer in context.answers:
        if answer.status != 503:
            assert answer.status == 200, answer
            assert len(answer.body) == 1000 + number, (number, len(answer.body))
    assert sum(a.status == 200 for _, a in context.answers) >= 16


@then("an answer of {size:d} bytes arrives complete")
def step_large_answer(context, size):
    answer = http("GET", url(context, f"/large?size={size}"))
    assert (answer.status, len(answer.body)) == (200, size), answer


@then("a request body of {size:d} bytes reaches the endpoint complete")
def step_large_body(context, size):
    answer = http("PUT", url(context, "/upload?echo=1"), b"y" * size)
    assert answer.json()["body"] == "y" * size, answer


@then("a HEAD answer states the length of the GET answer")
def step_head(context):
    answer = http("HEAD", url(context, "/sized?size=1234"))
    assert (answer.status, answer.headers["content-length"]) == (200, "1234"), answer


@then('the path "{path}" reaches the endpoint unchanged')
def step_path(context, path):
    caller = Caller(context.cluster.entry)
    seen = caller.call("GET", f"{SERVICE}{path}&echo=1")
    caller.close()
    shown = json.loads(seen.body)
    assert shown["path"] == path.partition("?")[0], shown
    assert shown["query"]["x"] == ["A", "2"], shown


@then("an answer 204 and an answer 304 have no body")
def step_bodiless(context):
    for status in (204, 304):
        answer = http("GET", url(context, f"/none?status={status}"))
        assert (answer.status, answer.body) == (status, b""), answer


@then('an answer body that breaks off is reported as "{code}"')
def step_broken_off_body(context, code):
    for vm in VMS:
        endpoint = context.cluster.endpoint_by_vm_and_service[vm.name, "booking-core"]
        endpoint.faults(cut_body=True)
    answer = http("POST", url(context, "/cut?size=5000"))
    assert answer.json()["code"] == code, answer


@when("the link goes silent and callers post for {seconds:d} seconds")
def step_silent_link(context, seconds):
    load = LoadGenerator(context.cluster, 6)
    wait_for(lambda: len(load.seen) > 30, WAIT_TIMEOUT_SECONDS, "the load runs")
    context.link.faults(silent=True)
    time.sleep(seconds)
    context.seen = load.stop()


@when("the link delays all data for {seconds:g} seconds while callers post")
def step_delayed(context, seconds):
    load = LoadGenerator(context.cluster, 6)
    wait_for(lambda: len(load.seen) > 30, WAIT_TIMEOUT_SECONDS, "the load runs")
    context.link.faults(hold=True)
    time.sleep(seconds)
    context.link.faults()
    after = len(load.seen)
    wait_for(
        lambda: len(load.seen) > after + 100, WAIT_TIMEOUT_SECONDS, "the load goes on"
    )
    context.seen = load.stop()


@then("what the callers were answered agrees with the endpoints' records")
def step_answers_match_records(context):
    found = find_false_answers(context.cluster, context.seen)
    assert not found, found[:10]


@then('every post was answered 200 or refused as "{code}"')
@then("every post was answered 200")
@then("every post was answered 200 within {seconds:g} seconds")
def step_all_answered(context, code="", seconds=None):
    made = [s for s in context.seen if s.error != "not connected"]
    unexpected = [s for s in made if s.status != 200 and not (code and s.code == code)]
    assert not unexpected, (len(made), unexpected[:10])
    assert len(made) > 50, len(made)


def agent_state(context):
    return http("GET", f"{context.cluster.agent_by_vm['vm-1'].url}/state").json()


def settle_and_send(context, first, number, path):
    """Settle, then send a request on a peer's second stream; return both codes."""
    incarnation = agent_state(context)["incarnation"]
    request_id = f"peer-1.1.r{number}"

    async def run():
        older = Peer("peer-1", 1, context.agent_port)
        newer = Peer("peer-1", 1, context.agent_port)
        closed_stream = await older.stream()
        # The answer shows that the agent serves this stream before the newer one opens.
        assert isinstance(await older.call(DumpState(["node"])), Dump)
        if first is not None:
            await first(older, incarnation, request_id)
        answers = [await newer.call(settle(incarnation, request_id))]
        late = request(incarnation, request_id, path)
        answers.append(await newer.call(late))
        # The settle closes the peer's older streams: a request on them must not even
        # be read.
        unread = request(incarnation, "peer-1.1.r99", path)
        assert isinstance(await closed_stream.call(unread, timeout=1.0), Lost)
        older.close()
        newer.close()
        return [getattr(answer, "code", answer) for answer in answers]

    return asyncio.run(run())


@when("a peer settles a request before it sends it")
def step_late_original(context):
    context.codes = settle_and_send(context, None, 7, "/late")
    context.path = "/late"


@when("a peer settles a request that has run and whose record has expired")
def step_expired_record(context):
    async def run_and_wait(peer, incarnation, request_id):
        answer = await peer.call(request(incarnation, request_id, "/once"))
        assert answer.status == 200, answer
        wait_for(
            lambda: not agent_state(context)["ledger"],
            WAIT_TIMEOUT_SECONDS,
            "its record has expired",
        )

    context.codes = settle_and_send(context, run_and_wait, 8, "/once")
    context.path = "/once"


@then('the agent answers "{code}" both times and the request has not run')
def step_not_run(context, code):
    assert context.codes == [code, code], context.codes
    assert count_runs(context.cluster)[context.path] == 0


@then('the agent answers "{code}" both times and the request has run once')
def step_ran_once(context, code):
    assert context.codes == [code, code], context.codes
    assert count_runs(context.cluster)[context.path] == 1


def post_key(context, entry, body=b"seat 12a"):
    headers = {"Idempotency-Key": context.key}
    return http("POST", url(context, "/reserve?delay=0.2", entry), body, headers)


@when("the same idempotency key is posted through both entries at once")
def step_same_key(context):
    port = context.cluster.entry.ready["http_port"]
    answer = http("POST", f"http://127.0.0.1:{port}{SERVICE}:request-id")
    assert answer.status == 201, answer
    context.key = answer.json()["request_id"]
    with ThreadPoolExecutor(2) as pool:
        context.answers = list(
            pool.map(lambda e: post_key(context, e), entries(context))
        )


@then("both get the same answer and the request has run once")
def step_same_answer(context):
    first, second = context.answers
    assert first.status == second.status == 200, context.answers
    assert first.body == second.body, context.answers
    assert count_runs(context.cluster)["/reserve"] == 1


@then('the key with another body is refused as "{code}"')
def step_key_conflict(context, code):
    answer = post_key(context, context.cluster.entry, b"seat 12b")
    assert answer.json()["code"] == code, answer


@then('a key that no entry has issued is refused as "{code}"')
def step_key_invalid(context, code):
    known = context.key
    for key in ("mine", known[:-1] + ("0" if known[-1] != "0" else "1")):
        context.key = key
        assert post_key(context, context.cluster.entry).json()["code"] == code, key
    context.key = known


def named_agent(context):
    return context.cluster.agent_by_vm[context.key.partition(".")[0][6:]]


@when("the agent that the key names is stopped")
def step_stop_named(context):
    named_agent(context).kill()


@when("the agent that the key names is started again")
def step_start_named(context):
    named_agent(context).start()


@then('the key is eventually refused as "{code}", and its request has run once')
@then('the key is refused as "{code}" or "{other}", and its request has run once')
def step_key_refused(context, code, other=""):
    wanted = (code, other)

    def refused():
        answer = post_key(context, entries(context)[1]).json()
        assert answer["code"] in ("unavailable", "outcome_unknown"), answer
        return answer["code"] in wanted

    wait_for(refused, WAIT_TIMEOUT_SECONDS, f"the key is refused as {wanted}")
    assert count_runs(context.cluster)["/reserve"] == 1


@when("endpoints are slow and {count:d} callers post at once")
def step_overload(context, count):
    def post(number):
        caller = Caller(entries(context)[number % 2])
        started = time.monotonic()
        seen = caller.call("POST", f"{SERVICE}/full/{number}?delay=0.4")
        caller.close()
        return seen, time.monotonic() - started

    with ThreadPoolExecutor(count) as pool:
        context.timed = list(pool.map(post, range(count)))
    context.seen = [seen for seen, _ in context.timed]


@then(
    'some were refused as "{code}" within {seconds:g} seconds,'
    " each with its own Retry-After"
)
def step_refused(context, code, seconds):
    refused = [(s, took) for s, took in context.timed if s.code == code]
    assert len(refused) >= 10, len(refused)
    assert max(took for _, took in refused) < seconds, refused
    waits = {json.loads(s.body)["retry_after_seconds"] for s, _ in refused}
    assert len(waits) > len(refused) / 2, waits
    assert all(s.status in (200, 503) for s, _ in context.timed), context.seen


def open_watcher(context, entry, last_id=0):
    headers = {"Accept": "text/event-stream", "Last-Event-ID": str(last_id)}
    address = url(context, "/events?every=0.02", entry)
    watcher = Stream("GET", address, headers=headers)
    context.add_cleanup(watcher.close)
    wait_for(lambda: event_ids(watcher), WAIT_TIMEOUT_SECONDS, "the watcher reads")
    return watcher


def event_ids(watcher):
    return [int(line[4:]) for line in watcher.lines if line.startswith("id: ")]


def load_until_stop(context, query="", silent=False):
    context.load = LoadGenerator(context.cluster, 6, query)
    wait_for(lambda: len(context.load.seen) > 40, WAIT_TIMEOUT_SECONDS, "the load runs")
    if silent:
        context.link.faults(silent=True)
    context.stopped_at = boot_time()


@when("callers post continuously, the link goes silent and the first agent is stopped")
def step_leave_silent(context):
    load_until_stop(context, silent=True)
    context.cluster.agent_by_vm["vm-1"].terminate()
    context.took = boot_time() - context.stopped_at
    after = len(context.load.seen)
    wait_for(
        lambda: len(context.load.seen) > after + 200,
        WAIT_TIMEOUT_SECONDS,
        "the load goes on",
    )
    context.seen = context.load.stop()


@then(
    "its endpoint has started no request later than {seconds:g} seconds after the stop"
)
def step_no_new_request(context, seconds):
    last = max(row[0] for row in context.cluster.runs("vm-1")) - context.stopped_at
    print(f"the last run began {last:.3f} s after the stop")
    assert last < seconds, last


@when(
    "callers post continuously, a watcher reads events and the first agent is stopped"
)
def step_stop_agent(context):
    context.watchers = [open_watcher(context, e) for e in entries(context) * 2]
    load_until_stop(context, "?delay=0.3")
    context.exit_code = context.cluster.agent_by_vm["vm-1"].terminate()
    after = len(context.load.seen)
    wait_for(
        lambda: len(context.load.seen) > after + 50,
        WAIT_TIMEOUT_SECONDS,
        "the load goes on",
    )
    context.seen = context.load.stop()


@then("the {kind} exits with {code:d}")
def step_exits(context, kind, code):
    assert context.exit_code == code, context.exit_code


@then("the watcher has received every event once, in order")
def step_events(context):
    for watcher in context.watchers:
        before = len(event_ids(watcher))
        wait_for(
            lambda w=watcher, b=before: len(event_ids(w)) > b + 20,
            WAIT_TIMEOUT_SECONDS,
            "more",
        )
        seen = event_ids(watcher)
        assert seen == list(range(1, len(seen) + 1)), seen


def slow_upload(entry):
    """Return a connection on which half the body of a post has been sent."""
    upload = socket.create_connection(("127.0.0.1", entry.ready["http_port"]))
    head = f"POST {SERVICE}/slow HTTP/1.1\r\nHost: e\r\nContent-Length: 10\r\n\r\n"
    upload.sendall(head.encode() + b"12345")
    return upload


@when(
    "callers post continuously, a watcher reads events and the first entry is stopped"
)
def step_stop_entry(context):
    entry = context.cluster.entry
    context.watchers = [open_watcher(context, entry)]
    load_until_stop(context, "?delay=0.05")
    upload = slow_upload(entry)
    context.healthy = []
    with ThreadPoolExecutor(1) as pool:
        exiting = pool.submit(entry.terminate)
        port = entry.ready["http_port"]

        def health_check_fails():
            answer = http("GET", f"http://127.0.0.1:{port}/health")
            context.healthy.append(answer.status)
            return answer.status == 503

        wait_for(health_check_fails, WAIT_TIMEOUT_SECONDS, "the health check fails")
        wait_for(
            lambda: refuses(port), WAIT_TIMEOUT_SECONDS, "the entry takes no connection"
        )
        # During this pause half the body is missing: the entry must keep the
        # connection open.
        time.sleep(UPLOAD_PAUSE_SECONDS)
        upload.sendall(b"67890")
        context.uploaded = upload.recv(65_536)
        upload.close()
        context.exit_code = exiting.result()
    context.seen = context.load.stop()


@then("its health check fails while it still answers")
def step_health_check_fails(context):
    assert context.healthy[-1] == 503, context.healthy


@then("a body that was being sent when the stop began is answered 200")
def step_uploaded(context):
    assert context.uploaded.startswith(b"HTTP/1.1 200"), context.uploaded
    assert b"Connection: close" in context.uploaded, context.uploaded


@then("no kept-alive connection was closed during a call")
def step_no_closed_connection(context):
    cut = [s for s in context.seen if s.error not in ("", "not connected")]
    assert not cut, cut[:10]


@then("the watcher resumes at the other entry and receives every event once, in order")
def step_watcher_resumes(context):
    (watcher,) = context.watchers
    assert watcher.ended
    assert watcher.lines[-1] == "" and not watcher._partial_line, watcher.lines[-3:]
    seen = event_ids(watcher)
    other = open_watcher(context, entries(context)[1], seen[-1])
    wait_for(
        lambda: len(event_ids(other)) > 5, WAIT_TIMEOUT_SECONDS, "the watcher reads on"
    )
    seen += event_ids(other)
    assert seen == list(range(1, len(seen) + 1)), seen


@when("the first entry and the first agent get SIGHUP")
def step_hang_up(context):
    context.signalled = [context.cluster.entry, context.cluster.agent_by_vm["vm-1"]]
    for process in context.signalled:
        os.kill(process.pid, signal.SIGHUP)


@then("both log that they read their settings only as they start")
def step_no_reload(context):
    for process in context.signalled:
        wait_for(
            lambda p=process: "settings only as it starts" in p.stderr.read_text(),
            WAIT_TIMEOUT_SECONDS,
            f"{process.name} logs the signal",
        )


@then("a request is answered 200")
def step_still_served(context):
    result = Caller(context.cluster.entry).call("POST", f"{SERVICE}/once", b"hold")
    assert result.status == 200, result


@when("a watcher reads events and the VM that serves it is killed")
def step_kill_under_watcher(context):
    context.watchers = [open_watcher(context, e) for e in entries(context) * 2]
    context.cluster.kill_vm("vm-1")
