"""Ask the advice service which workers may run the steps that wait for advice."""

import asyncio
from collections.abc import Callable

from wagtailcleat.clock import Clock
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.advice import AdviceService
from wagtailcleat.scheduling.scheduler import Scheduler

log = part_logger("leader")

ADVICE_POLL_SECONDS = 0.05
"""Pause before checking again whether a step waits for advice."""
RETRY_PAUSE_SECONDS = 0.2
"""Pause after a question that failed."""


async def ask_advice(
    service: AdviceService,
    scheduler: Scheduler,
    *,
    acting: Callable[[], bool],
    clock: Clock,
    wall_clock: Clock,
    on_granted: Callable[[], None],
) -> None:
    """Ask one question at a time until cancelled.

    Parameters: `acting` returns whether the leader may act; `on_granted` is called
    after each answer.
    """
    while True:
        question = None
        if acting():
            question = scheduler.advice.question(
                scheduler.job_table,
                scheduler.vm_by_node.values(),
                now=clock(),
                wall_now=wall_clock(),
            )
        if question is None:
            await asyncio.sleep(ADVICE_POLL_SECONDS)
            continue
        granted = await service.ask(question)
        if granted is None:
            log.warning("Advice service did not answer", extra={"job": question.job})
            await asyncio.sleep(RETRY_PAUSE_SECONDS)
            continue
        until = clock() + granted.valid_seconds
        scheduler.advice.take(question, granted.ticket_by_worker, until=until)
        scheduler.advice.forget_ended(scheduler.job_table)
        log.info(
            "Advice received",
            extra={
                "job": question.job,
                "step": question.step[1],
                "asked": len(question.workers),
                "granted": len(granted.ticket_by_worker),
            },
        )
        on_granted()
