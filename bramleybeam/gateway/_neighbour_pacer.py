"""How much a neighbour in the tree may be sent, and when."""

from typing import Final

import attrs

from bramleybeam.limits import ByteBudget

# Shortest time between two regular messages to a neighbour.
PERIOD_S: Final = 0.25
# A node may spend 27 KB/s on control, both ways together (letter 1); it has at
# most a parent, three children in its zone and three heads of other zones.
EDGE_BYTES_PER_S: Final = 1_800.0
# The part of them for whole tables; the rest is for what is told at once.
UP_TABLES_SHARE: Final = 0.65
DOWN_TABLES_SHARE: Final = 0.3
_NEWS_CREDIT_BYTES: Final = 500.0
# Longest time between two messages to a child.
_PULSE_S: Final = 0.3
# About the bytes of a summary without tables, and of each row in it.
_PULSE_BYTES: Final = 130
_ROW_BYTES: Final = 60
# Rows that there must be room for before some are sent, so that many share
# the bytes of one message when there is much to tell.
_LEAST_ROWS: Final = 4


def _make_budget(pacer: 'NeighbourPacer') -> ByteBudget:
    rate = EDGE_BYTES_PER_S * (1 - pacer.tables_share)
    return ByteBudget(rate, rate, _NEWS_CREDIT_BYTES)


@attrs.define
class NeighbourPacer:
    """What a neighbour was sent, and what it may be sent now.

    ``tables_share`` is the part of its bytes for whole tables: they keep to a
    period that grows with their size. ``budget`` bounds what is told at once,
    so that neither can crowd out the other.
    """

    address: str
    tables_share: float
    budget: ByteBudget = attrs.field(
        default=attrs.Factory(_make_budget, takes_self=True)
    )
    sent_at: float = float('-inf')
    last_sent_at: float = float('-inf')
    period_s: float = PERIOD_S

    def is_due(self, now: float) -> bool:
        """Whether it is time for whole tables."""
        return now - self.sent_at >= self.period_s

    def is_keepalive_due(self, now: float) -> bool:
        """Whether it is time to show that this gateway lives."""
        return now - self.last_sent_at >= _PULSE_S

    def count_rows(self, now: float) -> int:
        """Return how many rows of the planner may be sent now."""
        room = self.budget.available_bytes(now) - _PULSE_BYTES
        rows = int(room / _ROW_BYTES)
        return rows if rows >= _LEAST_ROWS else 0

    def note_sent(self, size: int, now: float) -> None:
        """Note whole tables; the next wait longer after long ones."""
        self.sent_at = now
        self.last_sent_at = now
        rate = EDGE_BYTES_PER_S * self.tables_share
        self.period_s = max(PERIOD_S, size / rate)
