"""Messages from an entry to the owner of a shard, and the replies.

They submit, show, list and cancel jobs.
"""

from wagtailcleat.ids import JobId, Revision, ShardId, TeamName
from wagtailcleat.resources import Resources
from wagtailcleat.wire.base import Message


class TaskSpec(Message, frozen=True, tag="task_spec"):
    """Command of each task of a job, and the resources that one task requests."""

    command: str
    size: Resources
    run_seconds: float


class JobSpec(Message, frozen=True, tag="job_spec"):
    """A job as submitted; `deadline` is wall-clock time in seconds since 1970.

    If it is 0, the owner sets it to `deadline_seconds` after it has accepted the job.
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
    """Request that the owner of the job's shard accept the job.

    `revision` is the sender's configuration revision.
    """

    spec: JobSpec
    revision: Revision = Revision(0)


class Behind(Message, frozen=True, tag="behind"):
    """Reply to `SubmitJob`: the owner's configuration is older than the sender's.

    The sender may retry.
    """


class ShowJob(Message, frozen=True, tag="show_job"):
    """Request for the description of a job."""

    id: JobId
    shard: ShardId


class ListJobs(Message, frozen=True, tag="list_jobs"):
    """Request for the descriptions of a team's jobs in one shard."""

    shard: ShardId
    team: TeamName


class CancelJob(Message, frozen=True, tag="cancel_job"):
    """Request to stop the tasks of a job; idempotent."""

    id: JobId
    shard: ShardId


class JobAccount(Message, frozen=True, tag="job_account"):
    """Description of a job, as JSON text for the caller."""

    text: str


class JobAccounts(Message, frozen=True, tag="job_accounts"):
    """Descriptions of a team's jobs in one shard, each as JSON text."""

    texts: list[str]


class NotOwner(Message, frozen=True, tag="not_owner"):
    """Reply of a node that does not own the shard.

    `owner` is the owner as far as the node knows, or empty.
    """

    owner: str
