"""The token bucket of one workspace, and what is outstanding of it."""

import math
from typing import Final

import attrs

from bramleybeam.quotas._limits import LEASE_S, QuotaLimits, divide_fairly
from bramleybeam.quotas._messages import DemandRow, GrantRow

# Time in seconds for which unmet demand of a gateway counts after its report.
_FRESH_S: Final = 0.6
# Bounds of the time that is named to gateways with unmet demand, in seconds.
_MIN_WAIT_S: Final = 0.05
_MAX_WAIT_S: Final = 60.0
# Least part of it for each gateway with unmet demand. They ask again after that
# time, and the bytes of the answers stay under 20 KB/s.
_WAIT_PER_GATEWAY_S: Final = 0.008
# Time in seconds after which a gateway asks again that gave up a part.
_MAX_RETRY_S: Final = 0.2
_ROUNDING: Final = 1e-6


@attrs.define
class _Record:
    """What a gateway has of the quota, as last reported, and its demand.

    ``unmet_since`` is the time from which on its demand was unmet, infinite if
    it is met.
    """

    received_at: float
    outstanding: float
    row: DemandRow
    unmet_since: float = math.inf
    granted: int = 0
    sequence: int = 0


class WorkspaceBucket:
    """Grants parts of one quota; times are in seconds of the boot clock."""

    def __init__(self, limits: QuotaLimits, now: float) -> None:
        """Start empty; the bucket fills from ``now`` on."""
        self.limits = limits
        self.level = 0.0
        self.starts_at = now
        self._filled_at = now
        self._records: dict[int, _Record] = {}

    @property
    def outstanding(self) -> float:
        """What gateways hold at most, all together."""
        return sum(record.outstanding for record in self._records.values())

    def start(self, now: float, idle_s: float) -> None:
        """Begin to fill, after the grants of an earlier coordinator.

        That one may have left a debt, and has granted nothing for ``idle_s``
        seconds.
        """
        paid = idle_s * self.limits.rate_per_s
        room = self.limits.total - self.outstanding
        self.level = min(0, room, paid - self.limits.debt)
        self.starts_at = now
        self._filled_at = now

    def change(self, limits: QuotaLimits, now: float) -> None:
        """Apply other limits; what exceeds them is dropped."""
        self.refresh(now)
        if limits.unit != self.limits.unit:
            self.level = 0
        self.limits = limits
        self._add(0)

    def refresh(self, now: float) -> None:
        """Add what the time brought, and forget gateways that are silent."""
        elapsed_s = max(0, now - self._filled_at)
        self._filled_at = max(now, self._filled_at)
        self._add(elapsed_s * self.limits.rate_per_s)
        for key, record in tuple(self._records.items()):
            if now - record.received_at >= LEASE_S:
                self._records.pop(key)

    def note(self, gateway: int, row: DemandRow, now: float) -> None:
        """Replace the record of a gateway by what it reports.

        A grant that it never received, and what it gave up, go back to the
        bucket.
        """
        self.refresh(now)
        previous = self._records.get(gateway)
        record = _Record(now, row.held, row)
        self._records[gateway] = record
        if previous is None:
            return
        unused = row.returned
        if row.answered < previous.sequence:
            unused += max(0, previous.granted)
        self._add(min(unused, max(0, previous.outstanding - row.held)))
        if row.waiting:
            record.unmet_since = previous.unmet_since

    def grant(self, gateway: int, now: float, sequence: int) -> GrantRow:
        """Decide what a gateway gets that has just reported."""
        record = self._records[gateway]
        record.sequence = sequence
        cut = self._find_cut(record)
        if cut:
            wait_s = _MAX_RETRY_S if record.row.waiting else None
            return GrantRow(-cut, wait_s)
        amount = 0
        if record.row.waiting:
            amount = self._grant_waiting(record, now)
        is_met = amount >= record.row.waiting
        if is_met:
            amount += self._grant_reserve(record, now, amount)
        self.level -= amount
        record.outstanding += amount
        record.granted = amount
        if is_met or amount:
            record.unmet_since = math.inf
        if is_met:
            return GrantRow(amount)
        record.unmet_since = min(record.unmet_since, now)
        return GrantRow(amount, self._estimate_wait(record, amount, now))

    def _add(self, amount: float) -> None:
        """Fill the bucket, as far as the limits permit.

        The level and all balances together don't rise above the total. A debt
        is not made larger by a limit that falls.
        """
        room = self.limits.total - self.outstanding
        highest = max(room, min(0.0, self.level))
        self.level = min(self.level + amount, self.limits.burst, highest)

    def _find_cut(self, record: _Record) -> int:
        """Return what a gateway has to give up, because limits have fallen."""
        outstanding = self.outstanding
        permitted = self.limits.total - min(0, self.level)
        if outstanding <= permitted + _ROUNDING:
            return 0
        kept = permitted / outstanding
        return math.ceil(record.outstanding * (1 - kept))

    def _list_unmet(self, now: float) -> list[_Record]:
        return [
            record
            for record in self._records.values()
            if record.row.waiting > record.granted
            and now - record.received_at < _FRESH_S
        ]

    def _grant_waiting(self, record: _Record, now: float) -> int:
        """Return what is granted for requests that wait.

        At least what the first of them needs, since a part of it is of no use.
        The gateway whose demand is unmet for the longest time goes first.
        """
        row = record.row
        unmet = self._list_unmet(now)
        oldest = min(unmet, key=lambda other: other.unmet_since)
        is_turn = oldest.unmet_since >= record.unmet_since
        available = max(0.0, self.level)
        if not is_turn:
            available = max(0.0, available - oldest.row.first)
        share = divide_fairly(
            available, [other.row.waiting - other.granted for other in unmet]
        )
        if row.waiting <= share:
            return row.waiting
        if row.first <= share:
            return math.floor(share)
        if is_turn:
            return self._grant_first(row)
        return 0

    def _grant_first(self, row: DemandRow) -> int:
        """Return what is granted for the first request that waits.

        One that is larger than the burst is granted when the bucket is full, and
        leaves it in debt. An even larger one is granted in parts.
        """
        if row.first <= self.level:
            return row.first
        if self.level < self.limits.burst - _ROUNDING:
            return 0
        if row.first - self.level <= self.limits.debt:
            return row.first
        return math.floor(max(0, self.level))

    def _grant_reserve(self, record: _Record, now: float, granted: int) -> int:
        """Return what is granted beyond the demand of waiting requests.

        Reserves come after all requests that wait, and are divided by what the
        gateways expect to use. Less than a typical request's cost is only
        granted as part of a larger share.
        """
        row = record.row
        unmet = sum(
            other.row.waiting - other.granted
            for other in self._list_unmet(now)
            if other is not record
        )
        available = self.level - granted - unmet
        room = self.limits.reserves - self.outstanding - granted
        if not row.reserve or min(available, room) < 1:
            return 0
        share = divide_fairly(
            self.limits.reserves,
            [
                other.row.spare + other.row.reserve
                for other in self._records.values()
            ],
        )
        allowed = max(share, row.unit_cost) - row.spare
        amount = math.floor(min(row.reserve, allowed, available, room))
        is_useful = row.spare + amount >= row.unit_cost
        return amount if amount > 0 and is_useful else 0

    def _estimate_wait(self, record: _Record, amount: int, now: float) -> float:
        """Return the seconds until a gateway's unmet demand can be met."""
        unmet = self._list_unmet(now)
        ahead = sum(
            other.row.first
            for other in unmet
            if other.unmet_since < record.unmet_since
        )
        left = record.row.first
        if amount >= record.row.first:
            left = record.row.waiting - amount
        needed = min(left, max(self.limits.burst, 1))
        missing = ahead + needed - self.level
        wait_s = missing / self.limits.rate_per_s
        shortest_s = max(_MIN_WAIT_S, len(unmet) * _WAIT_PER_GATEWAY_S)
        return min(_MAX_WAIT_S, max(shortest_s, wait_s))
