"""Shares the time of the event loop among connections whose input is costly.

Handles this failure: callers send many bodies in very small chunks, and nothing else
is done while all that they have sent is parsed.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

# Time in seconds that is spent on costly input before the event loop turns to
# everything else.
_SLICE_S: Final = 0.005

ParseNext = Callable[[], bool]


class ParsingTurns:
    """Lets connections parse one piece of their input each, in turns."""

    def __init__(self) -> None:
        """Start without connections."""
        self._waiting: deque[ParseNext] = deque()
        self._is_scheduled = False

    def add(self, parse_next: ParseNext) -> None:
        """Call ``parse_next`` in its turn, until it returns false."""
        self._waiting.append(parse_next)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        """Take turns until the time is spent, and go on in the next pass."""
        self._is_scheduled = False
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + _SLICE_S
        while self._waiting and loop.time() < ends_at:
            parse_next = self._waiting.popleft()
            if parse_next():
                self._waiting.append(parse_next)
        self._schedule()
