"""Age of the last sync with the store, and lag behind other gateways."""

from collections.abc import Callable
from typing import Final

import attrs
import structlog

# Time for which a revision that another gateway has read may be missing here.
# It is not 0, because a gateway reads changes in batches and therefore always
# lags a little.
_MAX_LAG_S: Final = 1.0
# Largest age of the last sync while the store answers calls at its normal
# speed.
_MAX_FRESH_AGE_S: Final = 2.0
_log = structlog.get_logger('freshness')


@attrs.frozen
class _MissingRevision:
    """A store revision that peers have read, and when this was noticed."""

    revision: int
    noticed_at: float


class StoreFreshness:
    """Compares the revision read here with those that neighbours report.

    ``clock`` returns seconds. The callbacks in ``on_lagging`` are called for
    each report of a neighbour while this gateway is lagging.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create a state in which the store was never read."""
        self.revision = 0
        self.on_lagging: list[Callable[[], None]] = []
        self._clock = clock
        self._synced_at: float | None = None
        self._missing: _MissingRevision | None = None
        self._was_lagging = False

    @property
    def age_s(self) -> float | None:
        """Seconds since the last sync with the store; ``None`` before it."""
        if self._synced_at is None:
            return None
        return round(self._clock() - self._synced_at, 3)

    @property
    def is_fresh(self) -> bool:
        """Whether the last sync is as recent as in normal operation."""
        age_s = self.age_s
        return age_s is not None and age_s <= _MAX_FRESH_AGE_S

    @property
    def is_lagging(self) -> bool:
        """Whether a revision that peers have read is overdue here."""
        missing = self._missing
        return (
            missing is not None
            and self._clock() - missing.noticed_at > _MAX_LAG_S
        )

    def note_sync(self, revision: int, synced_at: float) -> None:
        """Record that the store was read up to ``revision``.

        ``synced_at`` is the clock time in seconds for which it is current.
        """
        self.revision = max(self.revision, revision)
        self._synced_at = max(synced_at, self._synced_at or synced_at)
        if self._missing and self.revision >= self._missing.revision:
            self._missing = None
        if self._was_lagging and not self._missing:
            self._was_lagging = False
            _log.info('store_lag_ended', revision=self.revision)

    def note_peer_revision(self, revision: int) -> None:
        """Record the revision that another gateway has read."""
        if revision > self.revision and self._missing is None:
            self._missing = _MissingRevision(revision, self._clock())
        if not self.is_lagging:
            return
        if not self._was_lagging:
            self._was_lagging = True
            _log.warning(
                'store_lag_detected', revision=self.revision, others=revision
            )
        for callback in self.on_lagging:
            callback()
