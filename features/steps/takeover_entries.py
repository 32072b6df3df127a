"""The moves of entries in the takeover model: renewals, claims, starts, jobs."""

from collections.abc import Iterator

from features.steps.takeover_agents import (
    report_at_once,
)
from features.steps.takeover_state import (
    Bounds,
    Claim,
    Claimant,
    ClaimReason,
    Entry,
    Move,
    Rule,
    RunState,
    State,
    Term,
    replaced,
    use_up,
    with_agent,
    with_entry,
    with_renewed_lease,
)


def restart_entry(state: State, bounds: Bounds, number: int) -> State:
    """Return the state after an entry was killed and has restarted."""
    store = state.store
    if store.leader == number:
        store = store._replace(same_incarnation=False)
    claims = tuple(
        claim._replace(claimant=Claimant.DEAD) if claim.entry == number else claim
        for claim in state.claims
    )
    claims = tuple(claim for claim in claims if is_pending(claim))
    # The new incarnation can't know what the previous one promised, so it counts a
    # promise as given just now.
    state = with_entry(state, number, Entry(-1, bounds.leader_validity))
    return use_up(state._replace(store=store, claims=claims), entry_restarts=1)


def is_pending(claim: Claim) -> bool:
    """Return whether a claim can still change the state."""
    return not claim.committed_epoch or claim.claimant is Claimant.WAITING


def leader_moves(
    state: State, bounds: Bounds, number: int, entry: Entry, term: Term
) -> Iterator[Move]:
    """Yield the moves that an entry that leads may make."""
    yield from _renewal_moves(state, bounds, number, entry, term)
    if state.faults_left.resignations:
        resigned = state.store.resigned or state.store.epoch == term.epoch
        after = with_entry(state, number, entry._replace(term=None))
        after = after._replace(store=state.store._replace(resigned=resigned))
        yield f"entry {number} resigns", use_up(after, resignations=1)
    yield from _job_moves(state, bounds, number, entry, term)
    for target, agent in enumerate(state.agents):
        if (target, number) in bounds.cut_links:
            continue
        if _may_start(term, bounds, target):
            may_run = replaced(term.may_run, target, True)
            entry_after = entry._replace(term=term._replace(may_run=may_run))
            orders = tuple(sorted({*agent.orders, (term.epoch, False)}))
            after = with_entry(state, number, entry_after)
            after = with_agent(after, target, agent._replace(orders=orders))
            text = (
                f"entry {number} (epoch {term.epoch}) orders agent {target} to start"
                " the task"
            )
            if target not in bounds.prompt_agents:
                yield text, after
            else:
                yield from _prompt_start(after, bounds, number, target, text)


def _prompt_start(
    state: State, bounds: Bounds, number: int, target: int, text: str
) -> Iterator[Move]:
    # The leader chose this agent on a report that it received just now.
    after = report_at_once(state, bounds, target, number)
    if after is None:
        return
    agent = after.agents[target]
    term = state.entries[number].term
    assert term is not None
    if agent.epoch == term.epoch and agent.valid_ticks:
        accepted = with_renewed_lease(
            agent._replace(orders=(), run=RunState.RUNNING), bounds
        )
        yield f"{text}, which is carried out", with_agent(after, target, accepted)


def _may_start(term: Term, bounds: Bounds, target: int) -> bool:
    no_run_elsewhere = term.no_rival_start or not any(term.unreported)
    in_contact = term.timeout_ticks[target] > 0 or target in bounds.prompt_agents
    reported = in_contact and not term.unreported[target]
    return (
        term.job_known
        and no_run_elsewhere
        and reported
        and term.valid_ticks > 0
        and not any(term.may_run)
    )


def _renewal_moves(
    state: State, bounds: Bounds, number: int, entry: Entry, term: Term
) -> Iterator[Move]:
    if number in bounds.without_store:
        pass
    elif state.store.epoch != term.epoch:
        after = with_entry(state, number, entry._replace(term=None))
        yield f"entry {number} learns that it no longer leads", after
    else:
        held = entry._replace(term=_renewed_term(term, bounds))
        rivals_possible = state.store.rivals_possible and term.rival_ticks > 0
        claims = tuple(
            claim._replace(heartbeat_unchanged=False) for claim in state.claims
        )
        store = state.store._replace(stalled_ticks=0, rivals_possible=rivals_possible)
        after = with_entry(state, number, held)
        yield (
            f"entry {number} renews epoch {term.epoch}",
            after._replace(store=store, claims=claims),
        )
    if state.faults_left.promise_renewals:
        after = _renewed_by_promises(state, bounds, number)
        if after is not None:
            yield f"entry {number} renews epoch {term.epoch} by promises", after


def _renewed_by_promises(state: State, bounds: Bounds, number: int) -> State | None:
    term = state.entries[number].term
    assert term is not None
    after = state
    for other, entry in enumerate(state.entries):
        if other == number:
            continue
        if Rule.REFUSAL_NO_WORD not in bounds.rules:
            continue
        if entry.known_epoch > term.epoch or entry.term is not None:
            return None
        if entry.known_epoch < 0 and Rule.WORD_READS in bounds.rules:
            return None
        after = with_entry(
            after, other, entry._replace(promised_ticks=bounds.leader_validity)
        )
    held = state.entries[number]._replace(term=_renewed_term(term, bounds))
    return use_up(with_entry(after, number, held), promise_renewals=1)


def _renewed_term(term: Term, bounds: Bounds) -> Term:
    # No later leader had claimed when the renewal was sent, so no other leader can
    # have extended the leases of an agent whose timeout had passed by then.
    return without_lost_agents(term._replace(valid_ticks=bounds.leader_validity))


def _job_moves(
    state: State, bounds: Bounds, number: int, entry: Entry, term: Term
) -> Iterator[Move]:
    recovering = any(term.unreported)
    if state.store.job_stored and not term.job_known:
        relists = Rule.JOBS_LISTED_AGAIN in bounds.rules
        no_rivals = term.jobs_relisted if relists else not term.rival_ticks
        informed = term._replace(
            job_known=True, no_rival_start=not recovering or no_rivals
        )
        after = with_entry(state, number, entry._replace(term=informed))
        yield f"entry {number} learns of the job", after
    if recovering and not term.rival_ticks and not term.jobs_relisted:
        listed = term._replace(jobs_relisted=True)
        if state.store.job_stored and not term.job_known:
            listed = listed._replace(job_known=True, no_rival_start=False)
        after = with_entry(state, number, entry._replace(term=listed))
        yield f"entry {number} lists the jobs again", after


def follower_moves(
    state: State, bounds: Bounds, number: int, entry: Entry
) -> Iterator[Move]:
    """Yield the moves that an entry that does not lead may make."""
    for claim in state.claims:
        if claim.entry == number and claim.claimant is Claimant.WAITING:
            return
    store = state.store
    if entry.known_epoch < 0 and state.faults_left.promise_renewals:
        read = entry._replace(known_epoch=store.epoch)
        yield f"entry {number} reads the epoch", with_entry(state, number, read)
    no_more_claims = store.epoch >= bounds.last_epoch or len(state.claims) > 1
    if no_more_claims or number in bounds.without_store:
        return
    for reason in _claim_reasons(state, bounds, number, entry):
        claim = Claim(
            number,
            store.epoch,
            reason,
            bounds.leader_validity,
            rivals_possible=store.rivals_possible,
            stalled_ticks=store.stalled_ticks,
        )
        after = state._replace(claims=(*state.claims, claim))
        if reason is ClaimReason.REFUSED:
            after = use_up(after, refusals=1)
        text = (
            f"entry {number} decides to replace the leader of epoch {store.epoch}:"
            f" {reason.value}"
        )
        if not bounds.prompt_claims:
            yield text, after
            continue
        _, committed = _commit(after, bounds, claim, state.claims)
        leading = _begin_term(
            committed._replace(claims=state.claims),
            bounds,
            claim._replace(committed_epoch=store.epoch + 1),
        )
        yield f"{text}, and leads epoch {store.epoch + 1}", leading


def _claim_reasons(
    state: State, bounds: Bounds, number: int, entry: Entry
) -> Iterator[ClaimReason]:
    store = state.store
    if store.stalled_ticks >= bounds.claim_after and not entry.promised_ticks:
        yield ClaimReason.HEARTBEAT_STALLED
    if store.resigned:
        yield ClaimReason.RESIGNED
    if not store.same_incarnation or store.leader == number:
        yield ClaimReason.RESTARTED
    if store.leader != number and state.faults_left.refusals:
        yield ClaimReason.REFUSED


def claim_moves(state: State, bounds: Bounds, number: int) -> Iterator[Move]:
    """Yield the moves by which a claim may proceed."""
    claim = state.claims[number]
    rest = (*state.claims[:number], *state.claims[number + 1 :])
    if claim.committed_epoch:
        after = state._replace(claims=rest)
        yield (
            f"entry {claim.entry} leads epoch {claim.committed_epoch}",
            _begin_term(after, bounds, claim),
        )
    else:
        yield _commit(state, bounds, claim, rest)
    if claim.claimant is Claimant.WAITING and state.faults_left.lost_claims:
        lost = claim._replace(claimant=Claimant.TIMED_OUT)
        after = state._replace(claims=(*rest, lost) if is_pending(lost) else rest)
        yield (
            f"entry {claim.entry} stops waiting for its claim",
            use_up(after, lost_claims=1),
        )


def _commit(
    state: State, bounds: Bounds, claim: Claim, rest: tuple[Claim, ...]
) -> Move:
    store = state.store
    compares = Rule.CLAIM_BOUND in bounds.rules
    if compares and (
        store.epoch != claim.expected_epoch or not claim.heartbeat_unchanged
    ):
        return f"the claim of entry {claim.entry} fails", state._replace(claims=rest)
    inherited = (
        claim.rivals_possible and claim.reason is not ClaimReason.HEARTBEAT_STALLED
    )
    rivals_possible = claim.reason is ClaimReason.REFUSED or inherited
    epoch = store.epoch + 1
    same_incarnation = claim.claimant is not Claimant.DEAD
    after = store._replace(
        epoch=epoch,
        leader=claim.entry,
        same_incarnation=same_incarnation,
        resigned=False,
        stalled_ticks=0,
        rivals_possible=rivals_possible,
    )
    committed = claim._replace(committed_epoch=epoch)
    claims = (*rest, committed) if is_pending(committed) else rest
    text = (
        f"the claim of entry {claim.entry} to epoch {epoch} is committed in the store"
    )
    return text, state._replace(store=after, claims=claims)


def _begin_term(state: State, bounds: Bounds, claim: Claim) -> State:
    entry = state.entries[claim.entry]
    rival_ticks = 0
    if claim.reason is ClaimReason.REFUSED and Rule.RIVALS_ON_REFUSAL in bounds.rules:
        # The heartbeat that stalled was the rival's last renewal in the store.
        known_ticks = max(0, bounds.claim_after - claim.stalled_ticks)
        rival_ticks = min(bounds.rival_validity, known_ticks)
    inherited = (
        claim.rivals_possible and claim.reason is not ClaimReason.HEARTBEAT_STALLED
    )
    if inherited and Rule.RIVALS_HANDED_ON in bounds.rules:
        rival_ticks = bounds.rival_validity
    if Rule.PROMISE_COUNTS in bounds.rules:
        rival_ticks = max(rival_ticks, entry.promised_ticks)
    agents = len(state.agents)
    term = Term(
        claim.committed_epoch,
        claim.valid_ticks,
        rival_ticks,
        rival_ticks + bounds.agent_timeout,
        (True,) * agents,
        (0,) * agents,
        (False,) * agents,
        state.store.job_stored,
        False,
        False,
    )
    return with_entry(
        state, claim.entry, entry._replace(known_epoch=claim.committed_epoch, term=term)
    )


def without_lost_agents(term: Term) -> Term:
    """Return the term in which agents past their timeout count as lost."""
    may_run = tuple(
        running and (ticks > 0 or unreported)
        for running, ticks, unreported in zip(
            term.may_run, term.timeout_ticks, term.unreported, strict=True
        )
    )
    unreported = term.unreported if term.recovery_ticks else (False,) * len(may_run)
    return term._replace(may_run=may_run, unreported=unreported)
