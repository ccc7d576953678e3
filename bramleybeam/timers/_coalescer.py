"""Runs a callback soon after an event, once for events that come together."""

import asyncio
from collections.abc import Callable
from typing import Final

_GATHER_S: Final = 0.01


class Coalescer:
    """Calls back a moment after the first of several events.

    Example::

        coalescer = Coalescer(plan)
        coalescer.trigger()
    """

    def __init__(self, callback: Callable[[], None]) -> None:
        """Store what to call."""
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None

    def trigger(self) -> None:
        """Note an event; the callback runs soon."""
        if self._handle is None:
            loop = asyncio.get_running_loop()
            self._handle = loop.call_later(_GATHER_S, self._run)

    def _run(self) -> None:
        self._handle = None
        self._callback()
