"""The leader's log lines on decisions of its scheduler."""

from wagtailcleat.logs import part_logger
from wagtailcleat.scheduling.scheduler import Scheduler
from wagtailcleat.scheduling.vms import Vm
from wagtailcleat.wire.scheduling import Orders

log = part_logger("leader")


def log_decisions(scheduler: Scheduler) -> None:
    """Log the events and decisions since the last call, but for starts."""
    for learnt in scheduler.run_times.take_learnt():
        log.info("Run time learnt", extra=learnt.fields())
    for decision in scheduler.delay_scheduling.take_decisions():
        message = "Waits for its rack" if decision.waits else "Leaves its rack"
        log.info(message, extra=decision.fields())
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
