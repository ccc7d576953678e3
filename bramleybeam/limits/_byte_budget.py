"""Bounds the bytes that are sent to one peer, whatever there is to tell.

Regular messages wait until they fit, so that they come less often when they
are long. What can't wait may be sent ahead of its share, up to a limit.
"""

import attrs


@attrs.define
class ByteBudget:
    """Allows ``rate`` bytes a second on average.

    ``burst`` bytes may be saved up, and ``credit`` bytes be sent ahead of
    their share. Time is given by the caller, in seconds.
    """

    rate: float
    burst: float
    credit: float
    _level: float = attrs.field(init=False, default=0)
    _updated: float | None = attrs.field(init=False, default=None)

    def take(self, size: int, now: float) -> bool:
        """Take a regular message when it fits; tell whether it did.

        One that is longer than the burst fits when all of that is there.
        """
        if self._refill(now) < min(size, self.burst):
            return False
        self._level -= size
        return True

    def take_ahead(self, size: int, now: float) -> bool:
        """Take a message that can't wait; tell whether it may be sent."""
        if self._refill(now) + self.credit < size:
            return False
        self._level -= size
        return True

    def _refill(self, now: float) -> float:
        if self._updated is None:
            self._level = self.burst
        else:
            gained = max(0, now - self._updated) * self.rate
            self._level = min(self.burst, self._level + gained)
        self._updated = now
        return self._level
