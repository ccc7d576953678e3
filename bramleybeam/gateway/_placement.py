"""The planner's placement of models, propagated as deltas.

The planner numbers each row that it changes. A gateway that propagates the
placement sends only rows with a higher number than the last that the receiver
has merged. The number reached and the start of the range go with each delta, so
that a lost message is detected and its rows are sent again.
"""

from collections.abc import Callable, Mapping
from typing import Final

import attrs

from bramleybeam.catalog import Holdings

# Time after the planner's last update for which its placement is used.
_PLANNER_TIMEOUT_S: Final = 2.5
# Change of an expected arrival that is too small to be published.
_ETA_TOLERANCE_S: Final = 0.5
# Largest number of rows in one message.
_MAX_MESSAGE_ROWS: Final = 30


@attrs.frozen
class ReplicaPlacement:
    """What one replica holds according to the planner.

    ``started_ms`` identifies the start of the replica. ``evicting_model`` is
    the model that is being unloaded, ``incoming_model`` the one that is being
    loaded; both are empty for none. ``eta_s`` is the time in seconds until
    ``incoming_model`` is expected, counted from when the row was sent.
    """

    holdings: Holdings
    evicting_model: str = ''
    started_ms: int = 0
    incoming_model: str = ''
    eta_s: float = 0


@attrs.frozen
class PlacementVersion:
    """The last row that a gateway has of one planner.

    ``epoch`` identifies the planner, 0 for none; ``number`` is that of the row.
    """

    epoch: int = 0
    number: int = 0


@attrs.frozen
class PlacementDelta:
    """Rows that bring a receiver from number ``since`` to ``version``.

    ``since`` is a row number in the epoch of ``version``. ``age_s`` is the time
    in seconds since the planner's last update; infinite before the first.
    ``rows`` maps replica names to placements.
    """

    version: PlacementVersion = PlacementVersion()
    since: int = 0
    age_s: float = float('inf')
    rows: Mapping[str, ReplicaPlacement] = attrs.field(factory=dict)


@attrs.frozen
class _PlacementEntry:
    """A stored row; ``number`` was assigned by the planner.

    ``expected_at`` is the arrival of the incoming model on this gateway's
    clock, in seconds.
    """

    replica_placement: ReplicaPlacement
    number: int
    expected_at: float

    def is_equivalent(
        self, replica_placement: ReplicaPlacement, now: float
    ) -> bool:
        """Whether a row differs by at most a small change of the arrival."""
        eta_change_s = abs(self.expected_at - now - replica_placement.eta_s)
        if replica_placement.incoming_model and eta_change_s > _ETA_TOLERANCE_S:
            return False
        with_new_eta = attrs.evolve(
            self.replica_placement, eta_s=replica_placement.eta_s
        )
        return with_new_eta == replica_placement


class PlacementTable:
    """Stores the rows of the newest planner; ``clock`` returns seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create an empty table without a planner."""
        self._clock = clock
        self._rows: dict[str, _PlacementEntry] = {}
        self._version = PlacementVersion()
        self._updated_at = float('-inf')

    @property
    def version(self) -> PlacementVersion:
        """The newest planner and the number of its last row."""
        return self._version

    @property
    def has_live_planner(self) -> bool:
        """Whether the planner's last update is recent enough to be used."""
        return self.age_s <= _PLANNER_TIMEOUT_S

    @property
    def age_s(self) -> float:
        """Seconds since the planner's last update; infinite before it."""
        return self._clock() - self._updated_at

    def find(self, replica: str, started_ms: int) -> ReplicaPlacement | None:
        """Return the placement of this start of a replica.

        ``None`` if there is no row for this start or no live planner.
        """
        row = self._rows.get(replica)
        if row is None or not self.has_live_planner:
            return None
        return (
            row.replica_placement
            if row.replica_placement.started_ms == started_ms
            else None
        )

    def arrival_eta_s(self, model: str) -> float | None:
        """Return the seconds until a model is loaded; ``None`` if unknown."""
        now = self._clock()
        return min(
            (
                max(0, row.expected_at - now)
                for row in self._rows.values()
                if row.replica_placement.incoming_model == model
            ),
            default=None,
        )

    def publish(
        self,
        epoch: int,
        placement: Mapping[str, ReplicaPlacement],
    ) -> bool:
        """Replace the rows by those of the local planner.

        Returns whether rows were added or changed; ``False`` also for the
        epoch of an older planner.
        """
        if not self._accept_epoch(epoch):
            return False
        self._updated_at = self._clock()
        for name in self._rows.keys() - placement.keys():
            self._rows.pop(name)
        number = self._version.number
        for name, replica_placement in placement.items():
            previous = self._rows.get(name)
            if previous is None or not previous.is_equivalent(
                replica_placement, self._updated_at
            ):
                number += 1
                self._store_row(name, replica_placement, number)
        has_changed = number > self._version.number
        self._version = PlacementVersion(epoch, number)
        return has_changed

    def merge(self, delta: PlacementDelta) -> bool:
        """Merge a delta that another gateway sent.

        Returns whether the planner or the version changed.
        """
        epoch = delta.version.epoch
        is_newer = epoch > self._version.epoch
        if not epoch or not self._accept_epoch(epoch):
            return False
        self._updated_at = max(self._updated_at, self._clock() - delta.age_s)
        if delta.version.number <= self._version.number or self.is_missing_rows(
            delta
        ):
            return is_newer
        for name, replica_placement in delta.rows.items():
            self._store_row(name, replica_placement, delta.version.number)
        self._version = delta.version
        return True

    def is_missing_rows(self, delta: PlacementDelta) -> bool:
        """Whether rows between the local version and a delta are missing."""
        local_number = (
            self._version.number
            if delta.version.epoch == self._version.epoch
            else 0
        )
        return (
            delta.version.epoch >= self._version.epoch
            and delta.since > local_number
        )

    def delta_since(
        self, version: PlacementVersion, max_rows: int = _MAX_MESSAGE_ROWS
    ) -> PlacementDelta:
        """Return the next rows for a gateway that is at ``version``.

        At most ``max_rows`` rows, in the order of their numbers.
        """
        now = self._clock()
        start = version.number if version.epoch == self._version.epoch else 0
        missing = sorted(
            (row.number, name)
            for name, row in self._rows.items()
            if row.number > start
        )
        number = self._version.number
        if len(missing) > max_rows:
            number = missing[max_rows - 1][0] if max_rows else start
        rows = {
            name: attrs.evolve(
                self._rows[name].replica_placement,
                eta_s=max(0, self._rows[name].expected_at - now),
            )
            for row_number, name in missing
            if row_number <= number
        }
        return PlacementDelta(
            PlacementVersion(self._version.epoch, number),
            min(start, number),
            now - self._updated_at,
            rows,
        )

    def drop(self, replica: str) -> None:
        """Drop the row of a replica that was removed."""
        self._rows.pop(replica, None)

    def _accept_epoch(self, epoch: int) -> bool:
        """Drop all rows if the epoch is newer than the current one.

        Returns whether the epoch is now the current one; ``False`` if it is
        that of an older planner.
        """
        if epoch > self._version.epoch:
            self._rows.clear()
            self._version = PlacementVersion(epoch)
        return epoch == self._version.epoch

    def _store_row(
        self, name: str, replica_placement: ReplicaPlacement, number: int
    ) -> None:
        expected_at = self._clock() + replica_placement.eta_s
        self._rows[name] = _PlacementEntry(
            replica_placement, number, expected_at
        )
