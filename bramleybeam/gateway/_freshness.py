"""Age of the last sync with the store, and lag behind other gateways.

Whether a gateway may decide anything yet, and from data of which age, is asked
here alone (``StoreFreshness.sync_state``).
"""

import math
from collections.abc import Callable
from enum import StrEnum
from typing import Final

import attrs
import structlog

from bramleybeam.gateway._change_notifier import ChangeNotifier
from bramleybeam.gateway._follower_pace import DEFAULT_PACE, FollowerPace
from bramleybeam.gateway._stalls import StallDetector

# Time in seconds for which a failed call still shows that the store is away. Two
# calls in a row that are not answered end in less.
_OUTAGE_KNOWN_S: Final = 3.0
# Number of calls without an answer since the last sync that show that the store is
# away. One alone may have lost its connection.
_OUTAGE_CALLS: Final = 2
_log = structlog.get_logger('freshness')


@attrs.frozen
class _MissingRevision:
    """A store revision that peers have read, and when this was noticed."""

    revision: int
    noticed_at: float


class SyncState(StrEnum):
    """How far what was read of the store may be relied on.

    ``CURRENT`` is as recent as the bound for configurations demands. ``OVERDUE``
    is older, and the store may hold something newer that is already in force
    elsewhere. ``STORE_AWAY`` is older too, but the store does not answer.
    """

    CURRENT = 'current'
    OVERDUE = 'overdue'
    STORE_AWAY = 'store_away'


class StoreFreshness:
    """Compares the revision read here with those that neighbours report.

    ``clock`` returns seconds and includes suspension of the host. The callbacks
    in ``on_lagging`` are called when the store is to be read without delay, since
    this gateway lags behind a neighbour or a request needs a recent sync; those in
    ``on_resumed`` are called after a stall of this process. ``pace`` is
    how often this gateway reads changes. ``changed`` notifies of each read of the
    store that has ended or is found to be unanswered.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        pace: FollowerPace = DEFAULT_PACE,
    ) -> None:
        """Create a state in which the store was never read."""
        self.revision = 0
        self.pace = pace
        self._version = 0
        self._newest_version = 0
        self.changed = ChangeNotifier()
        self.on_lagging: list[Callable[[], None]] = []
        self.on_resumed: list[Callable[[], None]] = []
        self._clock = clock
        self._synced_at: float | None = None
        self._missing: _MissingRevision | None = None
        self._was_lagging = False
        self._was_old = False
        self._answered_at = -math.inf
        self._failed_at = -math.inf
        # When the calls since the last sync were sent that have failed.
        self._failed_calls: set[float] = set()
        self._stalls = StallDetector(clock)
        self._stalls.on_resumed.append(self._note_resumed)

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
        return age_s is not None and age_s <= self.pace.max_fresh_age_s

    @property
    def is_lagging(self) -> bool:
        """Whether a revision that peers have read is overdue here."""
        missing = self._missing
        return (
            missing is not None
            and self._clock() - missing.noticed_at > self.pace.max_lag_s
        )

    @property
    def sync_state(self) -> SyncState:
        """Whether anything may be decided, and by what kind of data."""
        age_s = self.age_s
        if age_s is None:
            return SyncState.OVERDUE
        if age_s <= self.pace.max_configuration_age_s:
            return SyncState.CURRENT
        if self._is_store_away:
            return SyncState.STORE_AWAY
        return SyncState.OVERDUE

    @property
    def is_behind(self) -> bool:
        """Whether callers are better served by another gateway."""
        is_overdue = self.sync_state == SyncState.OVERDUE and not self.is_fresh
        return is_overdue or self.is_lagging

    @property
    def newest_version(self) -> int:
        """The newest version of the configuration that any gateway has."""
        return self._newest_version

    @property
    def is_outdated(self) -> bool:
        """Whether another gateway has a newer configuration than this one."""
        return self._version < self._newest_version

    @property
    def has_newest_configuration(self) -> bool:
        """Whether what the configuration lacks is configured nowhere."""
        is_behind = self.is_lagging or self.is_outdated
        return self.sync_state == SyncState.CURRENT and not is_behind

    def has_synced_since(self, moment: float) -> bool:
        """Whether what was read here shows the store at or after a moment.

        ``moment`` is in seconds of ``now``.
        """
        return self._synced_at is not None and self._synced_at >= moment

    def now(self) -> float:
        """Return the time of the clock by which the age is measured."""
        return self._clock()

    def note_activity(self) -> None:
        """Record that this process runs, and notice a stall that has ended.

        To be called periodically and before ``sync_state`` is used.
        """
        self._stalls.note_activity()

    def note_age(self) -> None:
        """Log when the last sync becomes older than in normal operation, and the end.

        To be called periodically.
        """
        is_old = self._synced_at is not None and not self.is_fresh
        if is_old == self._was_old:
            return
        self._was_old = is_old
        log = _log.warning if is_old else _log.info
        log(
            'store_sync_overdue' if is_old else 'store_sync_recent',
            store_age_s=self.age_s,
            revision=self.revision,
            version=self._version,
            newest_version=self._newest_version,
        )

    def note_version(self, version: int) -> None:
        """Record the version of the configuration in force here."""
        self._version = version
        self._newest_version = max(self._newest_version, version)

    def note_peer_version(self, version: int) -> None:
        """Record the version of the configuration that a peer knows of."""
        self._newest_version = max(self._newest_version, version)
        if self.is_outdated:
            self.request_read()

    def note_sync(self, revision: int, synced_at: float) -> None:
        """Record that the store was read up to ``revision``.

        ``synced_at`` is the clock time in seconds for which it is current.
        """
        self.revision = max(self.revision, revision)
        self._synced_at = max(synced_at, self._synced_at or synced_at)
        self._answered_at = self.now()
        self._failed_calls.clear()
        if self._missing and self.revision >= self._missing.revision:
            self._missing = None
        if self._was_lagging and not self._missing:
            self._was_lagging = False
            _log.info('store_lag_ended', revision=self.revision)
        self.changed.notify()

    def note_failure(self, asked_at: float) -> None:
        """Record that a call failed, or is unanswered, that was sent at a time."""
        self._failed_at = self.now()
        if len(self._failed_calls) < _OUTAGE_CALLS:
            self._failed_calls.add(asked_at)
        self.changed.notify()

    def note_silence(self, since: float) -> None:
        """Record that this process ran since a time, and a read was asked for.

        If no call has been answered meanwhile, the store is away.
        """
        if self._answered_at <= since:
            self._failed_at = self.now()
            # Stands for as many calls as show an outage.
            self._failed_calls.update(range(_OUTAGE_CALLS))

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
        self.request_read()

    def request_read(self) -> None:
        """Ask for the changes in the store to be read without delay."""
        for callback in self.on_lagging:
            callback()

    @property
    def _is_store_away(self) -> bool:
        is_recent = self.now() - self._failed_at < _OUTAGE_KNOWN_S
        return is_recent and len(self._failed_calls) >= _OUTAGE_CALLS

    def _note_resumed(self) -> None:
        """Record that this process continues after a stall.

        A failure from before it does not show that the store is away now.
        """
        self._failed_calls.clear()
        for callback in self.on_resumed:
            callback()
