"""Limits retries to a service, to prevent a retry storm.

The bound holds over all gateways together without communication for each
request: each gateway uses its share of the fixed allowance, plus the ratio
of the requests that it received itself.
"""

from collections import deque
from typing import Final

import attrs

from bramleybeam.catalog import HostSettings

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


class RetryBudgets:
    """The budget of each service, by the settings of the host."""

    def __init__(self, settings: HostSettings) -> None:
        """Start without requests."""
        self._settings = settings
        self._budgets: dict[str, RetryBudget] = {}

    def apply_settings(self, settings: HostSettings) -> None:
        """Apply changed settings; what was counted is kept."""
        self._settings = settings
        for budget in self._budgets.values():
            budget.ratio = settings.retry_ratio
            budget.allowance = settings.retry_allowance
            budget.window_s = settings.bounds.retry_window_s

    def note_request(self, service: str, now: float) -> None:
        """Count a request from a caller, received at ``now`` seconds."""
        self._budget(service).note_request(now)

    def take(self, service: str, now: float, gateways: int) -> bool:
        """Count a retry if the limit allows it, and return whether it does."""
        return self._budget(service).take(now, gateways)

    def _budget(self, service: str) -> RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(
                self._settings.retry_ratio,
                self._settings.retry_allowance,
                self._settings.bounds.retry_window_s,
            )
        return self._budgets[service]
