"""The leader's moves in the late-call model: reports, starts, stops, acknowledgements.

Reports and orders take no time; `takeover_model` has those that come late.
"""

from collections.abc import Iterator

from features.steps.late_call_starts import order_moves
from features.steps.late_call_state import (
    Bounds,
    Leader,
    Move,
    Rule,
    State,
    replaced,
    use_up,
    with_agent,
)
from features.steps.late_call_workers import delete_end, stop_run


def leader_moves(state: State, bounds: Bounds) -> Iterator[Move]:
    """Yield the moves of the leader, and its replacement by another one."""
    for number in range(len(state.agents)):
        yield from _start_moves(state, bounds, number)
        yield from _stop_moves(state, bounds, number)
        if state.agents[number].listed:
            after = _process_report(state, bounds, number)
            yield f"agent {number} reports", after
        if bounds.gives_up and _may_give_up(state.leader, number):
            yield f"agent {number} is given up", _give_up(state, number)
        if _may_acknowledge(state, bounds, number):
            yield (
                f"the end at worker {number} is acknowledged",
                _acknowledge(state, number),
            )
    if state.faults_left.leader_changes:
        leader = Leader((True, True), (bounds.contact,) * 2, ((), ()))
        after = use_up(state._replace(leader=leader), leader_changes=1)
        yield "another entry leads", after


def leader_after_tick(leader: Leader) -> Leader:
    """Return the leader after a tick."""
    ticks = tuple(max(0, timeout - 1) for timeout in leader.timeout_ticks)
    return leader._replace(timeout_ticks=ticks)


def _start_moves(state: State, bounds: Bounds, number: int) -> Iterator[Move]:
    leader = state.leader
    if (
        state.is_success_stored
        or leader.placed is not None
        or any(leader.unheard)
        or not leader.timeout_ticks[number]
        or state.last_run >= bounds.max_runs
        or number not in bounds.agents
    ):
        return
    run = state.last_run + 1
    hosted = replaced(leader.hosted, number, (*leader.hosted[number], run))
    placed = leader._replace(placed=(number, run), hosted=hosted)
    for text, after in order_moves(state, bounds, number, run):
        after = after._replace(last_run=run, leader=placed)
        yield f"agent {number} is ordered to start run {run}: {text}", after


def _stop_moves(state: State, bounds: Bounds, number: int) -> Iterator[Move]:
    agent, worker = state.agents[number], state.workers[number]
    placed = state.leader.placed
    for run in state.leader.hosted[number]:
        is_stale = placed is not None and placed[1] > run
        if not is_stale and not state.is_success_stored:
            continue
        starts = tuple(
            start._replace(revoked=start.revoked or start.run == run)
            for start in agent.starts
        )
        revoked = with_agent(state, number, agent._replace(starts=starts))
        if starts != agent.starts:
            yield f"agent {number} may not start run {run} any more", revoked
        is_answered = not worker.down and worker.boot == agent.boot
        if agent.listed and is_answered and agent.token >= worker.token:
            after = stop_run(revoked, bounds, number, run)
            yield f"agent {number} stops run {run}", after


def _process_report(state: State, bounds: Bounds, number: int) -> State:
    agent = state.agents[number]
    leader = state.leader
    stored = state.is_success_stored or bool(agent.done_run)
    unsettled = {start.run for start in agent.starts}
    reported = {*agent.runs, *unsettled} - {agent.done_run}
    placed = leader.placed
    for run in sorted(reported - {*leader.hosted[number]}):
        if not stored and (placed is None or placed[1] < run):
            placed = number, run
    if placed is not None and placed[0] == number and placed[1] not in reported:
        placed = None
    leader = leader._replace(
        unheard=replaced(leader.unheard, number, False),
        timeout_ticks=replaced(leader.timeout_ticks, number, bounds.contact),
        hosted=replaced(leader.hosted, number, tuple(sorted(reported))),
        ended_at=replaced(leader.ended_at, number, bool(agent.done_run)),
        placed=None if stored else placed,
    )
    after = with_agent(state, number, agent._replace(contact_ticks=bounds.contact))
    return after._replace(leader=leader, is_success_stored=stored)


def _may_give_up(leader: Leader, number: int) -> bool:
    has_something = leader.unheard[number] or bool(leader.hosted[number])
    return has_something and not leader.timeout_ticks[number]


def _give_up(state: State, number: int) -> State:
    leader = state.leader
    placed = leader.placed
    if placed is not None and placed[0] == number:
        placed = None
    leader = leader._replace(
        unheard=replaced(leader.unheard, number, False),
        hosted=replaced(leader.hosted, number, ()),
        placed=placed,
    )
    return state._replace(leader=leader)


def _may_acknowledge(state: State, bounds: Bounds, number: int) -> bool:
    leader, agent, worker = state.leader, state.agents[number], state.workers[number]
    if not leader.ended_at[number] or not worker.done_run or not agent.listed:
        return False
    if worker.down or agent.boot != worker.boot or agent.token < worker.token:
        return False
    if Rule.ACKNOWLEDGE_HEARD in bounds.rules and any(leader.unheard):
        return False
    return Rule.ACKNOWLEDGE_SETTLED not in bounds.rules or not any(leader.hosted)


def _acknowledge(state: State, number: int) -> State:
    after = delete_end(state, number)
    after = with_agent(after, number, after.agents[number]._replace(done_run=0))
    leader = after.leader
    ended_at = replaced(leader.ended_at, number, False)
    return after._replace(leader=leader._replace(ended_at=ended_at))
