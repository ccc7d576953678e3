"""Backoff from replicas that recently could not be reached."""

from collections.abc import Callable, Iterable
from typing import Final

import attrs
import structlog

# Time for which this gateway sends nothing to a replica that it could not
# connect to; doubles with each failure in a row.
_FIRST_BACKOFF_S: Final = 0.25
_MAX_BACKOFF_S: Final = 4.0
# Time for which a report of another gateway on an unreachable replica counts.
_SUSPICION_S: Final = 1.0
_log = structlog.get_logger('reach')


@attrs.define
class _Backoff:
    """A backoff that ends at ``until`` on the clock, ``period_s`` long."""

    until: float
    period_s: float


class ReachabilityTable:
    """Tracks replicas that this or another gateway failed to connect to."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create a table without failures; ``clock`` returns seconds."""
        self._clock = clock
        self._backoffs: dict[str, _Backoff] = {}
        self._suspected: dict[str, float] = {}

    def is_backing_off(self, name: str) -> bool:
        """Whether this gateway currently sends nothing to a replica."""
        backoff = self._backoffs.get(name)
        return backoff is not None and self._clock() < backoff.until

    def is_suspected(self, name: str) -> bool:
        """Whether this or another gateway recently failed to connect."""
        until = self._suspected.get(name, 0)
        return self.is_backing_off(name) or self._clock() < until

    def list_backing_off(self) -> list[str]:
        """Return the names of the replicas that this gateway backs off from."""
        return [name for name in self._backoffs if self.is_backing_off(name)]

    def update_remote(self, names: Iterable[str]) -> None:
        """Mark replicas that another gateway backs off from as suspected."""
        until = self._clock() + _SUSPICION_S
        for name in names:
            self._suspected[name] = until

    def note_unreachable(self, name: str) -> None:
        """Back off from a replica, for longer after each failure in a row."""
        previous = self._backoffs.get(name)
        period_s = _FIRST_BACKOFF_S
        if previous is not None:
            period_s = min(_MAX_BACKOFF_S, previous.period_s * 2)
        self._backoffs[name] = _Backoff(self._clock() + period_s, period_s)
        _log.info('replica_unreachable', replica=name, seconds=period_s)

    def note_reachable(self, name: str) -> None:
        """Clear the backoff and the suspicion of a replica."""
        self._backoffs.pop(name, None)
        self._suspected.pop(name, None)
