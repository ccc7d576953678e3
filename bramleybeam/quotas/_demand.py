"""The average demand for a quota at one gateway."""

import math
from typing import Final

# Time constant of the average demand, and the time in seconds for which a
# reserve should last.
_AVERAGE_S: Final = 2.0
_RESERVE_S: Final = 1.0
# A gateway without requests for this many seconds gives up its reserve.
_IDLE_S: Final = 3.0
# Weight of a request in the average cost.
_COST_WEIGHT: Final = 0.2


class DemandAverage:
    """Averages of the demand a second and of the cost of a request."""

    def __init__(self) -> None:
        """Start without demand."""
        self._rate = 0.0
        self._cost = 0.0
        self._noted_at = -math.inf

    @property
    def unit_cost(self) -> int:
        """The typical cost of a request, at least 1."""
        return max(1, math.ceil(self._cost))

    def note(self, cost: int, now: float) -> None:
        """Count a request."""
        self._rate = self._average(now) + cost / _AVERAGE_S
        self._noted_at = now
        weight = _COST_WEIGHT if self._cost else 1
        self._cost += weight * (cost - self._cost)

    def target(self, now: float) -> int:
        """Return the balance that is wanted for requests to come."""
        if now - self._noted_at > _IDLE_S:
            return 0
        expected = self._average(now) * _RESERVE_S
        return math.ceil(max(expected, self._cost))

    def _average(self, now: float) -> float:
        age_s = max(0.0, now - self._noted_at)
        return self._rate * math.exp(-age_s / _AVERAGE_S)
