"""What the planner says that each replica holds, passed on by changes.

The planner numbers the rows that it changes. Whoever passes them on sends
only those that the receiver lacks, which it tells by the number of the last
one that it has; so a lost message costs nothing but time.
"""

from collections.abc import Callable, Mapping
from typing import Final

import attrs

from bramleybeam.catalog import Holdings

# How long the planner's word counts when nothing more is heard of it.
_VALID_S: Final = 2.5
# Change of an expected moment that is not worth telling.
_SAME_MOMENT_S: Final = 0.5
# Rows of one message.
_MAX_ROWS: Final = 30


@attrs.frozen
class ReplicaPlacement:
    """What the planner says a replica holds, and what is being dropped.

    ``started_ms`` tells which start of the replica is meant. ``incoming_model``
    is the model on its way and ``eta_s`` when it is expected, from when it was
    told.
    """

    holdings: Holdings
    evicting_model: str = ''
    started_ms: int = 0
    incoming_model: str = ''
    eta_s: float = 0


@attrs.frozen
class PlacementVersion:
    """How far a gateway has read one planner's rows."""

    epoch: int = 0
    number: int = 0


@attrs.frozen
class PlacementDelta:
    """Rows that bring a receiver that has those up to ``since`` to ``version``.

    ``since`` is a number of ``version``'s epoch. ``age_s`` is how long ago the
    planner was heard; it is endless while there is none.
    """

    version: PlacementVersion = PlacementVersion()
    since: int = 0
    age_s: float = float('inf')
    rows: Mapping[str, ReplicaPlacement] = attrs.field(factory=dict)


@attrs.frozen
class _PlacementEntry:
    """A row as it is kept; ``expected_at`` is by the clock of this gateway."""

    placed: ReplicaPlacement
    number: int
    expected_at: float

    def is_like(self, placed: ReplicaPlacement, now: float) -> bool:
        """Whether a row says the same, but for a moment of time."""
        drift = abs(self.expected_at - now - placed.eta_s)
        if placed.incoming_model and drift > _SAME_MOMENT_S:
            return False
        same = attrs.evolve(self.placed, eta_s=placed.eta_s)
        return same == placed


class PlacementTable:
    """The rows of the newest planner; ``clock`` gives seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without a planner."""
        self._clock = clock
        self._rows: dict[str, _PlacementEntry] = {}
        self._version = PlacementVersion()
        self._heard_at = float('-inf')

    @property
    def version(self) -> PlacementVersion:
        """The newest planner that was heard of, and its last row."""
        return self._version

    @property
    def has_live_planner(self) -> bool:
        """Whether the planner has spoken a moment ago."""
        return self.age_s <= _VALID_S

    @property
    def age_s(self) -> float:
        """How old the planner's last word is; endless before the first."""
        return self._clock() - self._heard_at

    def find(self, replica: str, started_ms: int) -> ReplicaPlacement | None:
        """Return what is told of this start of a replica, if it counts."""
        row = self._rows.get(replica)
        if row is None or not self.has_live_planner:
            return None
        return row.placed if row.placed.started_ms == started_ms else None

    def arrival_in(self, model: str) -> float | None:
        """Return the seconds until a model is expected, if it is coming."""
        now = self._clock()
        return min(
            (
                max(0, row.expected_at - now)
                for row in self._rows.values()
                if row.placed.incoming_model == model
            ),
            default=None,
        )

    def publish(
        self,
        epoch: int,
        placement: Mapping[str, ReplicaPlacement],
    ) -> bool:
        """Take in this gateway's own placement; tells if rows changed."""
        if not self._follow(epoch):
            return False
        self._heard_at = self._clock()
        for name in self._rows.keys() - placement.keys():
            self._rows.pop(name)
        number = self._version.number
        for name, placed in placement.items():
            known = self._rows.get(name)
            if known is None or not known.is_like(placed, self._heard_at):
                number += 1
                self._keep(name, placed, number)
        has_changed = number > self._version.number
        self._version = PlacementVersion(epoch, number)
        return has_changed

    def merge(self, delta: PlacementDelta) -> bool:
        """Take in what another gateway passes on; tells if it was news."""
        epoch = delta.version.epoch
        is_newer = epoch > self._version.epoch
        if not epoch or not self._follow(epoch):
            return False
        self._heard_at = max(self._heard_at, self._clock() - delta.age_s)
        if delta.version.number <= self._version.number or self.is_missing_rows(
            delta
        ):
            return is_newer
        for name, placed in delta.rows.items():
            self._keep(name, placed, delta.version.number)
        self._version = delta.version
        return True

    def is_missing_rows(self, delta: PlacementDelta) -> bool:
        """Whether rows are missing between those here and some news."""
        known = (
            self._version.number
            if delta.version.epoch == self._version.epoch
            else 0
        )
        return (
            delta.version.epoch >= self._version.epoch and delta.since > known
        )

    def delta_since(
        self, version: PlacementVersion, most_rows: int = _MAX_ROWS
    ) -> PlacementDelta:
        """Return the next rows that a gateway at ``version`` lacks."""
        now = self._clock()
        known = version.number if version.epoch == self._version.epoch else 0
        lacking = sorted(
            (row.number, name)
            for name, row in self._rows.items()
            if row.number > known
        )
        number = self._version.number
        if len(lacking) > most_rows:
            number = lacking[most_rows - 1][0] if most_rows else known
        rows = {
            name: attrs.evolve(
                self._rows[name].placed,
                eta_s=max(0, self._rows[name].expected_at - now),
            )
            for row_number, name in lacking
            if row_number <= number
        }
        return PlacementDelta(
            PlacementVersion(self._version.epoch, number),
            min(known, number),
            now - self._heard_at,
            rows,
        )

    def drop(self, replica: str) -> None:
        """Forget a replica that is gone."""
        self._rows.pop(replica, None)

    def _follow(self, epoch: int) -> bool:
        """Start anew for a newer planner; tell if this one may be followed."""
        if epoch > self._version.epoch:
            self._rows.clear()
            self._version = PlacementVersion(epoch)
        return epoch == self._version.epoch

    def _keep(self, name: str, placed: ReplicaPlacement, number: int) -> None:
        expected_at = self._clock() + placed.eta_s
        self._rows[name] = _PlacementEntry(placed, number, expected_at)
