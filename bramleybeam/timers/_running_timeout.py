"""A time-out that does not count time in which the event loop was blocked."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

# Longest time in seconds that counts for one pass of the event loop.
_STEP_S: Final = 0.05


class _Countdown:
    """Lets a time-out expire after a number of timely steps."""

    def __init__(self, limit: asyncio.Timeout, left_s: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._limit = limit
        self._left_s = left_s
        self._handle = self._schedule()

    def cancel(self) -> None:
        self._handle.cancel()

    def _schedule(self) -> asyncio.TimerHandle:
        step_s = min(self._left_s, _STEP_S)
        return self._loop.call_later(step_s, self._count)

    def _count(self) -> None:
        self._left_s -= _STEP_S
        if self._left_s > 0:
            self._handle = self._schedule()
        else:
            self._limit.reschedule(self._loop.time())


@asynccontextmanager
async def running_timeout(timeout_s: float) -> AsyncIterator[None]:
    """Raise ``TimeoutError`` after some seconds in which the event loop ran.

    An overloaded event loop handles a timer that has expired before the answer
    that arrived meanwhile, so that an ordinary time-out blames the peer for the
    delay of this process. Here each pass of the loop counts as 0.05 s at the most,
    however long it took. In a loop that is not late both are the same.

    Example::

        async with running_timeout(0.5):
            await connect()
    """
    async with asyncio.timeout(None) as limit:
        countdown = _Countdown(limit, timeout_s)
        try:
            yield
        finally:
            countdown.cancel()
