"""Ask the advice service which workers may run the steps that wait for advice."""

import asyncio
from collections.abc import Callable

from wagtailcleat.clock import Clock
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.advice import AdviceService
from wagtailcleat.scheduling.advice import MAX_WORKERS_PER_QUESTION
from wagtailcleat.scheduling.scheduler import Scheduler

log = part_logger("leader")

ADVICE_POLL_SECONDS = 0.05
"""Pause before checking again whether a step waits for advice."""
RETRY_PAUSE_SECONDS = 0.2
"""Pause after a question that failed."""
FIRST_TIMEOUT_SECONDS = 4.0
"""Time limit of a question; it is doubled after each one without an answer."""
MAX_TIMEOUT_SECONDS = 64.0
ANSWERS_UNTIL_LONGER = 8
"""Answers in a row after which a question may name more workers again."""


class QuestionLimits:
    """How many workers a question names, and how long its answer may take.

    The service takes longer the more workers a question names, and does not tell how
    long. After a question without an answer the next one names half as many, and may
    take twice as long.
    """

    def __init__(self) -> None:
        """Start with the most workers and the shortest time."""
        self._halvings = 0
        self._answers = 0

    def __repr__(self) -> str:
        """Show both limits."""
        return f"<QuestionLimits: {self.workers} workers, {self.seconds} s>"

    @property
    def workers(self) -> int:
        """Most workers of the next question."""
        return max(1, MAX_WORKERS_PER_QUESTION >> self._halvings)

    @property
    def seconds(self) -> float:
        """Time limit of the next question."""
        return min(MAX_TIMEOUT_SECONDS, FIRST_TIMEOUT_SECONDS * 2.0**self._halvings)

    def record(self, *, answered: bool) -> None:
        """Record whether a question was answered."""
        self._answers = self._answers + 1 if answered else 0
        if not answered and self.seconds < MAX_TIMEOUT_SECONDS:
            self._halvings += 1
        elif self._answers >= ANSWERS_UNTIL_LONGER:
            self._answers = 0
            self._halvings = max(0, self._halvings - 1)


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
    limits = QuestionLimits()
    while True:
        question = None
        if acting():
            question = scheduler.advice.question(
                scheduler.job_table,
                scheduler.vm_by_node.values(),
                now=clock(),
                wall_now=wall_clock(),
                max_workers=limits.workers,
            )
        if question is None:
            await asyncio.sleep(ADVICE_POLL_SECONDS)
            continue
        granted = await service.ask(question, timeout=limits.seconds)
        limits.record(answered=granted is not None)
        if granted is None:
            log.warning(
                "Advice service did not answer",
                extra={
                    "job": question.job,
                    "asked": len(question.workers),
                    "next_seconds": limits.seconds,
                },
            )
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
