"""A timer of the event loop that can be restarted."""

import asyncio
from collections.abc import Callable


class RestartableTimer:
    """Calls back once after a delay, unless restarted or stopped before."""

    def __init__(self, callback: Callable[[], None]) -> None:
        """Store the callback; the timer is not running."""
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None

    def start(self, delay: float) -> None:
        """Call back after ``delay`` seconds, unless restarted or stopped."""
        self.stop()
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(delay, self._callback)

    def stop(self) -> None:
        """Do not call back."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
