"""The moves of agents in the late-call model: losses, restarts and boots of workers."""

from collections.abc import Iterator

from features.steps.late_call_lists import has_lists_in_progress, list_moves
from features.steps.late_call_starts import in_doubt, start_moves, unawaited
from features.steps.late_call_state import (
    Agent,
    Answer,
    Bounds,
    Call,
    LateCall,
    Move,
    Phase,
    Rule,
    State,
    Worker,
    use_up,
    with_agent,
    with_worker,
)
from features.steps.late_call_workers import stop_run

FAR_AHEAD = 3
"""Ticks to the end of a lease on the clock of an earlier boot; more than any lease."""


def agent_moves(state: State, bounds: Bounds, number: int) -> Iterator[Move]:
    """Yield the moves that an agent may make by itself."""
    agent, worker = state.agents[number], state.workers[number]
    yield from list_moves(state, bounds, number)
    yield from start_moves(state, bounds, number)
    yield from _loss_moves(state, bounds, number)
    yield from _leave_moves(state, bounds, number)
    if state.faults_left.raised_tokens:
        after = with_agent(state, number, agent._replace(token=agent.token + 1))
        text = f"agent {number} raises its token for a start of another task"
        yield text, use_up(after, raised_tokens=1)
    if state.faults_left.agent_restarts:
        raised = int(Rule.FENCE in bounds.rules)
        begun = Agent(agent.token + raised, listed=False, boot=agent.boot)
        after = use_up(_with_agent_begun(state, number, begun), agent_restarts=1)
        yield f"agent {number} restarts", after
    if state.faults_left.worker_restarts:
        after = _end_worker(state, bounds, number, down=False)
        yield f"worker {number} restarts", use_up(after, worker_restarts=1)
    if worker.down:
        up = with_worker(state, number, worker._replace(down=False))
        yield f"the next worker {number} begins", up
    elif worker.boot != agent.boot:
        begun = Agent(
            agent.token + 1,
            listed=False,
            contact_ticks=agent.contact_ticks,
            boot=worker.boot,
        )
        text = f"agent {number} learns that worker {number} has begun anew"
        yield text, _with_agent_begun(state, number, begun)


def agent_after_tick(agent: Agent, bounds: Bounds) -> Agent:
    """Return the agent after a tick, which is longer than the time limit of a call."""
    if Rule.TIME_LIMIT in bounds.rules:
        for start in agent.starts:
            if start.phase is Phase.SENT:
                agent = in_doubt(agent, bounds, start)
    return agent._replace(
        unread=(),
        starts=tuple(
            start._replace(lease_ticks=max(0, start.lease_ticks - 1))
            for start in agent.starts
        ),
        contact_ticks=max(0, agent.contact_ticks - 1),
        lease_ticks=max(0, agent.lease_ticks - 1),
    )


def _with_agent_begun(state: State, number: int, agent: Agent) -> State:
    calls = unawaited(state.calls, number, Call.LIST)
    calls = unawaited(calls, number, Call.START)
    return with_agent(state, number, agent)._replace(calls=calls)


def _end_worker(state: State, bounds: Bounds, number: int, *, down: bool) -> State:
    """Return the state after a worker's process has ended.

    Parameters: `down` tells that the next process has not begun yet.
    """
    boot = state.workers[number].boot + 1
    after = with_worker(state, number, Worker(boot=boot, down=down))
    if bounds.reuses_id:
        return after
    if Rule.BOOT_NAMED not in bounds.rules:
        # The new boot's clock starts anew, and the lease of an old call is far ahead.
        calls = tuple(
            call._replace(lease_ticks=FAR_AHEAD) if call.worker == number else call
            for call in state.calls
        )
        return after._replace(calls=calls)
    calls = tuple(call for call in state.calls if call.worker != number)
    agent = state.agents[number]
    starts = tuple(
        start._replace(answer=start.answer or Answer.REFUSED)
        if start.phase is Phase.SENT
        else start
        for start in agent.starts
    )
    after = with_agent(after, number, agent._replace(starts=starts))
    return after._replace(calls=calls)


def _loss_moves(state: State, bounds: Bounds, number: int) -> Iterator[Move]:
    agent = state.agents[number]
    if not agent.listed or has_lists_in_progress(state, number):
        return
    may_lapse = not agent.lease_ticks or Rule.LEASES_LAPSE not in bounds.rules
    if may_lapse and not agent.lapsed:
        after = with_agent(state, number, _lapsed(agent, bounds))
        # The agent waits for no answer any more.
        after = after._replace(calls=unawaited(state.calls, number, Call.START))
        yield f"agent {number} counts its runs as lost", after
    if agent.lost or not state.faults_left.closed_ports:
        return
    after = state
    if Rule.PORT_CLOSED in bounds.rules:
        after = _end_worker(state, bounds, number, down=True)
    after = with_agent(after, number, _port_closed(after.agents[number], bounds))
    text = f"the port of worker {number} refuses, agent {number} counts its runs as"
    yield f"{text} lost", use_up(after, closed_ports=1)


def _leave_moves(state: State, bounds: Bounds, number: int) -> Iterator[Move]:
    if not state.faults_left.leaves or state.workers[number].down:
        return
    agent = state.agents[number]
    after = state
    if Rule.LEAVE_IS_NO_END in bounds.rules:
        for run in agent.runs:
            after = stop_run(after, bounds, number, run)
    else:
        after = with_agent(after, number, agent._replace(lost=True, runs=(), starts=()))
        after = after._replace(calls=unawaited(after.calls, number, Call.START))
    yield f"worker {number} says that it leaves", use_up(after, leaves=1)


def _lapsed(agent: Agent, bounds: Bounds) -> Agent:
    if Rule.DOUBT_UNTIL_FENCED in bounds.rules:
        for start in agent.starts:
            agent = in_doubt(agent, bounds, start)
    else:
        agent = agent._replace(starts=())
    raised = int(Rule.LAPSE_RAISES in bounds.rules)
    return agent._replace(token=agent.token + raised, lost=True, lapsed=True, runs=())


def _port_closed(agent: Agent, bounds: Bounds) -> Agent:
    outlives = Rule.DOUBT_OUTLIVES_PORT in bounds.rules
    starts = tuple(
        start for start in agent.starts if outlives and start.phase is not Phase.STARTED
    )
    return agent._replace(lost=True, runs=(), starts=starts)


def calls_after_tick(
    calls: tuple[LateCall, ...], bounds: Bounds
) -> tuple[LateCall, ...]:
    """Return the calls after a tick, which is longer than the time limit of a call."""
    has_limit = Rule.TIME_LIMIT in bounds.rules
    return tuple(
        call._replace(
            lease_ticks=max(0, call.lease_ticks - 1),
            is_awaited=call.is_awaited and call.kind is Call.START and not has_limit,
        )
        for call in calls
    )
