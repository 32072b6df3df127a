"""The state of the model of a takeover: who believes what, and what is on its way.

Deadlines are kept as the ticks that are left, so that states which differ only in the
hour are one.
"""

from enum import Enum
from typing import NamedTuple


class Rule(Enum):
    """What the argument rests on; each can be switched off alone."""

    CLAIM_BOUND = "a claim is bound to the revisions of its decision"
    REFUSAL_NO_WORD = "a refused connection is no word"
    IDLE_MOVES_NOTHING = "a leader that may not act moves no lease"
    REPORT_EPOCH = "a report carries the epoch that is followed"
    RIVALS_ON_REFUSAL = "after a refusal the leader before counts as acting"
    FRESH_READS = "a fresh agent reads the epoch"
    FENCE = "each life of an agent has a higher fence"
    RIVALS_HANDED_ON = "rivals are handed on with the office"
    PROMISE_COUNTS = "a promise given counts as a rival"
    JOBS_LISTED_AGAIN = "jobs are listed again when no rival acts"
    UNLISTED_HOLDS = "a report without a list renews the wait"
    GIVE_UP_RENEWED = "an agent is given up by a renewal sent after its time"
    WORD_READS = "a fresh entry reads the epoch before it gives its word"


class Why(Enum):
    """On what a claim was decided."""

    STILL = "its beat stands still"
    LAID = "it laid its office down"
    LATER_LIFE = "a later life of it is here"
    REFUSED = "its port refuses"


class Life(Enum):
    """What became of the process that sent a claim."""

    WAITS = "waits"
    GAVE_UP = "gave up"
    DEAD = "dead"


class Run(Enum):
    """How the task stands at one worker."""

    NONE = "none"
    SENT = "sent"
    STRAY = "sent by an earlier life"
    LIVE = "live"


class Reply(Enum):
    """What came back to a report."""

    NONE = "none"
    TAKEN = "taken"
    FOLLOW = "follow first"


class Store(NamedTuple):
    """The leader's key, the age of its beat, and whether the job is stored."""

    epoch: int = 1
    holder: int = 0
    same_life: bool = True
    laid: bool = False
    still: int = 0
    unsure: bool = False
    job: bool = True


class Claim(NamedTuple):
    """A claim that is on its way to the store, or its answer on its way back."""

    entry: int
    expected: int
    why: Why
    valid: int
    fresh: bool = True
    life: Life = Life.WAITS
    landed: int = 0
    unsure: bool = False


class Office(NamedTuple):
    """What a leader believes; ticks that are left, by agent where it is a tuple."""

    epoch: int
    valid: int
    rivals: int
    wait: int
    unheard: tuple[bool, ...]
    heard: tuple[int, ...]
    hosts: tuple[bool, ...]
    job: bool
    settled: bool
    relisted: bool


class Entry(NamedTuple):
    """One entry's process."""

    knows: int = 1
    promised: int = 0
    office: Office | None = None


class Mail(NamedTuple):
    """A report on its way, or the answer to it; `contact` runs from its sending."""

    to: int
    epoch: int
    shows: bool
    listed: bool
    contact: int
    mine: bool = True
    reply: Reply = Reply.NONE
    answered: int = 0
    valid: int = 0


class Agent(NamedTuple):
    """An agent with its worker."""

    epoch: int
    valid: int
    contact: int
    floor: int = 0
    young: int = 0
    listed: bool = True
    run: Run = Run.NONE
    lease: int = 0
    mail: Mail | None = None
    orders: tuple[tuple[int, bool], ...] = ()
    """Orders on their way: their epoch, and whether an answer was sent after them."""


class Faults(NamedTuple):
    """How many of each may still happen."""

    kills: int = 0
    crashes: int = 0
    refusals: int = 0
    words: int = 0
    laid: int = 0
    lost_claims: int = 0
    late_starts: int = 0


class State(NamedTuple):
    """Everything at one moment."""

    store: Store
    entries: tuple[Entry, ...]
    agents: tuple[Agent, ...]
    claims: tuple[Claim, ...]
    left: Faults


class Bounds(NamedTuple):
    """Ticks and rules of one exploration."""

    rules: frozenset[Rule]
    valid: int = 2
    claim_after: int = 3
    rivals: int = 2
    lease: int = 2
    horizon: int = 2
    drift: int = 1
    give_up: int = 3
    epochs: int = 3
    prompt: frozenset[int] = frozenset({1})
    """Agents whose messages take no time."""
    prompt_reports: bool = False
    """Whether reports and their answers take no time."""
    prompt_claims: bool = False
    """Whether claims are made and answered at once."""
    away: frozenset[int] = frozenset()
    """Entries that don't reach the store."""
    apart: frozenset[tuple[int, int]] = frozenset()
    """Agents and entries that don't reach each other."""


Move = tuple[str, State]


def first_state(
    bounds: Bounds, faults: Faults, *, entries: int = 2, job: bool = True
) -> State:
    """Entry 0 leads, has heard of both agents, and has started nothing."""
    office = Office(
        1,
        bounds.valid,
        0,
        0,
        (False, False),
        (bounds.give_up,) * 2,
        (False, False),
        job,
        True,
        True,
    )
    agent = Agent(1, bounds.valid, bounds.horizon)
    others = tuple(Entry() for _ in range(entries - 1))
    return State(
        Store(job=job), (Entry(office=office), *others), (agent, agent), (), faults
    )


def live_runs(state: State) -> int:
    """Count the runs of the task that go on."""
    return sum(agent.run is Run.LIVE for agent in state.agents)


def with_entry(state: State, number: int, entry: Entry) -> State:
    """Return the state with another entry at this number."""
    entries = state.entries
    return state._replace(entries=(*entries[:number], entry, *entries[number + 1 :]))


def with_agent(state: State, number: int, agent: Agent) -> State:
    """Return the state with another agent at this number."""
    agents = state.agents
    return state._replace(agents=(*agents[:number], agent, *agents[number + 1 :]))


def put(flags: tuple, number: int, value: object) -> tuple:
    """Return the tuple with another value at this place."""
    return (*flags[:number], value, *flags[number + 1 :])


def spend(state: State, **spent: int) -> State:
    """Return the state with these faults used up."""
    left = {name: getattr(state.left, name) - count for name, count in spent.items()}
    return state._replace(left=state.left._replace(**left))


def less(ticks: int) -> int:
    """Return the ticks that are left a tick later."""
    return ticks - 1 if ticks else 0


def renewed(agent: Agent, bounds: Bounds) -> Agent:
    """Return the agent with its run's lease as long as it may be."""
    if agent.run is Run.NONE or not agent.listed or not agent.contact:
        return agent
    longest = min(bounds.lease, agent.contact) + bounds.drift
    return agent._replace(lease=max(agent.lease, longest))
