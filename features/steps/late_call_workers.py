"""What a worker does with calls in the late-call model, and how its runs end."""

from collections.abc import Iterator

from features.steps.late_call_state import (
    Answer,
    Bounds,
    Call,
    LateCall,
    Listing,
    Move,
    Phase,
    Rule,
    State,
    Worker,
    replaced,
    with_agent,
    with_worker,
)


def worker_moves(state: State, bounds: Bounds, number: int) -> Iterator[Move]:
    """Yield the ends of a worker's runs."""
    worker = state.workers[number]
    for run in worker.runs:
        ended = _without_run(worker, run)
        if run in worker.stopping:
            yield f"run {run} is stopped", with_worker(state, number, ended)
        elif bounds.ends:
            if not worker.done_run or worker.done_lapsed:
                ended = ended._replace(
                    done_run=run, done_lapsed=False, started_since=False
                )
            yield f"run {run} succeeds", with_worker(state, number, ended)


def late_call_moves(state: State, bounds: Bounds) -> Iterator[Move]:
    """Yield the executions of calls in transit."""
    for call in state.calls:
        if state.workers[call.worker].down:
            continue
        rest = tuple(other for other in state.calls if other is not call)
        after = state._replace(calls=rest)
        late = "" if call.is_awaited else " late"
        if call.kind is Call.LIST:
            text = f"worker {call.worker} carries out a list{late}"
            yield text, carry_out_list(after, bounds, call)
        else:
            text = f"worker {call.worker} carries out the start of run {call.run}"
            after, answer = carry_out_start(after, bounds, call)
            if call.is_awaited:
                after = _with_answer(after, call, answer)
            yield f"{text}{late}", after


def carry_out_start(
    state: State, bounds: Bounds, call: LateCall
) -> tuple[State, Answer]:
    """Return the state after a worker has carried out or refused a start."""
    worker = state.workers[call.worker]
    if call.token < worker.token:
        return state, Answer.STALE
    worker = worker._replace(token=call.token)
    if call.run in worker.runs:
        return with_worker(state, call.worker, worker), Answer.STARTED
    is_expired = not call.lease_ticks and Rule.START_EXPIRES in bounds.rules
    if is_expired or call.run <= worker.closed_run:
        return with_worker(state, call.worker, worker), Answer.REFUSED
    granted = bounds.run_lease if bounds.lease_from_arrival else call.lease_ticks
    worker = worker._replace(
        runs=(*worker.runs, call.run), lease_ticks=max(worker.lease_ticks, granted)
    )
    state = with_worker(state, call.worker, worker)
    workers = tuple(
        other._replace(started_since=True) if other.done_run else other
        for other in state.workers
    )
    state = state._replace(workers=workers)
    return state._replace(violation=_violation(state)), Answer.STARTED


def carry_out_list(state: State, bounds: Bounds, call: LateCall) -> State:
    """Return the state after a worker has carried out or refused a list."""
    worker = state.workers[call.worker]
    if call.token < worker.token:
        return state
    granted = call.lease_ticks
    if not call.is_awaited and Rule.LIST_EXPIRES not in bounds.rules:
        granted = bounds.run_lease
    lease_ticks = max(worker.lease_ticks, granted)
    worker = worker._replace(token=call.token, lease_ticks=lease_ticks)
    state = with_worker(state, call.worker, worker)
    if not call.is_awaited:
        return state
    agent = state.agents[call.worker]
    listing = Listing(call.token, worker.runs, worker.done_run, worker.boot)
    unread = tuple(sorted({*agent.unread, listing}))
    return with_agent(state, call.worker, agent._replace(unread=unread))


def stop_run(state: State, bounds: Bounds, number: int, run: int) -> State:
    """Return the state after a worker has carried out a stop."""
    worker = state.workers[number]
    worker = worker._replace(token=max(worker.token, state.agents[number].token))
    if Rule.STOP_CLOSES in bounds.rules:
        worker = worker._replace(closed_run=max(worker.closed_run, run))
    if run in worker.runs and run not in worker.stopping:
        worker = worker._replace(stopping=(*worker.stopping, run))
    return with_worker(state, number, worker)


def delete_end(state: State, number: int) -> State:
    """Return the state after an end was acknowledged to a worker."""
    worker = state.workers[number]
    unlapsed = not worker.done_lapsed
    if unlapsed and worker.started_since:
        state = state._replace(violation="an end acknowledged after a later start")
    state = state._replace(
        acknowledged=True,
        acknowledged_unlapsed=state.acknowledged_unlapsed or unlapsed,
    )
    after = worker._replace(done_run=0, done_lapsed=False, started_since=False)
    return with_worker(state, number, after)


def worker_after_tick(worker: Worker) -> Worker:
    """Return the worker after a tick; its runs end with their leases."""
    if worker.lease_ticks > 1:
        return worker._replace(lease_ticks=worker.lease_ticks - 1)
    return worker._replace(
        lease_ticks=0,
        closed_run=max(worker.closed_run, *worker.runs, 0),
        runs=(),
        stopping=(),
        done_lapsed=bool(worker.done_run),
    )


def _with_answer(state: State, call: LateCall, answer: Answer) -> State:
    agent = state.agents[call.worker]
    for index, start in enumerate(agent.starts):
        if (start.run, start.phase) == (call.run, Phase.SENT):
            answered = start._replace(answer=answer)
            starts = replaced(agent.starts, index, answered)
            return with_agent(state, call.worker, agent._replace(starts=starts))
    return state


def _violation(state: State) -> str:
    if sum(len(worker.runs) for worker in state.workers) > 1:
        return "two runs at one time"
    if state.acknowledged_unlapsed:
        return "a start after an acknowledged end"
    return "a start after an acknowledged, lapsed end" if state.acknowledged else ""


def _without_run(worker: Worker, run: int) -> Worker:
    return worker._replace(
        closed_run=max(worker.closed_run, run),
        runs=tuple(other for other in worker.runs if other != run),
        stopping=tuple(other for other in worker.stopping if other != run),
    )
