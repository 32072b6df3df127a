"""What agents and their workers do in the model of a takeover."""

from collections.abc import Iterator

from features.steps.takeover_state import (
    Agent,
    Bounds,
    Mail,
    Move,
    Office,
    Reply,
    Rule,
    Run,
    State,
    put,
    renewed,
    spend,
    with_agent,
    with_entry,
)


def agent_moves(
    state: State, bounds: Bounds, number: int, agent: Agent
) -> Iterator[Move]:
    """Yield what an agent and its worker may do."""
    yield from _order_moves(state, bounds, number, agent)
    if number in bounds.prompt:
        for to, entry in enumerate(state.entries):
            if entry.office is not None and (number, to) not in bounds.apart:
                office = entry.office
                idle = agent.run is Run.NONE and not office.unheard[number]
                after = None if idle else exchange(state, bounds, number, to)
                if after is not None:
                    yield f"agent {number} reports to entry {to}, is answered", after
    else:
        yield from _mail_moves(state, bounds, number, agent)
    if agent.run in (Run.SENT, Run.STRAY):
        after = with_agent(state, number, agent._replace(run=Run.LIVE))
        yield f"worker {number} carries out the start", after
    if not agent.listed:
        yield f"agent {number} reads its worker's list", _list(state, bounds, number)
    if agent.floor < 0:
        read = agent._replace(floor=state.store.epoch)
        yield f"agent {number} reads the epoch", with_agent(state, number, read)
    if state.left.crashes and number not in bounds.prompt:
        yield f"agent {number} is killed and restarts", _crash(state, bounds, number)


def _order_moves(
    state: State, bounds: Bounds, number: int, agent: Agent
) -> Iterator[Move]:
    for epoch in {order[0] for order in agent.orders}:
        if epoch != agent.epoch or not agent.valid or not agent.listed:
            continue
        orders = tuple(order for order in agent.orders if order[0] != epoch)
        for run in (Run.LIVE, Run.SENT) if state.left.late_starts else (Run.LIVE,):
            taken = renewed(agent._replace(orders=orders, run=run), bounds)
            after = with_agent(state, number, taken)
            late = int(run is Run.SENT)
            text = f"agent {number} takes the order of epoch {epoch}: {run.value}"
            yield text, spend(after, late_starts=late)


def _list(state: State, bounds: Bounds, number: int) -> State:
    agent = state.agents[number]
    run = agent.run
    if run is Run.STRAY and Rule.FENCE in bounds.rules:
        run = Run.NONE
    seen = agent._replace(listed=True, run=run)
    return with_agent(state, number, renewed(seen, bounds))


def _crash(state: State, bounds: Bounds, number: int) -> State:
    agent = state.agents[number]
    mail = agent.mail
    if mail is not None:
        mail = mail._replace(mine=False) if mail.reply is Reply.NONE else None
    run = Run.STRAY if agent.run is Run.SENT else agent.run
    fresh = Agent(0, 0, 0, -1, bounds.rivals, False, run, agent.lease, mail)
    return spend(with_agent(state, number, fresh), crashes=1)


def _mail_moves(
    state: State, bounds: Bounds, number: int, agent: Agent
) -> Iterator[Move]:
    for to, entry in enumerate(state.entries):
        if entry.office is not None and (number, to) not in bounds.apart:
            text = f"agent {number} (epoch {agent.epoch}) reports to entry {to}"
            if not bounds.prompt_reports:
                yield text, send(state, bounds, number, to)
                continue
            after = exchange(state, bounds, number, to)
            if after is not None:
                yield f"{text}, is answered", after
    mail = agent.mail
    if mail is None:
        return
    if mail.reply is Reply.NONE:
        received = receive(state, bounds, number)
        if received is not None:
            yield f"entry {mail.to} takes in the report of agent {number}", received
    else:
        text = f"agent {number} is answered: {mail.reply.value} (epoch {mail.answered})"
        yield text, answered(state, bounds, number)


def exchange(state: State, bounds: Bounds, number: int, to: int) -> State | None:
    """Report and read the answer at once; None if it is refused."""
    after = receive(send(state, bounds, number, to), bounds, number)
    return None if after is None else answered(after, bounds, number)


def send(state: State, bounds: Bounds, number: int, to: int) -> State:
    """Send a report; one that was still on its way is lost."""
    agent = state.agents[number]
    shows = agent.listed and agent.run in (Run.SENT, Run.LIVE)
    mail = Mail(to, agent.epoch, shows, agent.listed, bounds.horizon)
    return with_agent(state, number, agent._replace(mail=mail))


def receive(state: State, bounds: Bounds, number: int) -> State | None:
    """Let a leader take in an agent's report, unless it refuses it."""
    agent = state.agents[number]
    mail = agent.mail
    assert mail is not None
    entry = state.entries[mail.to]
    office = entry.office
    if office is None:
        return None
    if not office.valid and Rule.IDLE_MOVES_NOTHING in bounds.rules:
        return None
    if Rule.REPORT_EPOCH in bounds.rules and mail.epoch != office.epoch:
        if mail.epoch > office.epoch:
            return None
        reply = mail._replace(reply=Reply.FOLLOW, answered=office.epoch)
    else:
        valid = max(0, office.valid - (bounds.horizon - mail.contact))
        reply = mail._replace(reply=Reply.TAKEN, answered=office.epoch, valid=valid)
        office = _taken_in(office, bounds, number, mail)
    orders = tuple(
        sorted({(epoch, sent or epoch == office.epoch) for epoch, sent in agent.orders})
    )
    after = agent._replace(mail=reply if mail.mine else None, orders=orders)
    state = with_entry(state, mail.to, entry._replace(office=office))
    return with_agent(state, number, after)


def _taken_in(office: Office, bounds: Bounds, number: int, mail: Mail) -> Office:
    heard = put(office.heard, number, bounds.give_up)
    if not mail.listed:
        if office.unheard[number] and Rule.UNLISTED_HOLDS in bounds.rules:
            office = office._replace(wait=max(office.wait, bounds.give_up))
        return office._replace(heard=heard)
    hosts = put(office.hosts, number, office.hosts[number] or mail.shows)
    unheard = put(office.unheard, number, False)
    return office._replace(heard=heard, hosts=hosts, unheard=unheard)


def answered(state: State, bounds: Bounds, number: int) -> State:
    """Let an agent read the answer to its report."""
    agent = state.agents[number]
    mail = agent.mail
    assert mail is not None
    agent = agent._replace(mail=None)
    fresh = Rule.FRESH_READS in bounds.rules and agent.young > 0
    unread = agent.floor < 0 or mail.answered < agent.floor
    if mail.answered < agent.epoch or (fresh and unread):
        return with_agent(state, number, agent)
    if mail.answered > agent.epoch:
        agent = agent._replace(epoch=mail.answered, valid=0)
    if mail.reply is Reply.TAKEN:
        # What was sent before the answer comes before it on one connection, or never.
        orders = tuple(o for o in agent.orders if o != (mail.answered, True))
        agent = agent._replace(orders=orders)
        contact = max(agent.contact, mail.contact)
        agent = agent._replace(contact=contact, valid=max(agent.valid, mail.valid))
    return with_agent(state, number, renewed(agent, bounds))
