"""A model of calls to a worker that get no answer and are carried out later.

One task, two agents with their workers, and one leader at a time. A call without an
answer may be carried out at any later moment, or never; meanwhile the agent and the
leader draw conclusions from silence, lists and reports. A run is in progress until it
succeeds, is stopped or its lease lapses.
"""

from collections.abc import Iterator
from functools import cache
from itertools import chain

from features.steps.late_call_agents import (
    agent_after_tick,
    agent_moves,
    calls_after_tick,
)
from features.steps.late_call_leader import leader_after_tick, leader_moves
from features.steps.late_call_state import (
    Agent,
    Bounds,
    Call,
    LateCall,
    Move,
    Rule,
    State,
    Worker,
)
from features.steps.late_call_workers import (
    late_call_moves,
    worker_after_tick,
    worker_moves,
)


def moves(state: State, bounds: Bounds) -> Iterator[Move]:
    """Yield all possible moves, each with a line that describes it."""
    yield "a tick passes", _after_tick(state, bounds)
    yield from leader_moves(state, bounds)
    for number in range(len(state.agents)):
        yield from agent_moves(state, bounds, number)
        yield from worker_moves(state, bounds, number)
    yield from late_call_moves(state, bounds)


def canonical(state: State, bounds: Bounds) -> State:
    """Return one state for all those from which the same can happen.

    Calls without a possible effect are removed, and tokens are numbered by their order.
    """
    calls = {call for call in state.calls if _may_have_effect(call, state, bounds)}
    in_order = sorted(calls, key=_call_order)
    numbered = [
        _numbered(agent, worker, tuple(c for c in in_order if c.worker == number))
        for number, (agent, worker) in enumerate(
            zip(state.agents, state.workers, strict=True)
        )
    ]
    agents, workers, calls_by_agent = zip(*numbered, strict=True)
    return state._replace(
        agents=agents, workers=workers, calls=tuple(chain(*calls_by_agent))
    )


def _after_tick(state: State, bounds: Bounds) -> State:
    return state._replace(
        workers=tuple(worker_after_tick(worker) for worker in state.workers),
        agents=tuple(agent_after_tick(agent, bounds) for agent in state.agents),
        leader=leader_after_tick(state.leader),
        calls=calls_after_tick(state.calls, bounds),
    )


def _may_have_effect(call: LateCall, state: State, bounds: Bounds) -> bool:
    worker = state.workers[call.worker]
    if call.is_awaited or _may_reach_next_boot(state, bounds):
        return True
    if call.token < worker.token:
        return False
    if call.token > worker.token:
        return True
    if call.kind is Call.LIST:
        is_renewal = call.lease_ticks > worker.lease_ticks
        return is_renewal or Rule.LIST_EXPIRES not in bounds.rules
    is_expired = not call.lease_ticks and Rule.START_EXPIRES in bounds.rules
    return call.run > worker.closed_run and not is_expired


def _may_reach_next_boot(state: State, bounds: Bounds) -> bool:
    if not bounds.reuses_id and Rule.BOOT_NAMED in bounds.rules:
        return False
    left = state.faults_left
    is_down = any(worker.down for worker in state.workers)
    return bool(left.worker_restarts or left.closed_ports or is_down)


@cache
def _numbered(
    agent: Agent, worker: Worker, calls: tuple[LateCall, ...]
) -> tuple[Agent, Worker, tuple[LateCall, ...]]:
    """Return an agent, its worker and their calls, with tokens in their order."""
    if not worker.down and all(call.token >= agent.token for call in calls):
        # Only calls in transit can have a token between the worker's and the agent's.
        worker = worker._replace(token=agent.token)
    if all(agent.listed_token <= start.token for start in agent.starts):
        agent = agent._replace(listed_token=0)
    tokens = {0, agent.token, agent.listed_token, worker.token}
    for parts in (calls, agent.starts, agent.unread):
        tokens.update(part.token for part in parts)
    rank = {token: place for place, token in enumerate(sorted(tokens))}
    agent = agent._replace(
        token=rank[agent.token],
        listed_token=rank[agent.listed_token],
        starts=tuple(s._replace(token=rank[s.token]) for s in agent.starts),
        unread=tuple(u._replace(token=rank[u.token]) for u in agent.unread),
    )
    worker = worker._replace(token=rank[worker.token])
    return agent, worker, tuple(c._replace(token=rank[c.token]) for c in calls)


def _call_order(call: LateCall) -> tuple[int, str, int, int, int, bool]:
    return (
        call.worker,
        call.kind.value,
        call.run,
        call.token,
        call.lease_ticks,
        call.is_awaited,
    )
