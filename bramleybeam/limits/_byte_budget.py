"""Limits the bytes sent to one peer, however much there is to send."""

import attrs


@attrs.define
class ByteBudget:
    """Token bucket that allows ``rate`` bytes a second on average.

    Up to ``burst`` unused bytes accumulate. A message may overdraw the bucket
    by up to ``credit`` bytes, which later messages then wait for. The caller
    passes the time, in seconds.

    >>> budget = ByteBudget(rate=1000, burst=500, credit=100)
    >>> budget.take(550, now=0), budget.take(550, now=0)
    (True, False)
    """

    rate: float
    burst: float
    credit: float
    _level: float = attrs.field(init=False, default=0)
    _updated_at: float | None = attrs.field(init=False, default=None)

    def available_bytes(self, now: float) -> float:
        """Return the bytes that may be sent now; negative when overdrawn."""
        return self._refill(now) + self.credit

    def take(self, size: int, now: float) -> bool:
        """Deduct ``size`` bytes if available and return whether they were."""
        if self.available_bytes(now) < size:
            return False
        self._level -= size
        return True

    def spend(self, size: int, now: float) -> None:
        """Deduct ``size`` bytes of a message that is sent unconditionally.

        Later messages wait until the deficit is refilled.
        """
        self._refill(now)
        self._level -= size

    def _refill(self, now: float) -> float:
        if self._updated_at is None:
            self._level = self.burst
        else:
            gained = max(0, now - self._updated_at) * self.rate
            self._level = min(self.burst, self._level + gained)
        self._updated_at = now
        return self._level
