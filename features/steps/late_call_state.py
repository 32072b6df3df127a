"""The state of the late-call model: workers, agents, a leader and calls in transit.

Every deadline is a count of remaining ticks, as in `takeover_state`. A worker that does
not answer its agent makes no move with it.
"""

from enum import Enum
from typing import NamedTuple


class Rule(Enum):
    """A rule of the protocol; each can be switched off alone.

    A start is in doubt while its agent does not know whether the worker will carry it
    out. It is settled once the run is known never to start, or is listed.
    """

    START_EXPIRES = "a start that is carried out after the end of its lease is refused"
    LIST_EXPIRES = "a list that is carried out late extends no lease beyond its time"
    STOP_CLOSES = "after a stop the worker refuses a start of that run"
    FENCE = "each incarnation of an agent has a higher fencing token"
    FENCE_RAISED = "a start in doubt is settled only by a list with a higher token"
    LISTED_AS_SENT = "a list proves what the token proves with which it was sent"
    FIRST_RENEWS = "a restarted agent counts the longest lease from its first list"
    LEASES_LAPSE = "an agent counts runs as lost only once their leases have lapsed"
    LAPSE_RAISES = "the token rises when the leases have lapsed"
    PORT_CLOSED = "a worker whose port refuses connections runs nothing any more"
    LEAVE_IS_NO_END = "a worker that says that it leaves may go on with its runs"
    DOUBT_OUTLIVES_PORT = "a start in doubt outlives a worker whose port is closed"
    BOOT_NAMED = "a call names the boot that it is meant for, and others refuse it"
    BOOT_LISTED = "a list of another boot settles no start"
    BOOT_CONFIRMED = (
        "an agent sends starts only to the boot that answered its last list"
    )
    SINGLE_COPY = "a start is sent again only after a definite answer to the last copy"
    TIME_LIMIT = "a start whose answer takes longer than its time limit is in doubt"
    RESENT_EXPIRES = "a start that is sent again keeps the end of its lease"
    REVOKED = "a start that was ordered to stop is not sent again"
    ONE_AT_WORKER = "an agent refuses a start while another run may go on at its worker"
    LATER_LIST = "a list that was under way when a start was answered is no proof"
    LISTED_RENEWS = (
        "a list that shows a start in doubt counts as a renewal of its lease"
    )
    DOUBT_UNTIL_FENCED = "after a silence a start is in doubt until a list fences it"
    ACKNOWLEDGE_SETTLED = "no end is acknowledged before other starts are settled"
    ACKNOWLEDGE_HEARD = "no end is acknowledged before agents report or are given up"


class Call(Enum):
    """A call that is on its way to the worker."""

    START = "start"
    LIST = "list"


class LateCall(NamedTuple):
    """A call that the worker may carry out at any time."""

    worker: int
    kind: Call
    run: int
    token: int
    lease_ticks: int
    """Ticks until the lease that it carries ends."""
    is_awaited: bool = False
    """Whether the agent waits for the answer."""


class Worker(NamedTuple):
    """A worker; runs are numbers that rise with each start of the task."""

    token: int = 0
    """The highest fencing token that it has seen."""
    closed_run: int = 0
    """The highest run that was stopped or has ended; none up to it may start."""
    runs: tuple[int, ...] = ()
    stopping: tuple[int, ...] = ()
    lease_ticks: int = 0
    done_run: int = 0
    """The run that has succeeded, until its end is acknowledged; 0: none."""
    done_lapsed: bool = False
    """Whether the lease has lapsed since that end."""
    started_since: bool = False
    """Whether a run of the task has started anywhere since that end."""
    boot: int = 0
    down: bool = False
    """Whether its process has ended, and the next one has not begun."""


class Phase(Enum):
    """What an agent knows of a start that it has not settled."""

    SENT = "no answer yet"
    STARTED = "answered: started"
    IN_DOUBT = "it gets no answer any more"


class Answer(Enum):
    """A worker's answer to a start."""

    STARTED = "started"
    STALE = "the token is too low"
    REFUSED = "refused"


class Start(NamedTuple):
    """A start that an agent has not settled."""

    run: int
    token: int
    """The token with which it was last sent."""
    phase: Phase
    lists_to_wait: int = 0
    """Lists that settle it in the phase STARTED."""
    answer: Answer | None = None
    """The answer that is on its way to the agent."""
    lease_ticks: int = 0
    """Ticks until the lease of its first sending ends."""
    revoked: bool = False
    """Whether it was ordered to stop."""


class Listing(NamedTuple):
    """The answer to a list, on its way to the agent."""

    token: int
    runs: tuple[int, ...]
    done_run: int
    boot: int


class Agent(NamedTuple):
    """What an agent knows of its worker."""

    token: int = 1
    listed: bool = True
    """Whether the worker has answered a list to this incarnation of the agent."""
    listed_token: int = 0
    """The token of the last answered list."""
    lost: bool = False
    """Whether its runs count as lost since the last list."""
    lapsed: bool = False
    """Whether all leases count as lapsed since the last list."""
    runs: tuple[int, ...] = ()
    """The runs in the last list."""
    done_run: int = 0
    """The success in the last list."""
    unread: tuple[Listing, ...] = ()
    """Answers to the lists in progress; the first to be read ends them all."""
    starts: tuple[Start, ...] = ()
    contact_ticks: int = 0
    """Ticks for which its last report allows leases to be extended."""
    lease_ticks: int = 0
    """Ticks until all leases that it has granted have lapsed."""
    boot: int = 0
    """The boot of the worker that it knows."""


class Leader(NamedTuple):
    """What the present leader knows; the tuples are by agent."""

    unheard: tuple[bool, ...]
    """Whether the agent has neither reported to this leader nor been given up."""
    timeout_ticks: tuple[int, ...]
    """Ticks until the agent is given up if it does not report."""
    hosted: tuple[tuple[int, ...], ...]
    """The runs that each agent may have in progress or in doubt."""
    placed: tuple[int, int] | None = None
    """Agent and number of the latest run; None while the task waits."""
    ended_at: tuple[bool, ...] = (False, False)
    """Whether the agent's worker has listed an end that is not acknowledged."""


class Faults(NamedTuple):
    """How many faults of each kind may still happen."""

    late_starts: int = 0
    """Starts that get no answer."""
    slow_starts: int = 0
    """Starts whose answer takes time."""
    late_lists: int = 0
    repeated_starts: int = 0
    """Starts that the HTTP client sends twice, because a connection breaks."""
    raised_tokens: int = 0
    """Starts of other tasks that get no answer."""
    agent_restarts: int = 0
    leader_changes: int = 0
    closed_ports: int = 0
    leaves: int = 0
    """Messages of workers that they leave, after which they run on."""
    worker_restarts: int = 0


class State(NamedTuple):
    """The state of all processes and of the calls in transit."""

    workers: tuple[Worker, ...]
    agents: tuple[Agent, ...]
    leader: Leader
    calls: tuple[LateCall, ...]
    faults_left: Faults
    last_run: int = 0
    """The highest run number ordered."""
    is_success_stored: bool = False
    acknowledged: bool = False
    """Whether an end was acknowledged."""
    acknowledged_unlapsed: bool = False
    """Whether an end was acknowledged before the worker's lease had lapsed."""
    violation: str = ""


class Bounds(NamedTuple):
    """The rules and durations of one exploration."""

    rules: frozenset[Rule]
    run_lease: int = 1
    contact: int = 1
    """Ticks after a report for which leases may be extended."""
    max_runs: int = 2
    gives_up: bool = True
    """Whether a leader gives up an agent that does not report."""
    parallel_lists: int = 0
    """Lists that may be in progress at one time; 0: the answer takes no time."""
    reuses_id: bool = False
    """Whether the next boot of a worker has its id, and a clock that goes on."""
    lease_from_arrival: bool = False
    """Whether the lease of a start that is not refused begins when it arrives."""
    refuses_any: bool = True
    """Whether a worker may refuse any start, as one that is unhealthy does."""
    ends: bool = False
    """Whether runs may succeed."""
    agents: frozenset[int] = frozenset({0, 1})
    """Agents at which the task may start."""


Move = tuple[str, State]
"""A line that describes the move, and the state after it."""


def initial_state(bounds: Bounds, faults: Faults) -> State:
    """Return a state in which both agents have just reported and nothing runs."""
    agent = Agent(contact_ticks=bounds.contact, listed_token=1)
    leader = Leader((False, False), (bounds.contact,) * 2, ((), ()))
    return State((Worker(token=1),) * 2, (agent,) * 2, leader, (), faults)


def replaced(values: tuple, index: int, value: object) -> tuple:
    """Return the tuple with the value at `index` replaced."""
    return (*values[:index], value, *values[index + 1 :])


def with_worker(state: State, number: int, worker: Worker) -> State:
    """Return the state with the worker of this number replaced."""
    return state._replace(workers=replaced(state.workers, number, worker))


def with_agent(state: State, number: int, agent: Agent) -> State:
    """Return the state with the agent of this number replaced."""
    return state._replace(agents=replaced(state.agents, number, agent))


def use_up(state: State, **used: int) -> State:
    """Return the state with these faults used up."""
    left = {
        name: getattr(state.faults_left, name) - count for name, count in used.items()
    }
    return state._replace(faults_left=state.faults_left._replace(**left))
