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
class PlacedHoldings:
    """What the planner says a replica holds, and what is being dropped.

    ``started_ms`` tells which start of the replica is meant. ``coming`` is the
    model on its way and ``coming_in_s`` when it is expected, from when it was
    told.
    """

    holdings: Holdings
    leaving: str = ''
    started_ms: int = 0
    coming: str = ''
    coming_in_s: float = 0


@attrs.frozen
class Mark:
    """How far a gateway has read one planner's rows."""

    epoch: int = 0
    number: int = 0


@attrs.frozen
class PlacementNews:
    """Rows that bring a receiver that has those up to ``since`` to ``mark``.

    ``since`` is a number of ``mark``'s epoch. ``age_s`` is how long ago the
    planner was heard; it is endless while there is none.
    """

    mark: Mark = Mark()
    since: int = 0
    age_s: float = float('inf')
    rows: Mapping[str, PlacedHoldings] = attrs.field(factory=dict)


@attrs.frozen
class _Row:
    """A row as it is kept; ``coming_at`` is by the clock of this gateway."""

    placed: PlacedHoldings
    number: int
    coming_at: float

    def is_like(self, placed: PlacedHoldings, now: float) -> bool:
        """Whether a row says the same, but for a moment of time."""
        drift = abs(self.coming_at - now - placed.coming_in_s)
        if placed.coming and drift > _SAME_MOMENT_S:
            return False
        same = attrs.evolve(self.placed, coming_in_s=placed.coming_in_s)
        return same == placed


class PlacementTable:
    """The rows of the newest planner; ``clock`` gives seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without a planner."""
        self._clock = clock
        self._rows: dict[str, _Row] = {}
        self._mark = Mark()
        self._heard_at = float('-inf')

    @property
    def mark(self) -> Mark:
        """The newest planner that was heard of, and its last row."""
        return self._mark

    @property
    def hears_planner(self) -> bool:
        """Whether the planner has spoken a moment ago."""
        return self.age_s <= _VALID_S

    @property
    def age_s(self) -> float:
        """How old the planner's last word is; endless before the first."""
        return self._clock() - self._heard_at

    def find(self, replica: str, started_ms: int) -> PlacedHoldings | None:
        """Return what is told of this start of a replica, if it counts."""
        row = self._rows.get(replica)
        if row is None or not self.hears_planner:
            return None
        return row.placed if row.placed.started_ms == started_ms else None

    def arrival_in(self, model: str) -> float | None:
        """Return the seconds until a model is expected, if it is coming."""
        now = self._clock()
        return min(
            (
                max(0, row.coming_at - now)
                for row in self._rows.values()
                if row.placed.coming == model
            ),
            default=None,
        )

    def publish(
        self,
        epoch: int,
        placement: Mapping[str, PlacedHoldings],
    ) -> bool:
        """Take in this gateway's own placement; tells if rows changed."""
        if not self._follow(epoch):
            return False
        self._heard_at = self._clock()
        for name in self._rows.keys() - placement.keys():
            self._rows.pop(name)
        number = self._mark.number
        for name, placed in placement.items():
            known = self._rows.get(name)
            if known is None or not known.is_like(placed, self._heard_at):
                number += 1
                self._keep(name, placed, number)
        has_changed = number > self._mark.number
        self._mark = Mark(epoch, number)
        return has_changed

    def take(self, news: PlacementNews) -> bool:
        """Take in what another gateway passes on; tells if it was news."""
        epoch = news.mark.epoch
        is_newer = epoch > self._mark.epoch
        if not epoch or not self._follow(epoch):
            return False
        self._heard_at = max(self._heard_at, self._clock() - news.age_s)
        if news.mark.number <= self._mark.number or self.lacks(news):
            return is_newer
        for name, placed in news.rows.items():
            self._keep(name, placed, news.mark.number)
        self._mark = news.mark
        return True

    def lacks(self, news: PlacementNews) -> bool:
        """Whether rows are missing between those here and some news."""
        known = self._mark.number if news.mark.epoch == self._mark.epoch else 0
        return news.mark.epoch >= self._mark.epoch and news.since > known

    def news_after(
        self, mark: Mark, most_rows: int = _MAX_ROWS
    ) -> PlacementNews:
        """Return the next rows that a gateway at ``mark`` lacks."""
        now = self._clock()
        known = mark.number if mark.epoch == self._mark.epoch else 0
        lacking = sorted(
            (row.number, name)
            for name, row in self._rows.items()
            if row.number > known
        )
        number = self._mark.number
        if len(lacking) > most_rows:
            number = lacking[most_rows - 1][0] if most_rows else known
        rows = {
            name: attrs.evolve(
                self._rows[name].placed,
                coming_in_s=max(0, self._rows[name].coming_at - now),
            )
            for row_number, name in lacking
            if row_number <= number
        }
        return PlacementNews(
            Mark(self._mark.epoch, number),
            min(known, number),
            now - self._heard_at,
            rows,
        )

    def drop(self, replica: str) -> None:
        """Forget a replica that is gone."""
        self._rows.pop(replica, None)

    def _follow(self, epoch: int) -> bool:
        """Start anew for a newer planner; tell if this one may be followed."""
        if epoch > self._mark.epoch:
            self._rows.clear()
            self._mark = Mark(epoch)
        return epoch == self._mark.epoch

    def _keep(self, name: str, placed: PlacedHoldings, number: int) -> None:
        coming_at = self._clock() + placed.coming_in_s
        self._rows[name] = _Row(placed, number, coming_at)
