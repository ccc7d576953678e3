"""A token bucket that limits the rate of calls."""

from typing import Final

import attrs

# Tokens by which the level may fall short because of rounding errors.
_TOLERANCE: Final = 1e-9


@attrs.define
class TokenBucket:
    """Allows ``rate`` calls a second on average and bursts of ``burst``.

    The caller passes the time, in seconds, so that the result does not depend
    on a clock.
    """

    rate: float
    burst: float
    _level: float = attrs.field(init=False)
    _updated_at: float = attrs.field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        """Fill the bucket."""
        self._level = self.burst

    def take(self, now: float, amount: float = 1) -> bool:
        """Take ``amount`` tokens if available; return whether they were.

        Nothing is taken if fewer are available.
        """
        self._refill(now)
        if self._level + _TOLERANCE < amount:
            return False
        self._level -= amount
        return True

    def level(self, now: float) -> float:
        """Return the available tokens.

        The result is slightly above the true level, so that truncation to a
        whole number is not affected by rounding errors.
        """
        self._refill(now)
        return self._level + _TOLERANCE

    def wait_for(self, now: float, amount: float = 1) -> float:
        """Return the seconds until ``amount`` tokens are available."""
        self._refill(now)
        return max(0, (amount - self._level) / self.rate)

    def _refill(self, now: float) -> None:
        elapsed = max(0, now - self._updated_at)
        self._updated_at = now
        self._level = min(self.burst, self._level + elapsed * self.rate)
