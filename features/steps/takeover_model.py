"""A model of leader takeover: entries, agents, workers, the store and the network.

There is one task, of which several agents may hold a run. A state is a tuple, and
`moves` yields all possible transitions from it. Every deadline is a count of remaining
ticks, so that states that differ only in the absolute time are equal. A process that
pauses makes no move, a lost message is never received, a late one is received late.

Where the model deviates from the programs, it only allows more histories: entries see
each change of the heartbeat at once, and every run lasts until the last tick of its
lease.
"""

from collections.abc import Iterator

from features.steps.takeover_agents import (
    agent_moves,
)
from features.steps.takeover_entries import (
    claim_moves,
    follower_moves,
    leader_moves,
    restart_entry,
    without_lost_agents,
)
from features.steps.takeover_state import (
    Agent,
    Bounds,
    Claim,
    Entry,
    Move,
    Reply,
    Rule,
    RunState,
    State,
    Store,
    decremented,
    replaced,
    with_renewed_lease,
)


def moves(state: State, bounds: Bounds) -> Iterator[Move]:
    """Yield all possible moves, each with a line that describes it."""
    yield "a tick passes", _after_tick(state, bounds)
    if not state.store.job_stored:
        yield (
            "the job is stored",
            state._replace(store=state.store._replace(job_stored=True)),
        )
    for number, entry in enumerate(state.entries):
        if entry.term is not None:
            yield from leader_moves(state, bounds, number, entry, entry.term)
        else:
            yield from follower_moves(state, bounds, number, entry)
        if state.faults_left.entry_restarts:
            yield (
                f"entry {number} is killed and restarts",
                restart_entry(state, bounds, number),
            )
    for number in range(len(state.claims)):
        yield from claim_moves(state, bounds, number)
    for number, agent in enumerate(state.agents):
        yield from agent_moves(state, bounds, number, agent)


def _after_tick(state: State, bounds: Bounds) -> State:
    store = state.store._replace(
        stalled_ticks=min(bounds.claim_after, state.store.stalled_ticks + 1)
    )
    return state._replace(
        store=store,
        entries=tuple(_entry_after_tick(entry, bounds) for entry in state.entries),
        agents=tuple(_agent_after_tick(agent, bounds) for agent in state.agents),
        claims=tuple(
            claim._replace(valid_ticks=decremented(claim.valid_ticks))
            for claim in state.claims
        ),
    )


def _entry_after_tick(entry: Entry, bounds: Bounds) -> Entry:
    term = entry.term
    if term is None:
        return entry._replace(promised_ticks=decremented(entry.promised_ticks))
    term = term._replace(
        valid_ticks=decremented(term.valid_ticks),
        rival_ticks=decremented(term.rival_ticks),
        recovery_ticks=decremented(term.recovery_ticks),
        timeout_ticks=tuple(decremented(ticks) for ticks in term.timeout_ticks),
    )
    if Rule.GIVE_UP_RENEWED not in bounds.rules:
        term = without_lost_agents(term)
    return entry._replace(promised_ticks=decremented(entry.promised_ticks), term=term)


def _agent_after_tick(agent: Agent, bounds: Bounds) -> Agent:
    agent = with_renewed_lease(agent, bounds)
    lease_ticks = decremented(agent.lease_ticks)
    report = agent.report
    if report is not None:
        report = report._replace(
            contact_ticks=decremented(report.contact_ticks),
            valid_ticks=decremented(report.valid_ticks),
        )
    return agent._replace(
        valid_ticks=decremented(agent.valid_ticks),
        contact_ticks=decremented(agent.contact_ticks),
        startup_ticks=decremented(agent.startup_ticks),
        lease_ticks=lease_ticks,
        run=agent.run if lease_ticks else RunState.NONE,
        report=report,
    )


def canonical(state: State, bounds: Bounds) -> State:
    """Return the state without what can no longer affect any later state.

    States that differ only in that are equal afterwards and are explored once.
    """
    claims = state.claims
    if claims and Rule.CLAIM_BOUND in bounds.rules:
        claims = tuple(claim for claim in claims if _may_commit(claim, state.store))
    return state._replace(
        entries=tuple(
            _canonical_entry(entry, state, bounds) for entry in state.entries
        ),
        agents=tuple(
            _canonical_agent(number, agent, state, bounds)
            for number, agent in enumerate(state.agents)
        ),
        claims=tuple(sorted(claims, key=_claim_order)) if len(claims) > 1 else claims,
    )


def _claim_order(claim: Claim) -> tuple[int, int, str]:
    return claim.entry, claim.expected_epoch, claim.claimant.value


def _may_commit(claim: Claim, store: Store) -> bool:
    return bool(claim.committed_epoch) or (
        claim.expected_epoch == store.epoch and claim.heartbeat_unchanged
    )


def _canonical_entry(entry: Entry, state: State, bounds: Bounds) -> Entry:
    term = entry.term
    if term is None:
        return entry
    has_ended = term.epoch != state.store.epoch and not term.valid_ticks
    if (
        has_ended
        and not state.faults_left.promise_renewals
        and Rule.IDLE_MOVES_NOTHING in bounds.rules
    ):
        return entry._replace(term=None)
    for number in bounds.prompt_agents:
        if term.timeout_ticks[number] and not term.may_run[number]:
            term = term._replace(timeout_ticks=replaced(term.timeout_ticks, number, 0))
    return entry if term is entry.term else entry._replace(term=term)


def _canonical_agent(number: int, agent: Agent, state: State, bounds: Bounds) -> Agent:
    if number in bounds.prompt_agents:
        if agent.run is RunState.NONE and (agent.valid_ticks or agent.contact_ticks):
            return agent._replace(valid_ticks=0, contact_ticks=0)
        return agent
    if not agent.orders and agent.report is None:
        return agent
    orders = tuple(order for order in agent.orders if order[0] >= agent.epoch)
    report = agent.report
    if report is not None:
        outdated = report.reply is not Reply.NONE and report.answer_epoch < agent.epoch
        unanswerable = (
            report.reply is Reply.NONE and state.entries[report.entry].term is None
        )
        if outdated or unanswerable:
            report = None
    return agent._replace(orders=orders, report=report)
