"""The moves of agents in the late-call model: lists, stops, losses and restarts."""

from collections.abc import Iterator

from features.steps.late_call_state import (
    Agent,
    Bounds,
    Call,
    LateCall,
    Move,
    Rule,
    State,
    Worker,
    use_up,
    with_agent,
    with_worker,
)
from features.steps.late_call_workers import renew, start_run, stop_run

FAR_AHEAD = 3
"""Ticks to the end of a lease on the clock of an earlier boot; more than any lease."""


def agent_moves(state: State, bounds: Bounds, number: int) -> Iterator[Move]:
    """Yield the moves that an agent may make by itself."""
    agent = state.agents[number]
    # A lower token than the worker's is refused, and the agent then takes a higher one.
    answered = agent.token >= state.workers[number].token
    if agent.unread is not None:
        read = with_agent(state, number, _read_list(agent, bounds))
        yield f"agent {number} reads the list", read
    elif answered:
        after = _answer_list(state, bounds, number, agent)
        if bounds.prompt_lists:
            read_agent = _read_list(after.agents[number], bounds)
            after = with_agent(after, number, read_agent)
        yield f"worker {number} answers a list", after
    if answered and agent.doubt_run and agent.lists_to_wait is None:
        after = stop_run(state, bounds, number, agent.doubt_run)
        stopped = agent._replace(lists_to_wait=_lists_to_wait(bounds))
        text = f"worker {number} answers a stop of run {agent.doubt_run}"
        yield text, with_agent(after, number, stopped)
    lease = granted_lease(agent, bounds)
    if lease and state.faults_left.late_lists:
        call = LateCall(number, Call.LIST, 0, agent.token, lease)
        after = with_agent(state, number, _with_lease(agent, lease))
        after = use_up(after._replace(calls=(*after.calls, call)), late_lists=1)
        yield f"agent {number} gets no answer to a list", after
    yield from _loss_moves(state, bounds, number, agent)
    if state.faults_left.agent_restarts:
        raised = int(Rule.FENCE in bounds.rules)
        after = with_agent(state, number, Agent(agent.token + raised, listed=False))
        yield f"agent {number} restarts", use_up(after, agent_restarts=1)
    if state.faults_left.worker_restarts:
        yield f"worker {number} restarts", _restart_worker(state, bounds, number)


def granted_lease(agent: Agent, bounds: Bounds) -> int:
    """Return the lease that an agent may grant now; 0: none."""
    if not agent.listed or agent.lost:
        return 0
    return min(bounds.run_lease, agent.contact_ticks)


def order_moves(
    state: State, bounds: Bounds, number: int, run: int
) -> Iterator[tuple[str, State, bool]]:
    """Yield how an agent carries out the order of a start.

    Each move is a line, the state after it, and whether the agent reports the start as
    refused.
    """
    agent = state.agents[number]
    lease = granted_lease(agent, bounds)
    if not lease or agent.doubt_run:
        return
    call = LateCall(number, Call.START, run, agent.token, lease)
    renewed = _with_lease(agent, lease)
    doubtful = with_agent(state, number, renewed._replace(doubt_run=run))
    listed_next = renewed._replace(doubt_run=run, lists_to_wait=_lists_to_wait(bounds))
    started = start_run(with_agent(state, number, listed_next), bounds, call)
    is_started = run in started.workers[number].runs
    if is_started:
        yield "started", started, False
    if state.faults_left.late_starts:
        after = doubtful._replace(calls=(*state.calls, call))
        yield "no answer", use_up(after, late_starts=1), False
    if state.faults_left.repeated_starts and Rule.SINGLE_COPY not in bounds.rules:
        text = "no answer to the first copy, the second is"
        if is_started:
            after = started._replace(calls=(*state.calls, call))
            yield f"{text} started", use_up(after, repeated_starts=1), False
        after = with_agent(state, number, renewed)
        after = after._replace(calls=(*state.calls, call))
        yield f"{text} refused", use_up(after, repeated_starts=1), True


def agent_after_tick(agent: Agent) -> Agent:
    """Return the agent after a tick, which is longer than the time limit of a list."""
    return agent._replace(
        unread=None,
        contact_ticks=max(0, agent.contact_ticks - 1),
        lease_ticks=max(0, agent.lease_ticks - 1),
    )


def _lists_to_wait(bounds: Bounds) -> int:
    return 1 if bounds.prompt_lists or Rule.LATER_LIST not in bounds.rules else 2


def _answer_list(state: State, bounds: Bounds, number: int, agent: Agent) -> State:
    lease = granted_lease(agent, bounds)
    worker = renew(state.workers[number]._replace(token=agent.token), lease)
    agent = _with_lease(agent, lease)
    agent = agent._replace(unread=(worker.runs, worker.done_run))
    return with_agent(with_worker(state, number, worker), number, agent)


def _read_list(agent: Agent, bounds: Bounds) -> Agent:
    assert agent.unread is not None
    runs, done_run = agent.unread
    if not agent.listed and Rule.FIRST_RENEWS in bounds.rules:
        # An earlier incarnation may have granted the longest lease just before it.
        agent = _with_lease(agent, bounds.run_lease)
    agent = agent._replace(
        unread=None, listed=True, lost=False, runs=runs, done_run=done_run
    )
    if not agent.doubt_run:
        return agent
    if agent.doubt_run in (*runs, done_run):
        renews = Rule.LISTED_RENEWS in bounds.rules
        return _without_doubt(_with_lease(agent, bounds.run_lease if renews else 0))
    if agent.lists_to_wait is not None:
        agent = agent._replace(lists_to_wait=agent.lists_to_wait - 1)
    is_settled = agent.lists_to_wait == 0 or agent.doubt_unfenced
    return _without_doubt(agent) if is_settled else agent


def _restart_worker(state: State, bounds: Bounds, number: int) -> State:
    agent = state.agents[number]
    after = with_worker(state, number, Worker())
    known = Agent(agent.token + 1, listed=False, contact_ticks=agent.contact_ticks)
    calls = tuple(call for call in state.calls if call.worker != number)
    if Rule.BOOT_NAMED not in bounds.rules:
        # The new boot's clock starts anew, and the lease of an old call is far ahead.
        calls = tuple(
            call._replace(lease_ticks=FAR_AHEAD) if call.worker == number else call
            for call in state.calls
        )
    after = with_agent(after, number, known)._replace(calls=calls)
    return use_up(after, worker_restarts=1)


def _loss_moves(
    state: State, bounds: Bounds, number: int, agent: Agent
) -> Iterator[Move]:
    if not agent.listed or agent.lost or agent.unread is not None:
        return
    if not agent.lease_ticks or Rule.LEASES_LAPSE not in bounds.rules:
        after = with_agent(state, number, _lose_runs(agent, bounds))
        yield f"agent {number} counts its runs as lost", after
    if not state.faults_left.closed_ports:
        return
    after = state
    if Rule.PORT_CLOSED in bounds.rules:
        calls = tuple(call for call in state.calls if call.worker != number)
        after = with_worker(state, number, Worker())._replace(calls=calls)
    after = with_agent(after, number, _lose_runs(agent, bounds))
    text = f"the port of worker {number} refuses, agent {number} counts its runs as"
    yield f"{text} lost", use_up(after, closed_ports=1)


def _lose_runs(agent: Agent, bounds: Bounds) -> Agent:
    agent = agent._replace(lost=True, runs=())
    if not agent.doubt_run:
        return agent
    if Rule.DOUBT_UNTIL_FENCED not in bounds.rules:
        return _without_doubt(agent)
    return agent._replace(token=agent.token + 1, doubt_unfenced=True)


def _without_doubt(agent: Agent) -> Agent:
    return agent._replace(doubt_run=0, lists_to_wait=None, doubt_unfenced=False)


def _with_lease(agent: Agent, lease_ticks: int) -> Agent:
    return agent._replace(lease_ticks=max(agent.lease_ticks, lease_ticks))
