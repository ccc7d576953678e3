"""Keeps places of replicas free for urgent requests.

Handles this load: tolerant requests fill every place, and an urgent one that
arrives has to wait until one of them ends, which takes longer than its latency
target. While urgent requests come, tolerant ones use only some of the places;
while none come, they use all of them.
"""

import math
from typing import Final

import attrs

# Time for which a request's latency target counts as that of urgent work, in
# seconds.
_RECENT_S: Final = 5.0
# A request is tolerant if its latency target is more than this multiple of the
# shortest one of late.
_TOLERANT_FACTOR: Final = 3
# Share of a replica's places that tolerant requests leave free.
_FREE_SHARE: Final = 0.15


@attrs.define
class UrgentWork:
    """The shortest latency target of the requests for some replicas of late."""

    _target_s: float = math.inf
    _seen_at: float = -math.inf

    def note(self, answer_within_s: float, now: float) -> None:
        """Record a request that arrives at ``now``, in seconds."""
        if answer_within_s <= self._target_s or self._is_old(now):
            self._target_s = answer_within_s
            self._seen_at = now

    def is_tolerant(self, answer_within_s: float, now: float) -> bool:
        """Whether a request leaves places free for others of late."""
        if self._is_old(now):
            return False
        return answer_within_s > _TOLERANT_FACTOR * self._target_s

    def _is_old(self, now: float) -> bool:
        return now - self._seen_at > _RECENT_S


def tolerant_places(slots: int) -> int:
    """Return the places that tolerant requests use while urgent ones come.

    None of them waits in a replica's own queue, and at least one place is left
    free, unless there is only one.
    """
    return max(1, min(slots - 1, int(slots * (1 - _FREE_SHARE))))
