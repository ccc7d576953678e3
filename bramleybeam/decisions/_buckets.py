"""A token bucket that spreads calls over time."""

from typing import Final

import attrs

_ROUNDING: Final = 1e-9


@attrs.define
class TokenBucket:
    """Allows ``rate`` calls a second on average and ``burst`` at once.

    Time is given by the caller, in seconds, so that decisions stay pure.
    """

    rate: float
    burst: float
    _level: float = attrs.field(init=False)
    _updated: float = attrs.field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        """Start full."""
        self._level = self.burst

    def take(self, now: float, amount: float = 1) -> bool:
        """Take ``amount`` when it is there; tell whether it was."""
        self._refill(now)
        if self._level + _ROUNDING < amount:
            return False
        self._level -= amount
        return True

    def level(self, now: float) -> float:
        """Return what is there, a hair more than whole numbers rounded up."""
        self._refill(now)
        return self._level + _ROUNDING

    def wait_for(self, now: float, amount: float = 1) -> float:
        """Return the seconds until ``amount`` will be there."""
        self._refill(now)
        return max(0, (amount - self._level) / self.rate)

    def _refill(self, now: float) -> None:
        elapsed = max(0, now - self._updated)
        self._updated = now
        self._level = min(self.burst, self._level + elapsed * self.rate)
