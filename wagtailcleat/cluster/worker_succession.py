"""The workers of an agent's VM, one after the other.

The next worker begins when the present one has ended: its process is gone, or all its
leases have lapsed. No message shows that. A worker whose `leave` was not acknowledged
continues for seconds; a heartbeat may be late, or of a worker of another VM.
"""

from collections.abc import Callable
from enum import Enum

import msgspec

from wagtailcleat.cluster.settings import split_address
from wagtailcleat.cluster.worker_events import log_worker
from wagtailcleat.cluster.worker_incarnation import WorkerIncarnation, has_ended
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.heartbeats import Heartbeat
from wagtailcleat.scheduling.models import WorkerInfo, WorkerState

log = part_logger("hosting")

NEXT_VALID_SECONDS = 3.0
"""How long after its last heartbeat a worker may succeed the present one.

Workers send heartbeats about once a second. One that has fallen silent meanwhile may be
a worker of another VM, and would keep the next one of this VM waiting.
"""


class Sender(Enum):
    """Which worker sent a heartbeat, as seen from the present one."""

    PRESENT = "present"
    EARLIER = "earlier"
    NEXT = "next"


class WorkerSuccession:
    """The present worker of a VM, and the next one as soon as it is heard.

    `present` and `info` are None before the first heartbeat and after the worker has
    left.
    """

    def __init__(
        self,
        *,
        begin: Callable[[Heartbeat], WorkerIncarnation],
        on_leave: Callable[[WorkerIncarnation], None],
        on_doubt: Callable[[], None],
        on_end: Callable[[WorkerIncarnation], None],
        on_change: Callable[[], None],
        is_local_address: Callable[[str], bool],
    ) -> None:
        """Start without a worker.

        Parameters: `begin` creates the incarnation that sent a heartbeat; `on_leave` is
        called when the present worker announces that it leaves; `on_doubt` when another
        one sends a heartbeat, so that the end of the present one is to be looked for;
        `on_end` when it is succeeded or has left; `on_change` when there is something
        to report; `is_local_address` returns whether an address is certainly of this
        VM.
        """
        self._is_local_address = is_local_address
        self.present: WorkerIncarnation | None = None
        self.info: WorkerInfo | None = None
        self.left = False
        """Whether the last worker has left, has ended, and has no successor yet."""
        self._begin_incarnation = begin
        self._on_leave = on_leave
        self._on_doubt = on_doubt
        self._on_end = on_end
        self._on_change = on_change
        self._last_sequence = -1
        self._next: Heartbeat | None = None
        """The last heartbeat of the worker that waits for the present one's end."""
        self._next_until = 0.0
        """Until when it may begin."""
        self._departed: tuple[int, str] | None = None
        """Birth time and id of the worker that has left last."""

    def __repr__(self) -> str:
        """Show the present worker."""
        return f"<WorkerSuccession at {self.info and self.info.id}>"

    def take_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Update the worker's description, or begin the next worker."""
        present = self.present
        sender = self._sender(heartbeat)
        if sender is Sender.EARLIER:
            log.info(
                "Late heartbeat of an earlier worker ignored",
                extra={"worker": heartbeat.worker.id},
            )
        elif present is None:
            self._begin(heartbeat)
        elif sender is Sender.PRESENT:
            self._update(present, heartbeat)
        else:
            self._wait_for_end(present, heartbeat, now)
            if has_ended(present) and self._next is not None:
                self._begin(self._next)

    def leave(self, instance: str, born: int) -> None:
        """Handle the message that a worker leaves; see `Hosting.leave`."""
        waiting = self._next and self._next.worker
        if waiting and waiting.id == instance and born in (0, waiting.born):
            self._next = None
            return
        present = self.present
        if present is None or present.instance != instance:
            log.info("Leave of another worker ignored", extra={"worker": instance})
            return
        if 0 < born < present.born:
            # The message was delayed. The next incarnation of the worker already runs
            # work, which would be stopped.
            log.info(
                "Late leave of an earlier worker ignored", extra={"worker": instance}
            )
            return
        if present.is_leaving:
            return
        present.is_leaving = True
        # Refusals before its message may be those of a process that relays to it.
        present.refusals = 0
        assert self.info is not None
        self.info = msgspec.structs.replace(self.info, state=WorkerState.DRAINING)
        self._on_leave(present)
        self._on_change()

    def advance(self, now: float, *, may_leave: bool) -> None:
        """If the present worker has ended, begin the next, or record that it has left.

        Parameters: `may_leave` is whether no start on it is in doubt any more.
        """
        present = self.present
        if present is None:
            return
        # It gets no more starts, so a worker that runs nothing may as well have ended.
        is_done = present.is_leaving and present.is_idle and may_leave
        if not is_done and not has_ended(present):
            return
        if self._next is not None and now <= self._next_until:
            self._begin(self._next)
        elif present.is_leaving and may_leave:
            log.info("Worker has left", extra={"worker": present.instance})
            self._departed = (present.born, present.instance)
            self._end()
            self.info = None
            self.left = True
            self._on_change()

    def _sender(self, heartbeat: Heartbeat) -> Sender:
        worker = heartbeat.worker
        identity = (worker.born, worker.id)
        present = self.present
        if identity == self._departed:
            return Sender.EARLIER
        if present is None:
            return Sender.NEXT
        if identity == (present.born, present.instance):
            return Sender.PRESENT
        # One that has never answered may not be of this VM, whatever its birth time.
        # After the present one's end, the clock that dates the next may have gone back.
        may_be_next = not present.lists_answered or has_ended(present)
        is_earlier = worker.born < present.born and not may_be_next
        return Sender.EARLIER if is_earlier else Sender.NEXT

    def _update(self, present: WorkerIncarnation, heartbeat: Heartbeat) -> None:
        if heartbeat.sequence <= self._last_sequence:
            return
        self._last_sequence = heartbeat.sequence
        worker = heartbeat.worker
        if present.is_leaving:
            worker = msgspec.structs.replace(worker, state=WorkerState.DRAINING)
        changed = self.info is None or worker.state is not self.info.state
        self.info = worker
        if changed:
            log_worker(worker)
            self._on_change()

    def _wait_for_end(
        self, present: WorkerIncarnation, heartbeat: Heartbeat, now: float
    ) -> None:
        worker = heartbeat.worker
        known = self._next if now <= self._next_until else None
        if known and self._precedence(heartbeat, present) < self._precedence(
            known, present
        ):
            return
        self._next = heartbeat
        self._next_until = now + NEXT_VALID_SECONDS
        if known and (known.worker.born, known.worker.id) == (worker.born, worker.id):
            return
        log.info(
            "Worker waits for the end of the one before",
            extra={"worker": worker.id, "before": present.instance},
        )
        present.is_doubtful = True
        self._on_doubt()

    def _precedence(
        self, heartbeat: Heartbeat, present: WorkerIncarnation
    ) -> tuple[bool, bool, int]:
        """Return the rank of a worker among those that wait for the present one's end.

        Another writer may send heartbeats with ever later birth times. So the address
        of a present worker that has never answered ranks below all others, and one that
        is not of this VM below those that are.
        """
        is_silent = not present.lists_answered and heartbeat.address == present.address
        is_local = self._is_local_address(split_address(heartbeat.address)[0])
        return not is_silent, is_local, heartbeat.worker.born

    def _begin(self, heartbeat: Heartbeat) -> None:
        self._end()
        self.left = False
        self.info = heartbeat.worker
        self._last_sequence = heartbeat.sequence
        log_worker(heartbeat.worker)
        self.present = self._begin_incarnation(heartbeat)
        self._on_change()

    def _end(self) -> None:
        ended, self.present, self._next = self.present, None, None
        if ended is not None:
            ended.close_later()
            self._on_end(ended)
