"""Limits retries to a service, to prevent a retry storm.

The bound holds over all gateways together without communication for each
request: each gateway uses its share of the fixed allowance, plus the ratio
of the requests that it received itself.
"""

from collections import deque
from typing import Final

import attrs

# Share of the configured bound that is used. The rest is a margin, because the
# counts are not exact: gateways don't exchange them, and the number of gateways
# may be out of date.
_USED_SHARE: Final = 0.8


@attrs.define
class RetryBudget:
    """Counts requests and retries of one service in a sliding window.

    The limit on retries is ``ratio`` times the requests plus ``allowance``,
    within ``window_s`` seconds and over all gateways.
    """

    ratio: float
    allowance: float
    window_s: float
    _requests: deque[float] = attrs.field(factory=deque, init=False)
    _retries: deque[float] = attrs.field(factory=deque, init=False)

    def note_request(self, now: float) -> None:
        """Count a request from a caller, received at ``now`` seconds."""
        self._requests.append(now)
        self._drop_expired(now)

    def take(self, now: float, gateways: int) -> bool:
        """Count a retry if the limit allows it, and return whether it does.

        ``gateways`` is the number of gateways that share the allowance.
        """
        self._drop_expired(now)
        allowed = self.ratio * len(self._requests)
        allowed += self.allowance / max(1, gateways)
        if len(self._retries) + 1 > allowed * _USED_SHARE:
            return False
        self._retries.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        window_start = now - self.window_s
        for times in (self._requests, self._retries):
            while times and times[0] < window_start:
                times.popleft()
