"""What a worker does with calls in the late-call model, and how its runs end."""

from collections.abc import Iterator

from features.steps.late_call_state import (
    Bounds,
    Call,
    LateCall,
    Move,
    Rule,
    State,
    Worker,
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
    """Yield the executions of calls that got no answer."""
    for call in state.calls:
        rest = tuple(other for other in state.calls if other is not call)
        after = state._replace(calls=rest)
        if call.kind is Call.LIST:
            text = f"worker {call.worker} carries out a list that got no answer"
            yield text, _renew_late(after, bounds, call)
        else:
            text = f"worker {call.worker} carries out the start of run {call.run} late"
            yield text, start_run(after, bounds, call)


def start_run(state: State, bounds: Bounds, call: LateCall) -> State:
    """Return the state after a worker has carried out or refused a start."""
    worker = state.workers[call.worker]
    if call.token < worker.token:
        return state
    worker = worker._replace(token=call.token)
    is_expired = not call.lease_ticks and Rule.START_EXPIRES in bounds.rules
    if is_expired or call.run <= worker.closed_run or call.run in worker.runs:
        return with_worker(state, call.worker, worker)
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
    if sum(len(other.runs) for other in workers) > 1:
        return state._replace(violation="two runs at one time")
    if state.acknowledged_unlapsed:
        return state._replace(violation="a start after an acknowledged end")
    if state.acknowledged:
        return state._replace(violation="a start after an acknowledged, lapsed end")
    return state


def stop_run(state: State, bounds: Bounds, number: int, run: int) -> State:
    """Return the state after a worker has carried out a stop."""
    worker = state.workers[number]
    if Rule.STOP_CLOSES in bounds.rules:
        worker = worker._replace(closed_run=max(worker.closed_run, run))
    if run in worker.runs and run not in worker.stopping:
        worker = worker._replace(stopping=(*worker.stopping, run))
    return with_worker(state, number, worker)


def renew(worker: Worker, lease_ticks: int) -> Worker:
    """Return the worker with all its leases extended."""
    return worker._replace(lease_ticks=max(worker.lease_ticks, lease_ticks))


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


def _renew_late(state: State, bounds: Bounds, call: LateCall) -> State:
    worker = state.workers[call.worker]
    if call.token < worker.token:
        return state
    granted = call.lease_ticks
    if Rule.LIST_EXPIRES not in bounds.rules:
        granted = bounds.run_lease
    worker = renew(worker._replace(token=call.token), granted)
    return with_worker(state, call.worker, worker)


def _without_run(worker: Worker, run: int) -> Worker:
    return worker._replace(
        closed_run=max(worker.closed_run, run),
        runs=tuple(other for other in worker.runs if other != run),
        stopping=tuple(other for other in worker.stopping if other != run),
    )
