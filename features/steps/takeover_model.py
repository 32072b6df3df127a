"""A small model of a takeover: entries, agents, workers, the store and the network.

One task; runs of it may go on at several agents. A state is a tuple, `moves` yields
all that may happen next. Deadlines are kept as the ticks that are left, so that
states which differ only in the hour are one. A process that pauses makes no move; a
message that is lost is never taken out; one that is late is taken out late.

Where the model is bolder than the programs, it only adds histories: entries see each
change of the beat at once, and every run lives to the last tick of its lease.
"""

from collections.abc import Iterator

from features.steps.takeover_agents import (
    agent_moves,
)
from features.steps.takeover_entries import (
    claiming,
    following,
    given_up,
    kill,
    leading,
)
from features.steps.takeover_state import (
    Agent,
    Bounds,
    Claim,
    Entry,
    Move,
    Reply,
    Rule,
    Run,
    State,
    Store,
    less,
    put,
    renewed,
)


def moves(state: State, bounds: Bounds) -> Iterator[Move]:
    """Yield all that may happen next, each with a line that tells it."""
    yield "a tick passes", _tick(state, bounds)
    if not state.store.job:
        yield "the job is stored", state._replace(store=state.store._replace(job=True))
    for number, entry in enumerate(state.entries):
        if entry.office is not None:
            yield from leading(state, bounds, number, entry, entry.office)
        else:
            yield from following(state, bounds, number, entry)
        if state.left.kills:
            yield f"entry {number} is killed and restarts", kill(state, bounds, number)
    for number in range(len(state.claims)):
        yield from claiming(state, bounds, number)
    for number, agent in enumerate(state.agents):
        yield from agent_moves(state, bounds, number, agent)


# ---- time


def _tick(state: State, bounds: Bounds) -> State:
    store = state.store._replace(still=min(bounds.claim_after, state.store.still + 1))
    return state._replace(
        store=store,
        entries=tuple(_entry_ticks(entry, bounds) for entry in state.entries),
        agents=tuple(_agent_ticks(agent, bounds) for agent in state.agents),
        claims=tuple(claim._replace(valid=less(claim.valid)) for claim in state.claims),
    )


def _entry_ticks(entry: Entry, bounds: Bounds) -> Entry:
    office = entry.office
    if office is None:
        return entry._replace(promised=less(entry.promised))
    office = office._replace(
        valid=less(office.valid),
        rivals=less(office.rivals),
        wait=less(office.wait),
        heard=tuple(less(ticks) for ticks in office.heard),
    )
    if Rule.GIVE_UP_RENEWED not in bounds.rules:
        office = given_up(office)
    return entry._replace(promised=less(entry.promised), office=office)


def _agent_ticks(agent: Agent, bounds: Bounds) -> Agent:
    agent = renewed(agent, bounds)
    lease = less(agent.lease)
    mail = agent.mail
    if mail is not None:
        mail = mail._replace(contact=less(mail.contact), valid=less(mail.valid))
    return agent._replace(
        valid=less(agent.valid),
        contact=less(agent.contact),
        young=less(agent.young),
        lease=lease,
        run=agent.run if lease else Run.NONE,
        mail=mail,
    )


# ---- states that differ only in what can't matter any more


def tidy(state: State, bounds: Bounds) -> State:
    """Return the state without what can't matter any more."""
    claims = state.claims
    if claims and Rule.CLAIM_BOUND in bounds.rules:
        claims = tuple(claim for claim in claims if _may_land(claim, state.store))
    return state._replace(
        entries=tuple(_tidy_entry(entry, state, bounds) for entry in state.entries),
        agents=tuple(
            _tidy_agent(number, agent, state, bounds)
            for number, agent in enumerate(state.agents)
        ),
        claims=tuple(sorted(claims, key=_order)) if len(claims) > 1 else claims,
    )


def _order(claim: Claim) -> tuple[int, int, str]:
    return claim.entry, claim.expected, claim.life.value


def _may_land(claim: Claim, store: Store) -> bool:
    return bool(claim.landed) or (claim.expected == store.epoch and claim.fresh)


def _tidy_entry(entry: Entry, state: State, bounds: Bounds) -> Entry:
    office = entry.office
    if office is None:
        return entry
    over = office.epoch != state.store.epoch and not office.valid
    if over and not state.left.words and Rule.IDLE_MOVES_NOTHING in bounds.rules:
        return entry._replace(office=None)
    for number in bounds.prompt:
        if office.heard[number] and not office.hosts[number]:
            office = office._replace(heard=put(office.heard, number, 0))
    return entry if office is entry.office else entry._replace(office=office)


def _tidy_agent(number: int, agent: Agent, state: State, bounds: Bounds) -> Agent:
    if number in bounds.prompt:
        if agent.run is Run.NONE and (agent.valid or agent.contact):
            return agent._replace(valid=0, contact=0)
        return agent
    if not agent.orders and agent.mail is None:
        return agent
    orders = tuple(order for order in agent.orders if order[0] >= agent.epoch)
    mail = agent.mail
    if mail is not None:
        lower = mail.reply is not Reply.NONE and mail.answered < agent.epoch
        nobody = mail.reply is Reply.NONE and state.entries[mail.to].office is None
        if lower or nobody:
            mail = None
    return agent._replace(orders=orders, mail=mail)
