"""The moves of agents and their workers in the takeover model."""

from collections.abc import Iterator

from features.steps.takeover_state import (
    Agent,
    Bounds,
    Move,
    Reply,
    Rule,
    RunState,
    SentReport,
    State,
    Term,
    replaced,
    use_up,
    with_agent,
    with_entry,
    with_renewed_lease,
)


def agent_moves(
    state: State, bounds: Bounds, number: int, agent: Agent
) -> Iterator[Move]:
    """Yield the moves that an agent and its worker may make."""
    yield from _order_moves(state, bounds, number, agent)
    if number in bounds.prompt_agents:
        for target, entry in enumerate(state.entries):
            if entry.term is not None and (number, target) not in bounds.cut_links:
                term = entry.term
                idle = agent.run is RunState.NONE and not term.unreported[number]
                after = None if idle else report_at_once(state, bounds, number, target)
                if after is not None:
                    yield (
                        f"agent {number} reports to entry {target}, is answered",
                        after,
                    )
    else:
        yield from _report_moves(state, bounds, number, agent)
    if agent.run in (RunState.STARTING, RunState.ORPHANED):
        after = with_agent(state, number, agent._replace(run=RunState.RUNNING))
        yield f"worker {number} carries out the start", after
    if not agent.listed:
        yield (
            f"agent {number} lists what its worker runs",
            _list_runs(state, bounds, number),
        )
    if agent.read_epoch < 0:
        read = agent._replace(read_epoch=state.store.epoch)
        yield f"agent {number} reads the epoch", with_agent(state, number, read)
    if state.faults_left.agent_restarts and number not in bounds.prompt_agents:
        yield (
            f"agent {number} is killed and restarts",
            _restart_agent(state, bounds, number),
        )


def _order_moves(
    state: State, bounds: Bounds, number: int, agent: Agent
) -> Iterator[Move]:
    for epoch in {order[0] for order in agent.orders}:
        if epoch != agent.epoch or not agent.valid_ticks or not agent.listed:
            continue
        orders = tuple(order for order in agent.orders if order[0] != epoch)
        for run in (
            (RunState.RUNNING, RunState.STARTING)
            if state.faults_left.late_starts
            else (RunState.RUNNING,)
        ):
            accepted = with_renewed_lease(
                agent._replace(orders=orders, run=run), bounds
            )
            after = with_agent(state, number, accepted)
            late = int(run is RunState.STARTING)
            text = f"agent {number} accepts the order of epoch {epoch}: {run.value}"
            yield text, use_up(after, late_starts=late)


def _list_runs(state: State, bounds: Bounds, number: int) -> State:
    agent = state.agents[number]
    run = agent.run
    if run is RunState.ORPHANED and Rule.FENCE in bounds.rules:
        run = RunState.NONE
    listed = agent._replace(listed=True, run=run)
    return with_agent(state, number, with_renewed_lease(listed, bounds))


def _restart_agent(state: State, bounds: Bounds, number: int) -> State:
    agent = state.agents[number]
    report = agent.report
    if report is not None:
        report = (
            report._replace(is_current=False) if report.reply is Reply.NONE else None
        )
    run = RunState.ORPHANED if agent.run is RunState.STARTING else agent.run
    restarted = Agent(
        0, 0, 0, -1, bounds.rival_validity, False, run, agent.lease_ticks, report
    )
    return use_up(with_agent(state, number, restarted), agent_restarts=1)


def _report_moves(
    state: State, bounds: Bounds, number: int, agent: Agent
) -> Iterator[Move]:
    for target, entry in enumerate(state.entries):
        if entry.term is not None and (number, target) not in bounds.cut_links:
            text = f"agent {number} (epoch {agent.epoch}) reports to entry {target}"
            if not bounds.prompt_reports:
                yield text, send_report(state, bounds, number, target)
                continue
            after = report_at_once(state, bounds, number, target)
            if after is not None:
                yield f"{text}, is answered", after
    report = agent.report
    if report is None:
        return
    if report.reply is Reply.NONE:
        received = receive_report(state, bounds, number)
        if received is not None:
            yield (
                f"entry {report.entry} receives the report of agent {number}",
                received,
            )
    else:
        text = (
            f"agent {number} is answered: {report.reply.value}"
            f" (epoch {report.answer_epoch})"
        )
        yield text, read_answer(state, bounds, number)


def report_at_once(
    state: State, bounds: Bounds, number: int, target: int
) -> State | None:
    """Return the state after a report and its answer; None if it is refused."""
    after = receive_report(send_report(state, bounds, number, target), bounds, number)
    return None if after is None else read_answer(after, bounds, number)


def send_report(state: State, bounds: Bounds, number: int, target: int) -> State:
    """Return the state after a report was sent; one still in transit is lost."""
    agent = state.agents[number]
    has_run = agent.listed and agent.run in (RunState.STARTING, RunState.RUNNING)
    report = SentReport(target, agent.epoch, has_run, agent.listed, bounds.run_horizon)
    return with_agent(state, number, agent._replace(report=report))


def receive_report(state: State, bounds: Bounds, number: int) -> State | None:
    """Return the state after a leader received a report; None if it refuses it."""
    agent = state.agents[number]
    report = agent.report
    assert report is not None
    entry = state.entries[report.entry]
    term = entry.term
    if term is None:
        return None
    if not term.valid_ticks and Rule.IDLE_MOVES_NOTHING in bounds.rules:
        return None
    if Rule.REPORT_EPOCH in bounds.rules and report.epoch != term.epoch:
        if report.epoch > term.epoch:
            return None
        reply = report._replace(reply=Reply.FOLLOW, answer_epoch=term.epoch)
    else:
        valid = max(0, term.valid_ticks - (bounds.run_horizon - report.contact_ticks))
        reply = report._replace(
            reply=Reply.ACCEPTED, answer_epoch=term.epoch, valid_ticks=valid
        )
        term = _record_report(term, bounds, number, report)
    orders = tuple(
        sorted(
            {
                (epoch, answered or epoch == term.epoch)
                for epoch, answered in agent.orders
            }
        )
    )
    after = agent._replace(report=reply if report.is_current else None, orders=orders)
    state = with_entry(state, report.entry, entry._replace(term=term))
    return with_agent(state, number, after)


def _record_report(term: Term, bounds: Bounds, number: int, report: SentReport) -> Term:
    timeout_ticks = replaced(term.timeout_ticks, number, bounds.agent_timeout)
    if not report.listed:
        if term.unreported[number] and Rule.UNLISTED_HOLDS in bounds.rules:
            term = term._replace(
                recovery_ticks=max(term.recovery_ticks, bounds.agent_timeout)
            )
        return term._replace(timeout_ticks=timeout_ticks)
    may_run = replaced(term.may_run, number, term.may_run[number] or report.has_run)
    unreported = replaced(term.unreported, number, False)
    return term._replace(
        timeout_ticks=timeout_ticks, may_run=may_run, unreported=unreported
    )


def read_answer(state: State, bounds: Bounds, number: int) -> State:
    """Return the state after an agent has read the answer to its report."""
    agent = state.agents[number]
    report = agent.report
    assert report is not None
    agent = agent._replace(report=None)
    must_read = Rule.FRESH_READS in bounds.rules and agent.startup_ticks > 0
    unread = agent.read_epoch < 0 or report.answer_epoch < agent.read_epoch
    if report.answer_epoch < agent.epoch or (must_read and unread):
        return with_agent(state, number, agent)
    if report.answer_epoch > agent.epoch:
        agent = agent._replace(epoch=report.answer_epoch, valid_ticks=0)
    if report.reply is Reply.ACCEPTED:
        # A connection keeps the order: what was sent before the answer has arrived
        # before it, or is lost.
        orders = tuple(o for o in agent.orders if o != (report.answer_epoch, True))
        agent = agent._replace(orders=orders)
        contact = max(agent.contact_ticks, report.contact_ticks)
        agent = agent._replace(
            contact_ticks=contact,
            valid_ticks=max(agent.valid_ticks, report.valid_ticks),
        )
    return with_agent(state, number, with_renewed_lease(agent, bounds))
