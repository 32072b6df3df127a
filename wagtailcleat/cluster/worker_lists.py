"""List the runs of a worker that may leave calls unanswered.

`hosting` asks for one list after the other, and renews the leases with each.
"""

import asyncio
from collections.abc import Callable

from wagtailcleat.cluster.worker_incarnation import WorkerIncarnation
from wagtailcleat.platform.http_client import NoAnswer
from wagtailcleat.platform.runs import OtherIncarnation, RunList, StaleFence

HEDGE_SECONDS = 0.1
"""How long after a list was due another call is made beside those in progress."""
MAX_PARALLEL_LISTS = 6

Answer = RunList | StaleFence | OtherIncarnation | NoAnswer

_calls: set[asyncio.Task[tuple[int, Answer]]] = set()
"""Calls in progress; asyncio keeps only weak references to its tasks."""


async def first_list(
    incarnation: WorkerIncarnation,
    *,
    until: float | None,
    wait_seconds: float,
    is_current: Callable[[], bool],
) -> tuple[int, Answer]:
    """Return the first answer to several calls, and the fencing token of its call.

    A further call is made while none is answered: some may be lost while others are
    not. Answers that come after the first are dropped, so that no list replaces a later
    one.

    Parameters: `until` is the new end of the leases on this VM's clock, None renews
    none; the worker waits up to `wait_seconds` for a run to end before it answers;
    `is_current` returns whether the worker has not been replaced by its next
    incarnation.
    """
    loop = asyncio.get_running_loop()
    in_progress: set[asyncio.Task[tuple[int, Answer]]] = set()
    for _ in range(MAX_PARALLEL_LISTS):
        if not is_current():
            break
        call = asyncio.create_task(_list(incarnation, until, wait_seconds))
        _calls.add(call)
        call.add_done_callback(_calls.discard)
        in_progress.add(call)
        next_call_at = loop.time() + wait_seconds + HEDGE_SECONDS
        while in_progress and (left := next_call_at - loop.time()) > 0:
            done, in_progress = await asyncio.wait(
                in_progress, timeout=left, return_when=asyncio.FIRST_COMPLETED
            )
            for ended in done:
                fence, answer = ended.result()
                if answer is not NoAnswer.LOST:
                    return fence, answer
        await asyncio.sleep(next_call_at - loop.time())
        wait_seconds = 0.0
    return incarnation.worker.fence, NoAnswer.LOST


async def _list(
    incarnation: WorkerIncarnation, until: float | None, wait_seconds: float
) -> tuple[int, Answer]:
    fence = incarnation.worker.fence
    answer = await incarnation.worker.list(
        acknowledged=0 if incarnation.is_doubtful else incarnation.acknowledged,
        until=None if until is None else until + incarnation.clock_ahead,
        wait_seconds=wait_seconds,
    )
    return fence, answer
