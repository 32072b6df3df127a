"""Steps on stateful fuzzing of the request path, checked by the endpoints' records."""

# ruff: noqa: D102, D107

import itertools
import time
from concurrent.futures import ThreadPoolExecutor, wait

from behave import then, when
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from standins.callers import SERVICE, Caller, find_false_answers
from standins.processes import HttpError, http

CALLER_THREADS = 32
KILL_DELAY_SECONDS = 0.15
FIRST_REQUESTS = 8
PAUSE_SECONDS = st.sampled_from([0.0, 0.05, 0.3, 1.2])
INDICES = st.integers(0, 1)
PREFIX = f"/services/{SERVICE}"


class RequestPath(RuleBasedStateMachine):
    """Requests and faults on one deployment; answers are kept over all orders."""

    context = None
    numbers = itertools.count()
    answers = []

    def __init__(self):
        super().__init__()
        cluster = self.context.cluster
        self.link = self.context.link
        self.entries = list(cluster.entry_by_node.values())
        self.agents = list(cluster.agent_by_vm.values())
        self.keys = []
        self.calls = []
        self.pool = ThreadPoolExecutor(CALLER_THREADS)
        # So the first rule finds requests in flight on a request path that works.
        self.post(0, FIRST_REQUESTS, 0.1)
        self.post(1, FIRST_REQUESTS, 0)

    def send(self, entry, path, **headers):
        def call():
            caller = Caller(self.entries[entry])
            headers["Wagtailcleat_Deadline_Ms"] = "5000"
            self.answers.append(caller.call("POST", path, b"seat", **headers))
            caller.close()

        self.calls.append(self.pool.submit(call))

    @rule(
        entry=INDICES,
        count=st.integers(2, 12),
        delay=st.sampled_from([0, 0.1, 0.5]),
    )
    def post(self, entry, count, delay):
        for _ in range(count):
            number = next(self.numbers)
            self.send(entry, f"{PREFIX}/post/{number}?delay={delay}")

    @rule(entry=INDICES)
    def take_key(self, entry):
        port = self.entries[entry].ready["http_port"]
        try:
            url = f"http://127.0.0.1:{port}{PREFIX}:request-id"
            answer = http("POST", url, timeout=0.5)
        except HttpError:
            return
        if answer.status == 201:
            path = f"{PREFIX}/key/{next(self.numbers)}"
            self.keys.append((answer.json()["request_id"], path))

    @rule(entry=INDICES, index=st.integers(0, 5), twice=st.booleans())
    def post_key(self, entry, index, twice):
        if not self.keys:
            return
        key, path = self.keys[index % len(self.keys)]
        self.send(entry, path, Idempotency_Key=key)
        if twice:
            self.send(1 - entry, path, Idempotency_Key=key)

    @rule(fault=st.sampled_from(["silent", "cut", "hold"]), pause=PAUSE_SECONDS)
    def fail_link(self, fault, pause):
        self.link.faults(**{fault: True})
        time.sleep(pause)

    @rule(pause=PAUSE_SECONDS)
    def heal_link(self, pause):
        self.link.faults()
        time.sleep(pause)

    @rule(agent=INDICES, pause=PAUSE_SECONDS)
    def freeze_agent(self, agent, pause):
        self.agents[agent].freeze()
        time.sleep(pause)

    @rule(entry=INDICES, pause=PAUSE_SECONDS)
    def freeze_entry(self, entry, pause):
        self.entries[entry].freeze()
        time.sleep(pause)

    @rule()
    def thaw(self):
        for process in self.agents + self.entries:
            process.thaw()

    @rule(agent=INDICES, entry=INDICES)
    def restart_agent(self, agent, entry):
        self.post(entry, 6, 0.5)
        time.sleep(KILL_DELAY_SECONDS)
        self.agents[agent].kill()
        self.agents[agent].start()

    def teardown(self):
        self.thaw()
        self.link.faults()
        wait(self.calls)
        self.pool.shutdown()
        violations = find_false_answers(self.context.cluster, self.answers)
        assert not violations, violations[:10]


@when(
    "requests, keys and faults come in {orders:d} derandomized orders"
    " of {steps:d} steps"
)
def step_fuzz(context, orders, steps):
    RequestPath.context = context
    run_state_machine_as_test(
        RequestPath,
        settings=settings(
            max_examples=orders,
            stateful_step_count=steps,
            derandomize=True,
            deadline=None,
            database=None,
            phases=[Phase.generate],
        ),
    )


@then("every answer to a caller agrees with the endpoints' records")
def step_check_answers(context):
    answers = RequestPath.answers
    violations = find_false_answers(context.cluster, answers)
    assert not violations, violations[:10]
    answered = sum(call.status == 200 for call in answers)
    print(f"{len(answers)} calls, {answered} answered 200")
    assert answered > 50, (answered, len(answers))
