"""Detects that this process stood still.

A host that is suspended, frozen or starved runs nothing for a while, and then first
handles what has arrived meanwhile. What it knows is by then as old as the stall.
"""

from collections.abc import Callable
from typing import Final

import structlog

# Shortest time without a sign of activity that is a stall, in seconds. Activity
# is noted ten times a second.
STALL_S: Final = 1.0
_log = structlog.get_logger('stalls')


class StallDetector:
    """Compares the time of each activity with that of the one before.

    ``clock`` returns seconds and includes suspension of the host. The callbacks
    in ``on_resumed`` are called after a stall, before anything else is handled.
    A process that is slow but goes on handling requests has no stall.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start with an activity now."""
        self.on_resumed: list[Callable[[], None]] = []
        self._clock = clock
        self._active_at = clock()

    def note_activity(self) -> None:
        """Record that the process runs; after a stall, log it and call back.

        To be called periodically, and before anything is decided from data that
        may be old.
        """
        now = self._clock()
        stalled_s = now - self._active_at
        self._active_at = now
        if stalled_s < STALL_S:
            return
        _log.warning('process_resumed', stalled_s=round(stalled_s, 3))
        for callback in self.on_resumed:
            callback()
