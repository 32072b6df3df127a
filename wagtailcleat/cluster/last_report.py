"""What an agent that is told to stop does before it ends: it reports once more.

`agent_app` calls it while the agent's parts still run.
"""

import asyncio

import msgspec

from wagtailcleat.cluster.following import Following
from wagtailcleat.cluster.hosting import Hosting
from wagtailcleat.logs import part_logger
from wagtailcleat.scheduling.models import WorkerInfo, WorkerState

log = part_logger("hosting")


async def report_once_more(
    hosting: Hosting, following: Following, *, seconds: float
) -> None:
    """List the worker's runs and report what the leader does not know yet.

    No start reaches the worker any more. Parameters: `seconds` is the time limit, for
    worker and leader may not answer.
    """
    hosting.orders.close()
    hosting.list_at_once()
    try:
        async with asyncio.timeout(seconds):
            await hosting.orders.wait_until_settled()
            await following.wait_until_reported()
    except TimeoutError:
        unsettled = len(hosting.orders.unsettled_by_run)
        log.info("Ends without its last report", extra={"unsettled": unsettled})


def reported_worker(hosting: Hosting) -> WorkerInfo | None:
    """Return the worker's description, as one that drains while its agent ends.

    So the leader gives it no more starts.
    """
    info = hosting.info
    if info is None or not hosting.orders.is_closed:
        return info
    return msgspec.structs.replace(info, state=WorkerState.DRAINING)
