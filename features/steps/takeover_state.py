"""The state of the takeover model: what each process knows, and messages in transit.

Every deadline is a count of remaining ticks, so that states that differ only in the
absolute time are equal. `takeover_agents` and `takeover_entries` define the moves.
"""

from enum import Enum
from typing import NamedTuple


class Rule(Enum):
    """A rule of the protocol that safety depends on; each can be switched off alone.

    A promise (also "word") is an entry's answer that it won't claim for some time. A
    rival is a leader of an earlier epoch that may still act.
    """

    CLAIM_BOUND = "a claim compares the revisions on which it was decided"
    REFUSAL_NO_WORD = "a refused connection does not count as a promise"
    IDLE_MOVES_NOTHING = "a leader that may not act extends no lease"
    REPORT_EPOCH = "a report carries the epoch that its agent follows"
    RIVALS_ON_REFUSAL = "after a claim on a refusal, the previous leader is a rival"
    FRESH_READS = "a restarted agent reads the epoch before it follows a leader"
    FENCE = "each incarnation of an agent has a higher fencing token"
    RIVALS_HANDED_ON = "a leader inherits the possible rivals of its predecessor"
    PROMISE_COUNTS = "the leader to which an entry gave a promise is a rival"
    JOBS_LISTED_AGAIN = "a leader lists the jobs again once no rival may act"
    UNLISTED_HOLDS = "a report without a list of runs extends the recovery wait"
    GIVE_UP_RENEWED = "only a renewal sent after an agent's timeout gives it up"
    WORD_READS = "a restarted entry reads the epoch before it gives a promise"


class ClaimReason(Enum):
    """Why an entry claims."""

    HEARTBEAT_STALLED = "its heartbeat has stalled"
    RESIGNED = "it has resigned"
    RESTARTED = "its process has restarted"
    REFUSED = "its port refuses connections"


class Claimant(Enum):
    """The state of the process that sent a claim."""

    WAITING = "waits"
    TIMED_OUT = "timed out"
    DEAD = "dead"


class RunState(Enum):
    """The state of the task at one worker."""

    NONE = "none"
    STARTING = "sent"
    """The agent has sent the start, and the worker has not carried it out."""
    ORPHANED = "starting for an earlier incarnation of the agent"
    RUNNING = "live"


class Reply(Enum):
    """A leader's answer to a report."""

    NONE = "none"
    ACCEPTED = "taken"
    FOLLOW = "follow this epoch first"


class Store(NamedTuple):
    """The leader's keys in the store, and the job."""

    epoch: int = 1
    leader: int = 0
    same_incarnation: bool = True
    """Whether the process that claimed the epoch still runs."""
    resigned: bool = False
    stalled_ticks: int = 0
    """Ticks since the leader's heartbeat last changed."""
    rivals_possible: bool = False
    """Whether leaders of earlier epochs may still act."""
    job_stored: bool = True


class Claim(NamedTuple):
    """A claim on its way to the store, or its answer on its way back."""

    entry: int
    expected_epoch: int
    reason: ClaimReason
    valid_ticks: int
    heartbeat_unchanged: bool = True
    """Whether the heartbeat is at the revision on which the claim was decided."""
    claimant: Claimant = Claimant.WAITING
    committed_epoch: int = 0
    """The epoch written to the store; 0 before that."""
    rivals_possible: bool = False
    stalled_ticks: int = 0
    """For how long the heartbeat had stalled when the claim was decided."""


class Term(NamedTuple):
    """A leader's term and what it knows; the tuples are by agent."""

    epoch: int
    valid_ticks: int
    """Ticks for which the leader may act."""
    rival_ticks: int
    """Ticks for which a leader of an earlier epoch may act."""
    recovery_ticks: int
    """Ticks until agents that have not reported in this term count as lost."""
    unreported: tuple[bool, ...]
    """Whether the agent has yet to report in this term."""
    timeout_ticks: tuple[int, ...]
    """Ticks until the agent counts as lost if it stays silent."""
    may_run: tuple[bool, ...]
    """Whether the agent may run the task."""
    job_known: bool
    no_rival_start: bool
    """Whether no earlier leader can have started the job."""
    jobs_relisted: bool


class Entry(NamedTuple):
    """The process of one entry."""

    known_epoch: int = 1
    """The latest epoch it knows; -1 after a restart."""
    promised_ticks: int = 0
    """Ticks for which it has promised not to claim."""
    term: Term | None = None


class SentReport(NamedTuple):
    """A report in transit, or the answer to it."""

    entry: int
    epoch: int
    has_run: bool
    listed: bool
    contact_ticks: int
    """Ticks, counted from its sending, for which it allows leases to be extended."""
    is_current: bool = True
    """Whether the agent's present incarnation sent it."""
    reply: Reply = Reply.NONE
    answer_epoch: int = 0
    valid_ticks: int = 0


class Agent(NamedTuple):
    """An agent with its worker."""

    epoch: int
    valid_ticks: int
    """Ticks for which it may carry out orders."""
    contact_ticks: int
    """Ticks for which the last accepted report allows leases to be extended."""
    read_epoch: int = 0
    """The epoch that it read from the store; -1 while it has read none."""
    startup_ticks: int = 0
    """Ticks after a restart for which it follows no epoch below `read_epoch`."""
    listed: bool = True
    """Whether it has read from its worker what runs."""
    run: RunState = RunState.NONE
    lease_ticks: int = 0
    report: SentReport | None = None
    orders: tuple[tuple[int, bool], ...] = ()
    """Orders in transit: the epoch, and whether an answer was sent after them."""


class Faults(NamedTuple):
    """How many faults of each kind may still happen."""

    entry_restarts: int = 0
    agent_restarts: int = 0
    refusals: int = 0
    promise_renewals: int = 0
    """Renewals of a leader by the promises of the other entries."""
    resignations: int = 0
    lost_claims: int = 0
    late_starts: int = 0


class State(NamedTuple):
    """The state of all processes and of the network."""

    store: Store
    entries: tuple[Entry, ...]
    agents: tuple[Agent, ...]
    claims: tuple[Claim, ...]
    faults_left: Faults


class Bounds(NamedTuple):
    """The rules, durations in ticks, and network of one exploration."""

    rules: frozenset[Rule]
    leader_validity: int = 2
    """Ticks for which a leader may act after a renewal."""
    claim_after: int = 3
    """Ticks without a heartbeat after which an entry claims."""
    rival_validity: int = 2
    """Ticks for which a rival is assumed to act."""
    run_lease: int = 2
    run_horizon: int = 2
    """Ticks after a report for which leases may be extended."""
    clock_drift: int = 1
    """Ticks that a worker's slow clock adds to a lease."""
    agent_timeout: int = 3
    last_epoch: int = 3
    prompt_agents: frozenset[int] = frozenset({1})
    """Agents whose messages take no time."""
    prompt_reports: bool = False
    """Whether reports and their answers take no time."""
    prompt_claims: bool = False
    """Whether claims and their answers take no time."""
    without_store: frozenset[int] = frozenset()
    """Entries that can't reach the store."""
    cut_links: frozenset[tuple[int, int]] = frozenset()
    """Pairs of an agent and an entry that can't reach each other."""


Move = tuple[str, State]
"""A line that describes the move, and the state after it."""


def initial_state(
    bounds: Bounds, faults: Faults, *, entries: int = 2, job_stored: bool = True
) -> State:
    """Return a state where entry 0 leads, both agents have reported, none runs."""
    term = Term(
        1,
        bounds.leader_validity,
        0,
        0,
        (False, False),
        (bounds.agent_timeout,) * 2,
        (False, False),
        job_stored,
        True,
        True,
    )
    agent = Agent(1, bounds.leader_validity, bounds.run_horizon)
    others = tuple(Entry() for _ in range(entries - 1))
    return State(
        Store(job_stored=job_stored),
        (Entry(term=term), *others),
        (agent, agent),
        (),
        faults,
    )


def count_running(state: State) -> int:
    """Return how many runs of the task go on."""
    return sum(agent.run is RunState.RUNNING for agent in state.agents)


def with_entry(state: State, number: int, entry: Entry) -> State:
    """Return the state with the entry of this number replaced."""
    entries = state.entries
    return state._replace(entries=(*entries[:number], entry, *entries[number + 1 :]))


def with_agent(state: State, number: int, agent: Agent) -> State:
    """Return the state with the agent of this number replaced."""
    agents = state.agents
    return state._replace(agents=(*agents[:number], agent, *agents[number + 1 :]))


def replaced(values: tuple, index: int, value: object) -> tuple:
    """Return the tuple with the value at `index` replaced."""
    return (*values[:index], value, *values[index + 1 :])


def use_up(state: State, **used: int) -> State:
    """Return the state with these faults used up."""
    left = {
        name: getattr(state.faults_left, name) - count for name, count in used.items()
    }
    return state._replace(faults_left=state.faults_left._replace(**left))


def decremented(ticks: int) -> int:
    """Return the remaining ticks after one more tick, at least 0."""
    return ticks - 1 if ticks else 0


def with_renewed_lease(agent: Agent, bounds: Bounds) -> Agent:
    """Return the agent with its run's lease extended as far as is allowed."""
    if agent.run is RunState.NONE or not agent.listed or not agent.contact_ticks:
        return agent
    longest = min(bounds.run_lease, agent.contact_ticks) + bounds.clock_drift
    return agent._replace(lease_ticks=max(agent.lease_ticks, longest))
