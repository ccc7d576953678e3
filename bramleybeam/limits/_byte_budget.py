"""Bounds the bytes that are sent to one peer, whatever there is to tell."""

import attrs


@attrs.define
class ByteBudget:
    """Allows ``rate`` bytes a second on average.

    ``burst`` bytes may be saved up, and ``credit`` bytes be sent ahead of
    their share. Time is given by the caller, in seconds.

    >>> budget = ByteBudget(rate=1000, burst=500, credit=100)
    >>> budget.take(550, now=0), budget.take(550, now=0)
    (True, False)
    """

    rate: float
    burst: float
    credit: float
    _level: float = attrs.field(init=False, default=0)
    _updated: float | None = attrs.field(init=False, default=None)

    def room(self, now: float) -> float:
        """Return the bytes that may be sent at this moment."""
        return self._refill(now) + self.credit

    def take(self, size: int, now: float) -> bool:
        """Take a message if there is room; tell whether it may be sent."""
        if self.room(now) < size:
            return False
        self._level -= size
        return True

    def spend(self, size: int, now: float) -> None:
        """Count a message that is sent in any case; others wait for it."""
        self._refill(now)
        self._level -= size

    def _refill(self, now: float) -> float:
        if self._updated is None:
            self._level = self.burst
        else:
            gained = max(0, now - self._updated) * self.rate
            self._level = min(self.burst, self._level + gained)
        self._updated = now
        return self._level
