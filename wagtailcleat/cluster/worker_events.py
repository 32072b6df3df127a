"""Log lines about the incarnations and the silences of an agent's worker."""

from collections import Counter

from wagtailcleat.cluster.timing import WORKER_SILENT_SECONDS
from wagtailcleat.cluster.worker_incarnation import WorkerIncarnation
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.runs import RunList
from wagtailcleat.scheduling.models import WorkerInfo

log = part_logger("hosting")


def log_begin(worker: WorkerInfo, fence: int) -> None:
    """Log a new incarnation, with what decides which runs it may have."""
    log.info(
        "Worker began",
        extra={
            "worker": worker.id,
            "born": worker.born,
            "fence": fence,
            "service": worker.service,
            "labels": list(worker.labels),
            "cores": worker.capacity.cores,
            "memory_mb": worker.capacity.memory_mb,
        },
    )


def log_worker(worker: WorkerInfo) -> None:
    """Log a worker's state, when it is new or has changed."""
    log.info("Worker", extra={"worker": worker.id, "state": worker.state.value})


def log_leave(incarnation: WorkerIncarnation, *, unsettled: int, now: float) -> None:
    """Log that a worker leaves, with what it runs until its end is known."""
    log.info(
        "Worker leaves",
        extra={
            "worker": incarnation.instance,
            "running": len(incarnation.running),
            "unsettled": unsettled,
            "lease_left": round(incarnation.lease_until - now, 3),
        },
    )


def log_loss(
    incarnation: WorkerIncarnation, why: str, *, unsettled: int, now: float
) -> None:
    """Log that a worker's runs are lost; `unsettled` is the number of open starts."""
    log.warning(
        "Runs are lost",
        extra={
            "worker": incarnation.instance,
            "why": why,
            "silent": round(now - incarnation.listed_at, 3),
            "lease_left": round(incarnation.lease_until - now, 3),
            "unsettled": unsettled,
        },
    )


def log_return(
    incarnation: WorkerIncarnation, answer: RunList, *, unsettled: int, now: float
) -> None:
    """Log the first list after a silence, which shows what became of the leases."""
    silent = now - incarnation.listed_at
    if not incarnation.lists_answered or silent <= WORKER_SILENT_SECONDS:
        return
    log.info(
        "Worker answers again",
        extra={
            "worker": incarnation.instance,
            "silent": round(silent, 3),
            "lost": incarnation.runs_lost,
            "lease_left": round(incarnation.lease_until - now, 3),
            "running": len(answer.running),
            "ended": dict(Counter(ended.how.value for ended in answer.ended)),
            "unsettled": unsettled,
        },
    )
