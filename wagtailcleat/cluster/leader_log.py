"""The leader's log lines on decisions of its scheduler."""

from wagtailcleat.logs import part_logger
from wagtailcleat.scheduling.scheduler import Scheduler
from wagtailcleat.scheduling.vms import Vm
from wagtailcleat.wire.scheduling import Orders

log = part_logger("leader")

LONG_WAIT_SECONDS = 1.0
"""How long starts wait for agents before the log says so; most report at once."""
MAX_AGENTS_NAMED = 20


class WaitLog:
    """Logs for which agents the starts of restored jobs wait, if they wait long."""

    def __init__(self) -> None:
        """Start before the first round of a leader."""
        self._since: float | None = None
        self._is_logged = False

    def __repr__(self) -> str:
        """Show since when starts wait."""
        return f"<WaitLog since {self._since}>"

    def update(self, scheduler: Scheduler, now: float) -> None:
        """Log the wait once it is long, and its end."""
        missing = scheduler.unreported_agents
        if not missing:
            if self._is_logged and self._since is not None:
                seconds = round(now - self._since, 3)
                log.info("Starts wait for no agent", extra={"seconds": seconds})
            self._since, self._is_logged = None, False
            return
        if self._since is None:
            self._since = now
        if self._is_logged or now - self._since < LONG_WAIT_SECONDS:
            return
        self._is_logged = True
        waiting = scheduler.job_table.open_by_id.values()
        fields = {
            "agents": sorted(missing)[:MAX_AGENTS_NAMED],
            "missing": len(missing),
            "jobs": sum(not entry.may_start_tasks for entry in waiting),
        }
        log.warning("Starts wait for agents that have not reported", extra=fields)


def log_decisions(scheduler: Scheduler) -> None:
    """Log the events and decisions since the last call, but for starts."""
    for learnt in scheduler.run_times.take_learnt():
        log.info("Run time learnt", extra=learnt.fields())
    for decision in scheduler.delay_scheduling.take_decisions():
        message = "Waits for its rack" if decision.waits else "Leaves its rack"
        log.info(message, extra=decision.fields())
    for end in scheduler.job_table.take_ends():
        log.info(
            "Job ended",
            extra={"job": end.job, "state": end.state.value, "why": end.why},
        )
    for wait in scheduler.long_waits.take_to_log():
        log.info("Task waits although there is room", extra=wait.fields())
    for logged in scheduler.take_logged_events():
        log.info(
            logged.event.value,
            extra={"run": str(logged.run), "agent": logged.node, "why": logged.why},
        )


def log_orders(vm: Vm, orders: Orders) -> None:
    """Log the starts of orders that are about to be sent, with their reasons."""
    for start in orders.starts:
        hosted = vm.hosted_by_run.get(start.key)
        reason = hosted.reason.fields() if hosted and hosted.reason else {}
        log.info("Starts", extra={"run": str(start.key), "agent": vm.node, **reason})
