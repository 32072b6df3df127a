"""Messages between entries, the leader and agents for jobs of several steps.

They serve leader election, agents' reports and orders, and submissions. Durations are
in seconds from the time of sending.
"""

from wagtailcleat.ids import Epoch, Incarnation, JobId, NodeId, ZoneName
from wagtailcleat.scheduling.models import (
    Ended,
    Pace,
    Refusal,
    RunKey,
    Running,
    Start,
    WorkerInfo,
)
from wagtailcleat.wire.base import Message


class WhoLeads(Message, frozen=True, tag="who_leads"):
    """Query to an entry for the leader that it knows of.

    An entry that asks states its own address, since the leader may later need its
    promise not to claim leadership (`KeepFollowing`).
    """

    host: str = ""
    port: int = 0
    incarnation: int = 0
    weight: float = 1.0
    """Number of cores that the entry may use."""


class Leads(Message, frozen=True, tag="leads"):
    """Reply to `WhoLeads`: the leader; a new leader also sends it unasked.

    Epoch 0 means that no leader is known.
    """

    epoch: Epoch
    node: NodeId
    incarnation: Incarnation
    host: str
    port: int


class Report(Message, frozen=True, tag="report"):
    """State of an agent's worker; each report replaces the earlier ones."""

    node: NodeId
    incarnation: Incarnation
    zone: ZoneName
    host: str
    port: int
    worker: WorkerInfo | None
    """None until the worker has identified itself, and after it has left."""
    left: bool
    """Whether the worker has left and ended, so that nothing of it runs any more."""
    listed: bool
    """Whether the worker has listed `running` and `ended` in this incarnation."""
    running: list[Running]
    ended: list[Ended]
    unsettled: list[RunKey]
    """Runs in doubt: their starts were accepted and may still be carried out.

    Also the runs whose ends had no room in `ended`.
    """
    refused: list[tuple[RunKey, Refusal]]
    """Starts that will never be carried out; repeated until the leader has replied."""
    silent_seconds: float
    """For how long the worker has not answered."""
    lease_seconds: float
    """Upper bound of the time for which its runs may go on without a renewal."""
    orders_taken: int
    """`Orders.number` of the last orders that the agent accepted."""
    epoch: Epoch = Epoch(0)
    """The epoch that the agent follows; it rejects orders of older epochs."""
    number: int = 0
    """Sequence number, which rises with each report of one incarnation of the agent."""
    has_all_ends: bool = True
    """Whether `ended` is complete; if not, an ended run may be listed nowhere."""
    listed_in_epoch: bool = False
    """Whether all runs in the list were in progress after the agent began to follow
    `epoch`: the list is recent, and its worker has not stood still before it."""
    up_seconds: float = 0.0
    """For how long this incarnation of the agent has run, at least."""


class FollowFirst(Message, frozen=True, tag="follow_first"):
    """Reply to a report for another epoch, which the leader did not accept.

    The agent must follow `epoch` and then report again.
    """

    epoch: Epoch


class ReportTaken(Message, frozen=True, tag="report_taken"):
    """Reply to a report that the leader accepted.

    The agent may carry out orders of `epoch` for `valid_seconds` after it sent the
    report.
    """

    epoch: Epoch
    valid_seconds: float


class Orders(Message, frozen=True, tag="orders"):
    """Orders from the leader to an agent.

    Ends of runs up to the number `acknowledged` in the worker's incarnation `born` are
    durable, so that the worker may forget them.
    """

    epoch: Epoch
    number: int
    """Sequence number, which rises with each message of one leader to one agent."""
    born: int
    starts: list[Start]
    stops: list[RunKey]
    paces: list[Pace]
    acknowledged: int


class Submitted(Message, frozen=True, tag="submitted"):
    """Notification to the leader of a job just stored; `job` is its stored form."""

    id: JobId
    job: bytes


class StoreJob(Message, frozen=True, tag="store_job"):
    """Request that an entry that reaches the store store a job; sent once per id."""

    id: JobId
    job: bytes


class JobStored(Message, frozen=True, tag="job_stored"):
    """Reply to `StoreJob`; `outcome` is a value of `Acceptance`."""

    outcome: str


class ShowState(Message, frozen=True, tag="show_state"):
    """Request to the leader for the state of a job."""

    id: JobId


class StateShown(Message, frozen=True, tag="state_shown"):
    """Reply with the state of a job; empty if the leader does not know the job."""

    state: str


class CancelSteps(Message, frozen=True, tag="cancel_steps"):
    """Request that the leader cancel a job permanently."""

    id: JobId


class CountWaiting(Message, frozen=True, tag="count_waiting"):
    """Request for the number of a queue's jobs of which no task has started."""

    queue: str


class Waiting(Message, frozen=True, tag="waiting"):
    """Reply to `CountWaiting`: the number of jobs of which no task has started."""

    count: int


class KeepFollowing(Message, frozen=True, tag="keep_following"):
    """Request from the leader for an entry's promise not to claim leadership.

    A leader of `epoch` that can't reach the store needs this vote of each entry, for a
    limited time, to go on leading.
    """

    epoch: Epoch


class Follows(Message, frozen=True, tag="follows"):
    """Reply to `KeepFollowing`: a promise not to claim leadership for `seconds`.

    They count from when the entry received the request; 0 means that it refuses.
    """

    epoch: Epoch
    """The highest epoch that the entry knows of."""
    seconds: float
    store_age: float
    """Seconds since the store last answered the entry."""


class TakeOver(Message, frozen=True, tag="take_over"):
    """Leadership transfer: the leader of `epoch` resigns so the receiver can claim."""

    epoch: Epoch
