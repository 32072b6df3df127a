"""What entries do in the model of a takeover: renew, claim, start, learn of jobs."""

from collections.abc import Iterator

from features.steps.takeover_agents import (
    exchange,
)
from features.steps.takeover_state import (
    Bounds,
    Claim,
    Entry,
    Life,
    Move,
    Office,
    Rule,
    Run,
    State,
    Why,
    put,
    renewed,
    spend,
    with_agent,
    with_entry,
)


def kill(state: State, bounds: Bounds, number: int) -> State:
    """Kill an entry, which restarts at once."""
    store = state.store
    if store.holder == number:
        store = store._replace(same_life=False)
    claims = tuple(
        claim._replace(life=Life.DEAD) if claim.entry == number else claim
        for claim in state.claims
    )
    claims = tuple(claim for claim in claims if matters(claim))
    # A life that has just begun can't know what the one before promised.
    state = with_entry(state, number, Entry(-1, bounds.valid))
    return spend(state._replace(store=store, claims=claims), kills=1)


def matters(claim: Claim) -> bool:
    """Tell whether anything can still come of a claim."""
    return not claim.landed or claim.life is Life.WAITS


def leading(
    state: State, bounds: Bounds, number: int, entry: Entry, office: Office
) -> Iterator[Move]:
    """Yield what an entry that leads may do."""
    yield from _renewing(state, bounds, number, entry, office)
    if state.left.laid:
        laid = state.store.laid or state.store.epoch == office.epoch
        after = with_entry(state, number, entry._replace(office=None))
        after = after._replace(store=state.store._replace(laid=laid))
        yield f"entry {number} lays its office down", spend(after, laid=1)
    yield from _job_moves(state, bounds, number, entry, office)
    for at, agent in enumerate(state.agents):
        if (at, number) in bounds.apart:
            continue
        if _startable(office, bounds, at):
            hosts = put(office.hosts, at, True)
            entry_after = entry._replace(office=office._replace(hosts=hosts))
            orders = tuple(sorted({*agent.orders, (office.epoch, False)}))
            after = with_entry(state, number, entry_after)
            after = with_agent(after, at, agent._replace(orders=orders))
            text = f"entry {number} (epoch {office.epoch}) orders a start at {at}"
            if at not in bounds.prompt:
                yield text, after
            else:
                yield from _prompt_start(after, bounds, number, at, text)


def _prompt_start(
    state: State, bounds: Bounds, number: int, at: int, text: str
) -> Iterator[Move]:
    # The report that let the leader choose this agent was made just now.
    after = exchange(state, bounds, at, number)
    if after is None:
        return
    agent = after.agents[at]
    office = state.entries[number].office
    assert office is not None
    if agent.epoch == office.epoch and agent.valid:
        taken = renewed(agent._replace(orders=(), run=Run.LIVE), bounds)
        yield f"{text}, which is carried out", with_agent(after, at, taken)


def _startable(office: Office, bounds: Bounds, at: int) -> bool:
    settled = office.settled or not any(office.unheard)
    in_touch = office.heard[at] > 0 or at in bounds.prompt
    known = in_touch and not office.unheard[at]
    return (
        office.job and settled and known and office.valid > 0 and not any(office.hosts)
    )


def _renewing(
    state: State, bounds: Bounds, number: int, entry: Entry, office: Office
) -> Iterator[Move]:
    if number in bounds.away:
        pass
    elif state.store.epoch != office.epoch:
        after = with_entry(state, number, entry._replace(office=None))
        yield f"entry {number} sees that it leads no more", after
    else:
        held = entry._replace(office=_renewed_office(office, bounds))
        unsure = state.store.unsure and office.rivals > 0
        claims = tuple(claim._replace(fresh=False) for claim in state.claims)
        store = state.store._replace(still=0, unsure=unsure)
        after = with_entry(state, number, held)
        yield (
            f"entry {number} renews epoch {office.epoch}",
            after._replace(store=store, claims=claims),
        )
    if state.left.words:
        after = _renewed_by_word(state, bounds, number)
        if after is not None:
            yield f"entry {number} renews epoch {office.epoch} by word", after


def _renewed_by_word(state: State, bounds: Bounds, number: int) -> State | None:
    office = state.entries[number].office
    assert office is not None
    after = state
    for other, entry in enumerate(state.entries):
        if other == number:
            continue
        if Rule.REFUSAL_NO_WORD not in bounds.rules:
            continue
        if entry.knows > office.epoch or entry.office is not None:
            return None
        if entry.knows < 0 and Rule.WORD_READS in bounds.rules:
            return None
        after = with_entry(after, other, entry._replace(promised=bounds.valid))
    held = state.entries[number]._replace(office=_renewed_office(office, bounds))
    return spend(with_entry(after, number, held), words=1)


def _renewed_office(office: Office, bounds: Bounds) -> Office:
    # No other leader was in office yet when the renewal was sent, so nobody else can
    # have moved the leases of an agent whose time was over by then.
    return given_up(office._replace(valid=bounds.valid))


def _job_moves(
    state: State, bounds: Bounds, number: int, entry: Entry, office: Office
) -> Iterator[Move]:
    waits = any(office.unheard)
    if state.store.job and not office.job:
        again = Rule.JOBS_LISTED_AGAIN in bounds.rules
        sure = office.relisted if again else not office.rivals
        learnt = office._replace(job=True, settled=not waits or sure)
        after = with_entry(state, number, entry._replace(office=learnt))
        yield f"entry {number} learns of the job", after
    if waits and not office.rivals and not office.relisted:
        listed = office._replace(relisted=True)
        if state.store.job and not office.job:
            listed = listed._replace(job=True, settled=False)
        after = with_entry(state, number, entry._replace(office=listed))
        yield f"entry {number} lists the jobs again", after


def following(
    state: State, bounds: Bounds, number: int, entry: Entry
) -> Iterator[Move]:
    """Yield what an entry that does not lead may do."""
    for claim in state.claims:
        if claim.entry == number and claim.life is Life.WAITS:
            return
    store = state.store
    if entry.knows < 0 and state.left.words:
        read = entry._replace(knows=store.epoch)
        yield f"entry {number} reads the epoch", with_entry(state, number, read)
    full = store.epoch >= bounds.epochs or len(state.claims) > 1
    if full or number in bounds.away:
        return
    for why in _reasons(state, bounds, number, entry):
        claim = Claim(number, store.epoch, why, bounds.valid, unsure=store.unsure)
        after = state._replace(claims=(*state.claims, claim))
        if why is Why.REFUSED:
            after = spend(after, refusals=1)
        text = f"entry {number} decides on epoch {store.epoch}: {why.value}"
        if not bounds.prompt_claims:
            yield text, after
            continue
        _, landed = _landing(after, bounds, claim, state.claims)
        led = _begun(
            landed._replace(claims=state.claims),
            bounds,
            claim._replace(landed=store.epoch + 1),
        )
        yield f"{text}, and leads epoch {store.epoch + 1}", led


def _reasons(state: State, bounds: Bounds, number: int, entry: Entry) -> Iterator[Why]:
    store = state.store
    if store.still >= bounds.claim_after and not entry.promised:
        yield Why.STILL
    if store.laid:
        yield Why.LAID
    if not store.same_life or store.holder == number:
        yield Why.LATER_LIFE
    if store.holder != number and state.left.refusals:
        yield Why.REFUSED


def claiming(state: State, bounds: Bounds, number: int) -> Iterator[Move]:
    """Yield what may become of a claim."""
    claim = state.claims[number]
    rest = (*state.claims[:number], *state.claims[number + 1 :])
    if claim.landed:
        after = state._replace(claims=rest)
        yield (
            f"entry {claim.entry} leads epoch {claim.landed}",
            _begun(after, bounds, claim),
        )
    else:
        yield _landing(state, bounds, claim, rest)
    if claim.life is Life.WAITS and state.left.lost_claims:
        lost = claim._replace(life=Life.GAVE_UP)
        after = state._replace(claims=(*rest, lost) if matters(lost) else rest)
        yield f"entry {claim.entry} gives up its claim", spend(after, lost_claims=1)


def _landing(
    state: State, bounds: Bounds, claim: Claim, rest: tuple[Claim, ...]
) -> Move:
    store = state.store
    bound = Rule.CLAIM_BOUND in bounds.rules
    if bound and (store.epoch != claim.expected or not claim.fresh):
        return f"the claim of entry {claim.entry} fails", state._replace(claims=rest)
    handed_on = claim.unsure and claim.why is not Why.STILL
    unsure = claim.why is Why.REFUSED or handed_on
    epoch = store.epoch + 1
    same_life = claim.life is not Life.DEAD
    after = store._replace(
        epoch=epoch,
        holder=claim.entry,
        same_life=same_life,
        laid=False,
        still=0,
        unsure=unsure,
    )
    landed = claim._replace(landed=epoch)
    claims = (*rest, landed) if matters(landed) else rest
    text = f"the claim of entry {claim.entry} to epoch {epoch} is done in the store"
    return text, state._replace(store=after, claims=claims)


def _begun(state: State, bounds: Bounds, claim: Claim) -> State:
    entry = state.entries[claim.entry]
    rivals = 0
    if claim.why is Why.REFUSED and Rule.RIVALS_ON_REFUSAL in bounds.rules:
        rivals = bounds.rivals
    handed_on = claim.unsure and claim.why is not Why.STILL
    if handed_on and Rule.RIVALS_HANDED_ON in bounds.rules:
        rivals = bounds.rivals
    if Rule.PROMISE_COUNTS in bounds.rules:
        rivals = max(rivals, entry.promised)
    agents = len(state.agents)
    office = Office(
        claim.landed,
        claim.valid,
        rivals,
        rivals + bounds.give_up,
        (True,) * agents,
        (0,) * agents,
        (False,) * agents,
        state.store.job,
        False,
        False,
    )
    return with_entry(
        state, claim.entry, entry._replace(knows=claim.landed, office=office)
    )


def given_up(office: Office) -> Office:
    """Return the office without the agents whose time is over."""
    hosts = tuple(
        host and (ticks > 0 or unheard)
        for host, ticks, unheard in zip(
            office.hosts, office.heard, office.unheard, strict=True
        )
    )
    unheard = office.unheard if office.wait else (False,) * len(hosts)
    return office._replace(hosts=hosts, unheard=unheard)
