"""Which replicas could not be reached a moment ago."""

from collections.abc import Callable, Iterable
from typing import Final

import attrs
import structlog

# How long a replica that could not be reached is passed over, in seconds.
_FIRST_PENALTY_S: Final = 0.25
_LONGEST_PENALTY_S: Final = 4.0
# How long another gateway's word on an unreachable replica counts.
_DOUBT_S: Final = 1.0
_log = structlog.get_logger('reach')


@attrs.define
class _Penalty:
    until: float
    period: float


class ReachabilityTable:
    """Replicas that this gateway, or another, failed to connect to."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start with every replica reachable; ``clock`` gives seconds."""
        self._clock = clock
        self._penalties: dict[str, _Penalty] = {}
        self._suspected: dict[str, float] = {}

    def is_backing_off(self, name: str) -> bool:
        """Whether this gateway could not reach a replica a moment ago."""
        penalty = self._penalties.get(name)
        return penalty is not None and self._clock() < penalty.until

    def is_suspected(self, name: str) -> bool:
        """Whether any gateway could not reach a replica a moment ago."""
        until = self._suspected.get(name, 0)
        return self.is_backing_off(name) or self._clock() < until

    def list_backing_off(self) -> list[str]:
        """Name the replicas that this gateway passes over."""
        return [name for name in self._penalties if self.is_backing_off(name)]

    def update_remote(self, names: Iterable[str]) -> None:
        """Take in which replicas another gateway passes over."""
        until = self._clock() + _DOUBT_S
        for name in names:
            self._suspected[name] = until

    def note_unreachable(self, name: str) -> None:
        """Pass a replica over for a while, longer each time."""
        known = self._penalties.get(name)
        period = _FIRST_PENALTY_S
        if known is not None:
            period = min(_LONGEST_PENALTY_S, known.period * 2)
        self._penalties[name] = _Penalty(self._clock() + period, period)
        _log.info('replica_unreachable', replica=name, seconds=period)

    def note_reachable(self, name: str) -> None:
        """Forget that a replica could not be reached."""
        self._penalties.pop(name, None)
        self._suspected.pop(name, None)
