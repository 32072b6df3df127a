"""The union of all messages; each received frame is decoded and validated against it.

A message is encoded as a msgpack array whose first item is its tag. Durations are in
seconds from the time of sending, so that the clocks of two nodes are never compared.
"""

from wagtailcleat.wire.attempts import (
    AttemptReport,
    Evict,
    Grants,
    NoRoom,
    Release,
    RenewGrants,
    Reserve,
    Reserved,
    Start,
)
from wagtailcleat.wire.configuration import (
    ConfigurationDelta,
    ConfigurationPart,
    PullConfiguration,
)
from wagtailcleat.wire.dumps import Dump, DumpState
from wagtailcleat.wire.handshake import Hello, Proof
from wagtailcleat.wire.jobs import (
    Behind,
    CancelJob,
    JobAccount,
    JobAccounts,
    JobSpec,
    ListJobs,
    NotOwner,
    ShowJob,
    SubmitJob,
    TaskSpec,
)
from wagtailcleat.wire.membership import CompareViews, Gossip, Member, Members, Probe
from wagtailcleat.wire.requests import (
    Answer,
    Load,
    Part,
    PartsEnd,
    Running,
    ServiceRequest,
    Settle,
)
from wagtailcleat.wire.results import Done, Refused
from wagtailcleat.wire.scheduling import (
    CancelSteps,
    CountWaiting,
    FollowFirst,
    Follows,
    JobStored,
    KeepFollowing,
    Leads,
    Orders,
    Report,
    ReportTaken,
    ShowState,
    StateShown,
    StoreJob,
    Submitted,
    TakeOver,
    Waiting,
    WhoLeads,
)
from wagtailcleat.wire.takeover import Adopt, Adopted, StepDown

AnyMessage = (
    Hello
    | Proof
    | Done
    | Refused
    | DumpState
    | Dump
    | Load
    | ServiceRequest
    | Answer
    | Part
    | PartsEnd
    | Settle
    | Running
    | Member
    | Gossip
    | CompareViews
    | Members
    | Probe
    | PullConfiguration
    | ConfigurationDelta
    | ConfigurationPart
    | TaskSpec
    | JobSpec
    | SubmitJob
    | Behind
    | ShowJob
    | ListJobs
    | CancelJob
    | StepDown
    | JobAccount
    | JobAccounts
    | NotOwner
    | Reserve
    | Reserved
    | NoRoom
    | Start
    | Release
    | AttemptReport
    | RenewGrants
    | Grants
    | Adopt
    | Adopted
    | Evict
    | WhoLeads
    | Leads
    | FollowFirst
    | Report
    | ReportTaken
    | Orders
    | Submitted
    | ShowState
    | StateShown
    | CancelSteps
    | CountWaiting
    | Waiting
    | KeepFollowing
    | Follows
    | TakeOver
    | StoreJob
    | JobStored
)
