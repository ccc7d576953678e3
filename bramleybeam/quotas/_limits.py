"""How much of a quota may be outstanding, and for how long."""

from collections.abc import Collection
from typing import Final, Self

import attrs

from bramleybeam.catalog import Quota, QuotaBounds, QuotaUnit

# Balances and reservations expire at a gateway this many seconds after it sent
# the last request that was answered, and at the coordinator this long after it
# received that request.
LEASE_S: Final = 3.0
# A coordinator answers for this many seconds after the last renewal of its
# lease in the store, so that an outage of the store doesn't stop grants.
AUTHORITY_S: Final = 4.0
# Time after a request was sent in which a replica's proof that it did not run
# gives the amount back. Until then the amount counts as held.
SETTLE_S: Final = 0.1
# Part of the permitted excess that is used. The rest covers a request that was
# checked just before its gateway was suspended.
_USED_SHARE: Final = 0.9
# Part of it that the bucket may be in debt after a request larger than the burst.
_DEBT_SHARE: Final = 1 / 3
# Part of the outstanding amount up to which reserves are granted.
_RESERVE_SHARE: Final = 0.6


@attrs.frozen
class QuotaLimits:
    """The limits of one workspace that follow from its quota and the bounds.

    The bucket's level and all balances together stay under ``total``, and the
    bucket's debt under ``debt``. Hence what runs in a window is less than
    rate x window + ``total`` + ``debt``.
    """

    rate_per_s: float
    burst: float
    total: float
    debt: float
    reserves: float
    unit: QuotaUnit

    @classmethod
    def of(cls, quota: Quota, bounds: QuotaBounds) -> Self:
        """Return the limits of a quota."""
        allowed = quota.rate_per_s * bounds.window_s + quota.burst
        excess = _USED_SHARE * (
            bounds.excess_share * allowed + bounds.allowance
        )
        debt = excess * _DEBT_SHARE
        return cls(
            quota.rate_per_s,
            quota.burst,
            quota.burst + excess - debt,
            debt,
            _RESERVE_SHARE * (excess - debt),
            quota.unit,
        )

    @property
    def largest_cost(self) -> float:
        """The largest cost of a request that can ever be granted."""
        return self.total + self.debt

    def scale_from(self, previous: Self) -> float:
        """Return the share of a balance that is kept when limits change."""
        if self.unit != previous.unit:
            return 0
        kept = [1.0]
        for now, before in (
            (self.total, previous.total),
            (self.total - self.burst, previous.total - previous.burst),
        ):
            if now < before:
                kept.append(now / before)
        return min(kept)


def divide_fairly(amount: float, wants: Collection[float]) -> float:
    """Return the largest share such that ``amount`` suffices for all.

    Each gets what it wants, but no more than the share.

    >>> divide_fairly(10, (2, 9, 9))
    4.0
    """
    left = amount
    ordered = sorted(wants)
    for position, want in enumerate(ordered):
        share = left / (len(ordered) - position)
        if want > share:
            return share
        left -= want
    return float('inf')
