"""How long the answers on each route have taken of late.

Handles this load: a process that stops is still sent requests for some seconds.
It takes those that can end before it does, and refuses the others, which would be
cut off.
"""

import math
from collections import defaultdict, deque
from functools import partial
from typing import Final

# Answers of each route that are considered.
_MAX_ANSWERS: Final = 100


class AnswerDurations:
    """The durations of the last answers by route, in seconds."""

    def __init__(self) -> None:
        """Start without answers."""
        self._durations: dict[str, deque[float]] = defaultdict(
            partial(deque, maxlen=_MAX_ANSWERS)
        )

    def note(self, route: str, duration_s: float) -> None:
        """Record a complete answer."""
        self._durations[route].append(duration_s)

    def ends_within(
        self, route: str, time_limit_s: float, time_left_s: float
    ) -> bool:
        """Whether a new request will probably end within ``time_left_s``.

        It will if it may not take longer (``time_limit_s``), or if none of the
        last answers took longer.
        """
        if time_limit_s <= time_left_s:
            return True
        durations = self._durations.get(route, ())
        return max(durations, default=math.inf) <= time_left_s
