"""A model of calls to a worker that get no answer and are carried out later.

One task, two agents with their workers, and one leader at a time. A call without an
answer may be carried out at any later moment, or never; meanwhile the agent and the
leader draw conclusions from silence, lists, stops and reports. A run is in progress
until it succeeds, is stopped or its lease lapses.
"""

from collections.abc import Iterator

from features.steps.late_call_agents import agent_after_tick, agent_moves
from features.steps.late_call_leader import leader_after_tick, leader_moves
from features.steps.late_call_state import Bounds, Call, LateCall, Move, Rule, State
from features.steps.late_call_workers import (
    late_call_moves,
    worker_after_tick,
    worker_moves,
)


def moves(state: State, bounds: Bounds) -> Iterator[Move]:
    """Yield all possible moves, each with a line that describes it."""
    yield "a tick passes", _after_tick(state)
    yield from leader_moves(state, bounds)
    for number in range(len(state.agents)):
        yield from agent_moves(state, bounds, number)
        yield from worker_moves(state, bounds, number)
    yield from late_call_moves(state, bounds)


def canonical(state: State, bounds: Bounds) -> State:
    """Return the state without calls that can no longer have an effect."""
    calls = {call for call in state.calls if _may_have_effect(call, state, bounds)}
    return state._replace(calls=tuple(sorted(calls, key=_call_order)))


def _after_tick(state: State) -> State:
    calls = tuple(
        call._replace(lease_ticks=max(0, call.lease_ticks - 1)) for call in state.calls
    )
    return state._replace(
        workers=tuple(worker_after_tick(worker) for worker in state.workers),
        agents=tuple(agent_after_tick(agent) for agent in state.agents),
        leader=leader_after_tick(state.leader),
        calls=calls,
    )


def _may_have_effect(call: LateCall, state: State, bounds: Bounds) -> bool:
    worker = state.workers[call.worker]
    if call.token < worker.token:
        return False
    if call.kind is Call.LIST:
        return call.lease_ticks > 0 or Rule.LIST_EXPIRES not in bounds.rules
    is_expired = not call.lease_ticks and Rule.START_EXPIRES in bounds.rules
    return call.run > worker.closed_run and not is_expired


def _call_order(call: LateCall) -> tuple[int, str, int, int, int]:
    return call.worker, call.kind.value, call.run, call.token, call.lease_ticks
