"""Bounds repeated sends to a service, so that retries cannot pile up.

The bound holds over all gateways together without a call for each request:
each one keeps to a share of the fixed allowance, and to the ratio of the
requests that it has taken itself.
"""

from collections import deque
from typing import Final

import attrs

# Part of the promised bound that is used; counting is not exact.
_USED_SHARE: Final = 0.8


@attrs.define
class RetryBudget:
    """Counts requests and repeated sends of one service in a window.

    ``ratio`` is of the requests, ``allowance`` a number in each window of
    ``window_s`` seconds, over all gateways.
    """

    ratio: float
    allowance: float
    window_s: float
    _requests: deque[float] = attrs.field(factory=deque, init=False)
    _repeats: deque[float] = attrs.field(factory=deque, init=False)

    def note_request(self, now: float) -> None:
        """Count a request that a caller sent."""
        self._requests.append(now)
        self._forget(now)

    def take(self, now: float, gateways: int) -> bool:
        """Take one repeated send when the bound allows it."""
        self._forget(now)
        allowed = self.ratio * len(self._requests)
        allowed += self.allowance / max(1, gateways)
        if len(self._repeats) + 1 > allowed * _USED_SHARE:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        start = now - self.window_s
        for moments in (self._requests, self._repeats):
            while moments and moments[0] < start:
                moments.popleft()
