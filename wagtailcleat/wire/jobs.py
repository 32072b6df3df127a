"""Messages to the owner of a shard: submit, show, list and cancel jobs."""

from wagtailcleat.ids import JobId, Revision, ShardId, TeamName
from wagtailcleat.resources import Resources
from wagtailcleat.wire.base import Message


class TaskSpec(Message, frozen=True, tag="task_spec"):
    """The command of each task of a job and the resources it requests."""

    command: str
    size: Resources
    run_seconds: float


class JobSpec(Message, frozen=True, tag="job_spec"):
    """A job as submitted; `deadline` is wall-clock seconds since 1970.

    If it is 0, the owner sets it to `deadline_seconds` after accepting the job.
    """

    id: JobId
    team: TeamName
    shard: ShardId
    tasks: int
    task: TaskSpec
    deadline: float
    urgent: bool = False
    job_class: str = ""
    deadline_seconds: float = 0.0


class SubmitJob(Message, frozen=True, tag="submit_job"):
    """Asks the owner of the job's shard to accept it.

    `revision` is the sender's configuration revision.
    """

    spec: JobSpec
    revision: Revision = Revision(0)


class Behind(Message, frozen=True, tag="behind"):
    """The receiver has an older configuration than the sender, which may retry."""


class ShowJob(Message, frozen=True, tag="show_job"):
    """Asks for a job's account."""

    id: JobId
    shard: ShardId


class ListJobs(Message, frozen=True, tag="list_jobs"):
    """Asks for the accounts of a team's jobs in one shard."""

    shard: ShardId
    team: TeamName


class CancelJob(Message, frozen=True, tag="cancel_job"):
    """Asks to stop a job's tasks; idempotent."""

    id: JobId
    shard: ShardId


class JobAccount(Message, frozen=True, tag="job_account"):
    """An account of a job, as JSON text for the caller."""

    text: str


class JobAccounts(Message, frozen=True, tag="job_accounts"):
    """The accounts of a shard's jobs."""

    texts: list[str]


class NotOwner(Message, frozen=True, tag="not_owner"):
    """The receiver does not own the shard; `owner` is a hint, or empty."""

    owner: str
