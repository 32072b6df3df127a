"""Messages between entries, the leader and agents on jobs of several steps.

Durations are in seconds and count from the moment of sending.
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
    """Asks an entry which entry leads, as far as it knows.

    An entry that asks says where it is itself; the leader may need its word later.
    """

    host: str = ""
    port: int = 0
    incarnation: int = 0
    weight: float = 1.0
    """Cores that the entry may use."""


class Leads(Message, frozen=True, tag="leads"):
    """Names the leader; also sent unasked by a new leader.

    Epoch 0 means that none is known.
    """

    epoch: Epoch
    node: NodeId
    incarnation: Incarnation
    host: str
    port: int


class Report(Message, frozen=True, tag="report"):
    """All that an agent knows of its worker; the latest one replaces those before."""

    node: NodeId
    incarnation: Incarnation
    zone: ZoneName
    host: str
    port: int
    worker: WorkerInfo | None
    """None until the worker has said who it is, and after it has left."""
    left: bool
    """Whether the worker has left for good: nothing runs there."""
    listed: bool
    """Whether `running` and `ended` are the worker's own list, in this life."""
    running: list[Running]
    ended: list[Ended]
    unsettled: list[RunKey]
    """Starts that were taken on and may yet be carried out."""
    refused: list[tuple[RunKey, Refusal]]
    """Starts that surely never run; repeated until the leader has answered."""
    silent_seconds: float
    """For how long the worker has not answered."""
    lease_seconds: float
    """For how long what runs there may go on, at most, without a renewal."""
    orders_taken: int
    """Number of the last orders of the leader that were taken in."""
    epoch: Epoch = Epoch(0)
    """The epoch that the agent follows: orders of older ones are not taken any more."""
    number: int = 0
    """Rises with each report of one life of the agent."""
    ends_whole: bool = True
    """Whether `ended` has every end; if not, a run may be listed nowhere."""


class FollowFirst(Message, frozen=True, tag="follow_first"):
    """Answers a report made for another epoch: it was not taken in.

    The agent is to follow `epoch`, and then to report again.
    """

    epoch: Epoch


class ReportTaken(Message, frozen=True, tag="report_taken"):
    """Answers a report.

    For `valid_seconds` after it was sent, the agent may carry out orders of `epoch`.
    """

    epoch: Epoch
    valid_seconds: float


class Orders(Message, frozen=True, tag="orders"):
    """What an agent is to do.

    `acknowledged` numbers the last durable end of the worker's life `born`.
    """

    epoch: Epoch
    number: int
    """Rises with each message of one leader to one agent."""
    born: int
    starts: list[Start]
    stops: list[RunKey]
    paces: list[Pace]
    acknowledged: int


class Submitted(Message, frozen=True, tag="submitted"):
    """Tells the leader of a job that was just stored; `job` is its stored form."""

    id: JobId
    job: bytes


class StoreJob(Message, frozen=True, tag="store_job"):
    """Asks an entry that reaches the store to store a job; made once per id."""

    id: JobId
    job: bytes


class JobStored(Message, frozen=True, tag="job_stored"):
    """What became of `StoreJob`; `outcome` is a value of `Acceptance`."""

    outcome: str


class ShowState(Message, frozen=True, tag="show_state"):
    """Asks the leader how a job stands."""

    id: JobId


class StateShown(Message, frozen=True, tag="state_shown"):
    """How a job stands; empty where the leader does not know it."""

    state: str


class CancelSteps(Message, frozen=True, tag="cancel_steps"):
    """Asks the leader to cancel a job for good."""

    id: JobId


class CountWaiting(Message, frozen=True, tag="count_waiting"):
    """Asks how many jobs of a queue have not begun."""

    queue: str


class Waiting(Message, frozen=True, tag="waiting"):
    """The number of a queue's jobs that have not begun."""

    count: int


class KeepFollowing(Message, frozen=True, tag="keep_following"):
    """The leader asks an entry for its word not to claim for a while."""

    epoch: Epoch


class Follows(Message, frozen=True, tag="follows"):
    """An entry's word not to claim for `seconds` from receiving the question."""

    epoch: Epoch
    """The highest epoch that the entry knows."""
    seconds: float
    store_age: float
    """Seconds since the store last answered this entry."""


class TakeOver(Message, frozen=True, tag="take_over"):
    """The leader lays down `epoch` in favour of the receiver."""

    epoch: Epoch
