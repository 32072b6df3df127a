"""Time limits that take effect after what has arrived by then has been read.

A process may be suspended beyond a limit while the answer lies in the kernel's buffer.
"""

import asyncio
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager

TURNS_AFTER_LIMIT = 3
"""Turns of the event loop from a limit to its effect.

In one, the sockets are read; in the next, the reader of a stream decodes what came; in
the last, the task that waits for it goes on.
"""


def call_at_limit(seconds: float, callback: Callable[[], None]) -> Callable[[], None]:
    """Call `callback` after `seconds`, and return a function that cancels this.

    A loop runs its timers after the sockets that were ready at the same look.
    """
    loop = asyncio.get_running_loop()
    handle: asyncio.TimerHandle

    def end_turn(turns_left: int) -> None:
        nonlocal handle
        if turns_left:
            handle = loop.call_later(0, end_turn, turns_left - 1)
        else:
            callback()

    handle = loop.call_later(seconds, end_turn, TURNS_AFTER_LIMIT)
    return lambda: handle.cancel()


@asynccontextmanager
async def time_limit(seconds: float) -> AsyncGenerator[Callable[[float], None]]:
    """Limit a block to `seconds`, as `asyncio.timeout` does.

    The value is a function that extends the limit to as many seconds from its call; it
    has no effect once the limit has passed.

    Errors: `TimeoutError` if the block has not ended by then.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as scope:

        def end() -> None:
            scope.reschedule(loop.time())

        cancel = call_at_limit(seconds, end)

        def extend(seconds: float) -> None:
            nonlocal cancel
            if not scope.expired():
                cancel()
                scope.reschedule(None)
                cancel = call_at_limit(seconds, end)

        try:
            yield extend
        finally:
            cancel()
