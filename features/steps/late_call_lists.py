"""The lists of runs that agents ask for in the late-call model.

Several may be in progress; the first answer counts, later ones are dropped.
"""

from collections.abc import Iterator

from features.steps.late_call_starts import unawaited, with_lease, without_start
from features.steps.late_call_state import (
    Agent,
    Bounds,
    Call,
    LateCall,
    Listing,
    Move,
    Phase,
    Rule,
    Start,
    State,
    use_up,
    with_agent,
)
from features.steps.late_call_workers import carry_out_list


def list_moves(state: State, bounds: Bounds, number: int) -> Iterator[Move]:
    """Yield how an agent may list the runs of its worker."""
    agent, worker = state.agents[number], state.workers[number]
    lease = _granted_lease(agent, bounds)
    call = LateCall(number, Call.LIST, 0, agent.token, lease, is_awaited=True)
    sent = with_agent(state, number, with_lease(agent, lease))
    is_same_boot = agent.boot == worker.boot
    if not bounds.parallel_lists:
        accepts = is_same_boot or bounds.reuses_id
        if accepts and not worker.down and agent.token >= worker.token:
            after = carry_out_list(sent, bounds, call)
            listing = after.agents[number].unread[0]
            text = f"worker {number} answers a list"
            yield text, _read_list(after, bounds, number, listing)
    elif _lists_in_progress(state, number) < bounds.parallel_lists:
        after = sent._replace(calls=(*state.calls, call))
        yield f"agent {number} asks for a list", after
    for listing in agent.unread:
        text = f"agent {number} reads a list with token {listing.token}"
        yield text, _read_list(state, bounds, number, listing)
    if lease and state.faults_left.late_lists:
        late = call._replace(is_awaited=False)
        after = use_up(sent._replace(calls=(*state.calls, late)), late_lists=1)
        yield f"agent {number} gets no answer to a list", after


def has_lists_in_progress(state: State, number: int) -> bool:
    """Return whether an agent waits for the answer to a list."""
    return bool(_lists_in_progress(state, number))


def _lists_in_progress(state: State, number: int) -> int:
    awaited = [
        call
        for call in state.calls
        if call.is_awaited and (call.worker, call.kind) == (number, Call.LIST)
    ]
    return len(awaited) + len(state.agents[number].unread)


def _granted_lease(agent: Agent, bounds: Bounds) -> int:
    if not agent.listed or agent.lapsed:
        return 0
    return min(bounds.run_lease, agent.contact_ticks)


def _read_list(state: State, bounds: Bounds, number: int, listing: Listing) -> State:
    agent = state.agents[number]._replace(unread=())
    calls = unawaited(state.calls, number, Call.LIST)
    if listing.boot == agent.boot:
        agent = _with_listing(agent, bounds, listing)
    elif Rule.BOOT_LISTED not in bounds.rules:
        agent = agent._replace(listed_token=listing.token)
    return with_agent(state, number, agent)._replace(calls=calls)


def _with_listing(agent: Agent, bounds: Bounds, listing: Listing) -> Agent:
    if not agent.listed and Rule.FIRST_RENEWS in bounds.rules:
        # An earlier incarnation may have granted the longest lease just before it.
        agent = with_lease(agent, bounds.run_lease)
    is_as_sent = Rule.LISTED_AS_SENT in bounds.rules
    agent = agent._replace(
        listed=True,
        listed_token=listing.token if is_as_sent else agent.token,
        lost=False,
        lapsed=False,
        runs=listing.runs,
        done_run=listing.done_run,
    )
    for start in agent.starts:
        agent = _with_start_listed(agent, bounds, start)
    return agent


def _with_start_listed(agent: Agent, bounds: Bounds, start: Start) -> Agent:
    if start.phase is Phase.SENT:
        return agent
    if start.run in (*agent.runs, agent.done_run):
        if Rule.LISTED_RENEWS in bounds.rules:
            agent = with_lease(agent, bounds.run_lease)
        return without_start(agent, start)
    if start.phase is Phase.IN_DOUBT:
        is_fenced = agent.listed_token > start.token
        if is_fenced or Rule.FENCE_RAISED not in bounds.rules:
            return without_start(agent, start)
        return agent
    left = start.lists_to_wait - 1
    if not left or Rule.LATER_LIST not in bounds.rules:
        return without_start(agent, start)
    starts = tuple(
        other._replace(lists_to_wait=left) if other == start else other
        for other in agent.starts
    )
    return agent._replace(starts=starts)
