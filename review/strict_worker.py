"""The stand-in for a worker, which answers 421 to calls for any other instance.

All else is as in `standins.platform_worker`.
"""

import cyclopts

from standins import platform_worker

EXPECT_INSTANCE_HEADER = "Wagtailcleat-Expect-Instance"
WRONG_INSTANCE = 421


class StrictHandler(platform_worker.OrderHandler):
    """Refuses calls that do not name this instance."""

    async def prepare(self) -> None:
        """Compare the instance that the call names with the own id."""
        named = self.request.headers.get(EXPECT_INSTANCE_HEADER)
        if named != self.state.instance:
            self.answer({"clockMs": self.state.clock_ms()}, WRONG_INSTANCE)
            return
        await super().prepare()


class StrictStart(StrictHandler, platform_worker.StartHandler):
    """`POST /run-start`."""


class StrictStop(StrictHandler, platform_worker.StopHandler):
    """`POST /run-stop`."""


class StrictPace(StrictHandler, platform_worker.PaceHandler):
    """`POST /pace`."""


class StrictHold(StrictHandler, platform_worker.HoldHandler):
    """`POST /hold`."""


if __name__ == "__main__":
    platform_worker.StartHandler = StrictStart  # type: ignore[misc]
    platform_worker.StopHandler = StrictStop  # type: ignore[misc]
    platform_worker.PaceHandler = StrictPace  # type: ignore[misc]
    platform_worker.HoldHandler = StrictHold  # type: ignore[misc]
    cyclopts.run(platform_worker.main)
