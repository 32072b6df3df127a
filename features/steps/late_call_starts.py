"""How agents carry out orders to start in the late-call model."""

from collections.abc import Iterator

from features.steps.late_call_state import (
    Agent,
    Answer,
    Bounds,
    Call,
    LateCall,
    Move,
    Phase,
    Rule,
    Start,
    State,
    replaced,
    use_up,
    with_agent,
)
from features.steps.late_call_workers import carry_out_start

FRESH_LISTS = 2
"""Lists that settle a start that was answered; the first may have been under way."""
REFUSED_BY_OTHERS = frozenset({Rule.BOOT_NAMED, Rule.BOOT_CONFIRMED})
"""Rules of which each keeps a start from another boot than the agent knows."""


def order_moves(
    state: State, bounds: Bounds, number: int, run: int
) -> Iterator[tuple[str, State]]:
    """Yield how an agent carries out the order of a start, if it does.

    The leader learns from the next report whether it does.
    """
    agent = state.agents[number]
    if Rule.ONE_AT_WORKER in bounds.rules and (agent.starts or agent.runs):
        return
    yield from _send(state, bounds, number, run, granted_lease(agent, bounds))


def start_moves(state: State, bounds: Bounds, number: int) -> Iterator[Move]:
    """Yield what an agent may learn of the starts that it has sent."""
    agent = state.agents[number]
    for start in agent.starts:
        if start.phase is not Phase.SENT:
            continue
        unanswered = f"agent {number} gets no answer to the start of run {start.run}"
        if state.faults_left.late_starts:
            after = with_agent(state, number, in_doubt(agent, bounds, start))
            calls = unawaited(state.calls, number, Call.START)
            yield unanswered, use_up(after._replace(calls=calls), late_starts=1)
        if start.answer is not None:
            text = f"agent {number} reads the answer to the start of run {start.run}"
            for outcome, after in _read_answer(state, bounds, number, start):
                yield f"{text}: {outcome}", after


def granted_lease(agent: Agent, bounds: Bounds) -> int:
    """Return the lease that an agent may grant to a start now; 0: none."""
    if not agent.listed or agent.lost:
        return 0
    return min(bounds.run_lease, agent.contact_ticks)


def with_lease(agent: Agent, lease_ticks: int) -> Agent:
    """Return the agent after it has granted a lease."""
    return agent._replace(lease_ticks=max(agent.lease_ticks, lease_ticks))


def in_doubt(agent: Agent, bounds: Bounds, start: Start) -> Agent:
    """Return the agent after it has stopped waiting for the answer to a start."""
    index = agent.starts.index(start)
    if Rule.FENCE_RAISED in bounds.rules:
        if agent.token == start.token:
            agent = agent._replace(token=agent.token + 1)
        if agent.listed_token > start.token:
            return without_start(agent, start)
    doubtful = start._replace(phase=Phase.IN_DOUBT, answer=None, lease_ticks=0)
    return agent._replace(starts=replaced(agent.starts, index, doubtful))


def without_start(agent: Agent, start: Start) -> Agent:
    """Return the agent with a start settled."""
    return agent._replace(starts=tuple(s for s in agent.starts if s != start))


def unawaited(
    calls: tuple[LateCall, ...], number: int, kind: Call
) -> tuple[LateCall, ...]:
    """Return the calls after an agent has stopped waiting for those of a kind."""
    return tuple(
        call._replace(is_awaited=False)
        if (call.worker, call.kind) == (number, kind)
        else call
        for call in calls
    )


def _send(
    state: State, bounds: Bounds, number: int, run: int, lease: int
) -> Iterator[tuple[str, State]]:
    agent, worker = state.agents[number], state.workers[number]
    is_other_boot = worker.boot != agent.boot
    if not lease or worker.down or (is_other_boot and REFUSED_BY_OTHERS & bounds.rules):
        return
    start = Start(run, agent.token, Phase.SENT)
    if Rule.RESENT_EXPIRES in bounds.rules:
        start = start._replace(lease_ticks=lease)
    call = LateCall(number, Call.START, run, agent.token, lease, is_awaited=True)
    sent = with_lease(agent, lease)._replace(starts=(*agent.starts, start))
    state = with_agent(state, number, sent)
    after, answer = carry_out_start(state, bounds, call)
    yield f"{answer.value}", _after_answer(after, number, start, answer)
    after = state._replace(calls=(*state.calls, call))
    if state.faults_left.slow_starts:
        yield "the answer takes time", use_up(after, slow_starts=1)
    if state.faults_left.late_starts:
        after = with_agent(after, number, in_doubt(sent, bounds, start))
        after = after._replace(calls=unawaited(after.calls, number, Call.START))
        yield "no answer", use_up(after, late_starts=1)
    if state.faults_left.repeated_starts and Rule.SINGLE_COPY not in bounds.rules:
        yield from _send_twice(state, bounds, number, start, call)


def _send_twice(
    state: State, bounds: Bounds, number: int, start: Start, call: LateCall
) -> Iterator[tuple[str, State]]:
    state = use_up(state, repeated_starts=1)
    first = call._replace(is_awaited=False)
    state = state._replace(calls=(*state.calls, first))
    text = "no answer to the first copy, the second is"
    after, answer = carry_out_start(state, bounds, call)
    yield f"{text} {answer.value}", _after_answer(after, number, start, answer)
    if bounds.refuses_any:
        yield f"{text} refused", _after_answer(state, number, start, Answer.REFUSED)
    if state.faults_left.slow_starts:
        after = state._replace(calls=(*state.calls, call))
        yield "the answer to the second copy takes time", use_up(after, slow_starts=1)


def _read_answer(
    state: State, bounds: Bounds, number: int, start: Start
) -> Iterator[tuple[str, State]]:
    agent = state.agents[number]
    assert start.answer is not None
    if start.answer is Answer.STALE and agent.token > start.token:
        again = with_agent(state, number, without_start(agent, start))
        if start.revoked and Rule.REVOKED in bounds.rules:
            yield "it is not sent again", again
            return
        yield "it may not be sent again", again
        lease = _lease_of_second_sending(agent, bounds, start)
        for text, after in _send(again, bounds, number, start.run, lease):
            yield f"it is sent again: {text}", after
        return
    yield start.answer.value, _after_answer(state, number, start, start.answer)


def _lease_of_second_sending(agent: Agent, bounds: Bounds, start: Start) -> int:
    if Rule.RESENT_EXPIRES not in bounds.rules:
        return granted_lease(agent, bounds)
    return start.lease_ticks if agent.listed and not agent.lost else 0


def _after_answer(state: State, number: int, start: Start, answer: Answer) -> State:
    agent = state.agents[number]
    if answer is not Answer.STARTED:
        return with_agent(state, number, without_start(agent, start))
    started = start._replace(
        phase=Phase.STARTED, lists_to_wait=FRESH_LISTS, answer=None, lease_ticks=0
    )
    starts = replaced(agent.starts, agent.starts.index(start), started)
    return with_agent(state, number, agent._replace(starts=starts))
