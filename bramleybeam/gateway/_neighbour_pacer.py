"""Limits the bytes a second sent to a neighbour in the tree."""

from typing import Final

import attrs

from bramleybeam.limits import ByteBudget

# Shortest time in seconds between two periodic messages to a neighbour.
PERIOD_S: Final = 0.25
# Requirement: a host may use 27 KB/s for control traffic, sent and received
# together. Half of it, less a margin, is for what it sends, in equal parts for its
# neighbours: a parent, up to 3 children in its zone and 2 heads of other zones.
_SENT_BYTES_PER_S: Final = 11_000.0
# Bytes a second for all messages together, of which those that neighbours leave
# over are for notices of work, and the least for these.
_ALL_SENT_BYTES_PER_S: Final = 13_000.0
_MIN_NOTICE_BYTES_PER_S: Final = 2_000.0
# Most bytes a second for one neighbour, which may have many others.
_MAX_NEIGHBOUR_BYTES_PER_S: Final = 4_000.0
# Share of these bytes for complete tables, sent to a parent and to a child; the
# rest is for messages that are sent immediately.
PARENT_TABLES_SHARE: Final = 0.65
CHILD_TABLES_SHARE: Final = 0.3
# Bytes that may be sent immediately ahead of the rate.
_CREDIT_BYTES: Final = 500.0
# Longest time in seconds between two messages to a child.
_KEEPALIVE_S: Final = 0.3
# Approximate size of a parent update without tables, and of each row in it.
_KEEPALIVE_BYTES: Final = 130
_ROW_BYTES: Final = 60
# Rows that the budget must allow before any are sent, so that at a high rate of
# changes many rows share the overhead of one message. Few changes find the budget
# full, and are sent at once.
_MIN_ROWS: Final = 16


def neighbour_rate(neighbours: int) -> float:
    """Return the bytes a second for each of a gateway's neighbours."""
    return min(
        _MAX_NEIGHBOUR_BYTES_PER_S, _SENT_BYTES_PER_S / max(1, neighbours)
    )


def notice_rate(neighbours: int) -> float:
    """Return the bytes a second for notices of work to all gateways."""
    left_over = _ALL_SENT_BYTES_PER_S - neighbours * neighbour_rate(neighbours)
    return max(_MIN_NOTICE_BYTES_PER_S, left_over)


def _make_budget(pacer: 'NeighbourPacer') -> ByteBudget:
    rate = pacer.bytes_per_s * (1 - pacer.tables_share)
    return ByteBudget(rate, rate, _CREDIT_BYTES)


@attrs.define
class NeighbourPacer:
    """What was sent to a neighbour, and what may be sent to it now.

    ``bytes_per_s`` are the bytes for it, ``tables_share`` is the share of them
    for complete tables. Their period ``period_s`` grows with their size.
    ``budget`` limits the messages that are sent immediately, so that neither
    kind can starve the other. ``tables_sent_at`` is the time of the last
    complete tables, ``last_sent_at`` that of the last message that counts as a
    keepalive. Times are in seconds.
    """

    address: str
    tables_share: float
    bytes_per_s: float
    budget: ByteBudget = attrs.field(
        default=attrs.Factory(_make_budget, takes_self=True)
    )
    tables_sent_at: float = float('-inf')
    last_sent_at: float = float('-inf')
    period_s: float = PERIOD_S

    def set_rate(self, bytes_per_s: float) -> None:
        """Change the bytes a second from now on."""
        self.bytes_per_s = bytes_per_s
        self.budget.rate = bytes_per_s * (1 - self.tables_share)
        self.budget.burst = self.budget.rate

    def is_due(self, now: float) -> bool:
        """Whether complete tables are due."""
        return now - self.tables_sent_at >= self.period_s

    def is_keepalive_due(self, now: float) -> bool:
        """Whether a message is due to show that this gateway responds."""
        return now - self.last_sent_at >= _KEEPALIVE_S

    def count_rows(self, now: float) -> int:
        """Return the number of placement rows that may be sent now."""
        rows = _rows_in(self.budget.available_bytes(now))
        full_budget = self.budget.burst + self.budget.credit
        return rows if rows >= min(_MIN_ROWS, _rows_in(full_budget)) else 0

    def note_tables_sent(self, size: int, now: float) -> None:
        """Record complete tables of ``size`` bytes, and set their period.

        The period is the time in which the rate allows that many bytes.
        """
        self.tables_sent_at = now
        self.last_sent_at = now
        rate = self.bytes_per_s * self.tables_share
        self.period_s = max(PERIOD_S, size / rate)


def _rows_in(available_bytes: float) -> int:
    """Return the number of rows that fit into a message of some bytes."""
    return max(0, int((available_bytes - _KEEPALIVE_BYTES) / _ROW_BYTES))
