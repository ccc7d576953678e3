"""Coalesces events into one delayed callback."""

import asyncio
from collections.abc import Callable
from typing import Final

# Delay of the callback after the first event.
_COALESCE_DELAY_S: Final = 0.01


class Coalescer:
    """Calls back 10 ms after an event, once for all events until then.

    Example::

        coalescer = Coalescer(plan)
        coalescer.trigger()
    """

    def __init__(self, callback: Callable[[], None]) -> None:
        """Store the callback."""
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None

    def trigger(self) -> None:
        """Schedule the callback unless it is scheduled already."""
        if self._handle is None:
            loop = asyncio.get_running_loop()
            self._handle = loop.call_later(_COALESCE_DELAY_S, self._run)

    def _run(self) -> None:
        self._handle = None
        self._callback()
