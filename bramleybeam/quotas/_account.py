"""What a gateway holds of one workspace's quota."""

import enum
import math
from collections import deque
from collections.abc import Callable, Iterable
from itertools import chain
from typing import Final

import attrs

from bramleybeam.quotas._demand import DemandAverage
from bramleybeam.quotas._limits import LEASE_S, SETTLE_S, QuotaLimits
from bramleybeam.quotas._messages import DemandRow, GrantRow

# A balance is reported at least this often, in seconds.
_REPORT_S: Final = 1.0
# Multiple of the reserve above which a part of the balance is given up.
_EXCESS_FACTOR: Final = 2
# Longest time until unmet demand is reported again, and for which the statement
# that a quota is used up counts.
_MAX_RETRY_S: Final = 0.2
_STATEMENT_S: Final = 1.0


@enum.unique
class ReservationState(enum.Enum):
    """What became of the amount that a request was charged.

    ``SENT`` amounts go back if the replica proves at once that it did not run
    the request; ``SPENT`` ones don't. ``LAPSED`` ones have to be reserved again.
    """

    RESERVED = 'reserved'
    SENT = 'sent'
    SPENT = 'spent'
    LAPSED = 'lapsed'


@attrs.define(eq=False)
class Reservation:
    """The amount of one request; ``sent_at`` is its first send."""

    cost: int
    state: ReservationState = ReservationState.RESERVED
    sent_at: float = 0


@attrs.define(eq=False)
class Waiter:
    """A request that waits for a balance.

    ``on_ready`` is called when ``reservation`` is set.
    """

    cost: int
    on_ready: Callable[[], None]
    reservation: Reservation | None = None


@attrs.define
class Totals:
    """Sums for metrics, since the start."""

    granted: int = 0
    spent: int = 0
    returned: int = 0


class QuotaAccount:
    """The balance of one workspace, its reservations and waiting requests.

    Times are in seconds of a clock that advances while the host is suspended.
    """

    def __init__(self, limits: QuotaLimits) -> None:
        """Start without a balance."""
        self.limits = limits
        self.balance = 0
        self.totals = Totals()
        self.granted_at = -math.inf
        self.reported_at = -math.inf
        self.is_confirmed = False
        self.waiters: deque[Waiter] = deque()
        self._answered = 0
        self._expires_at = -math.inf
        self._reserved: dict[Reservation, None] = {}
        self._sent: deque[Reservation] = deque()
        self._demand = DemandAverage()
        self._retry_at = -math.inf
        self._used_up_until = -math.inf
        self._used_up_at = -math.inf

    @property
    def held(self) -> int:
        """What may still run without a further grant."""
        return self.balance + _sum_costs(self._reserved, self._sent)

    def refresh(self, now: float) -> None:
        """Drop what has expired; amounts sent some time ago are spent."""
        if now >= self._expires_at:
            self.drop_all()
        while self._sent and now - self._sent[0].sent_at >= SETTLE_S:
            self._sent.popleft().state = ReservationState.SPENT

    def drop_all(self) -> None:
        """Drop the balance and all reservations."""
        self.balance = 0
        for reservation in self._reserved:
            reservation.state = ReservationState.LAPSED
        self._reserved.clear()
        self._spend_sent()

    def change(self, limits: QuotaLimits, now: float) -> None:
        """Apply other limits; lower ones reduce what is held in proportion."""
        self.refresh(now)
        kept = math.floor(self.held * limits.scale_from(self.limits))
        self.limits = limits
        if self.held - self.balance > kept:
            self._spend_sent()
        while _sum_costs(self._reserved) > kept:
            reservation, _ = self._reserved.popitem()
            reservation.state = ReservationState.LAPSED
        committed = self.held - self.balance
        self.balance = min(self.balance, kept - committed)

    def note_demand(self, cost: int, now: float) -> None:
        """Count a request in the average demand."""
        self._demand.note(cost, now)

    def take(self, cost: int, now: float) -> Reservation | None:
        """Reserve an amount, unless others wait or it isn't there."""
        self.refresh(now)
        if self.waiters or self.balance < cost:
            return None
        return self._reserve(cost)

    def serve_waiters(self) -> None:
        """Reserve amounts for the requests that wait, in their order."""
        while self.waiters and self.balance >= self.waiters[0].cost:
            waiter = self.waiters.popleft()
            waiter.reservation = self._reserve(waiter.cost)
            waiter.on_ready()

    def may_send(self, reservation: Reservation, now: float) -> bool:
        """Whether a request may be sent: its amount is reserved or spent."""
        self.refresh(now)
        return reservation.state != ReservationState.LAPSED

    def note_sent(self, reservation: Reservation, now: float) -> None:
        """Spend a reservation, at the first send of its request."""
        if reservation.state != ReservationState.RESERVED:
            return
        self._reserved.pop(reservation)
        reservation.state = ReservationState.SENT
        reservation.sent_at = now
        self._sent.append(reservation)
        self.totals.spent += reservation.cost

    def note_not_run(self, reservation: Reservation, now: float) -> None:
        """Take back what a replica has proved not to have run.

        The coordinator counts a sent amount as held for ``SETTLE_S`` only. A
        later proof comes too late: the request is charged again when it is
        sent again.
        """
        self.refresh(now)
        if reservation.state == ReservationState.SENT:
            self._sent.remove(reservation)
            self._reserved[reservation] = None
            reservation.state = ReservationState.RESERVED
            self.totals.spent -= reservation.cost
        else:
            reservation.state = ReservationState.LAPSED

    def release(self, reservation: Reservation, now: float) -> None:
        """End a request; what it has not used goes back to the balance."""
        self.refresh(now)
        if reservation.state == ReservationState.RESERVED:
            self._reserved.pop(reservation)
            reservation.state = ReservationState.LAPSED
            self.balance += reservation.cost
            self.totals.returned += reservation.cost
            self.serve_waiters()

    def is_due(self, now: float, interval_s: float) -> bool:
        """Whether this account should be reported to the coordinator."""
        if self.waiters and now >= self._retry_at:
            return True
        if not self.is_known and now >= self._retry_at:
            return True
        since_s = now - self.reported_at
        if self.held and since_s >= max(_REPORT_S, interval_s):
            return True
        is_low = 2 * self.balance < self._demand.target(now)
        return is_low and since_s >= interval_s

    @property
    def is_known(self) -> bool:
        """Whether the coordinator knows what is held, if anything is."""
        return self.is_confirmed or not self.held

    def is_idle(self, now: float) -> bool:
        """Whether nothing is held, wanted, or waited for."""
        self.refresh(now)
        return not (self.held or self.waiters or self._demand.target(now))

    def make_row(self, now: float) -> DemandRow:
        """Return the row for a request; what is not needed is given up."""
        self.refresh(now)
        target = self._demand.target(now)
        queued = sum(waiter.cost for waiter in self.waiters)
        returned = 0
        if self.balance > queued + _EXCESS_FACTOR * target:
            returned = self.balance - queued - target
            self.balance -= returned
            self.totals.returned += returned
        spare = max(0, self.balance - queued)
        first = self.waiters[0].cost if self.waiters else 0
        return DemandRow(
            self.held,
            spare,
            max(0, queued - self.balance),
            max(0, first - self.balance),
            max(0, target - spare),
            self._demand.unit_cost,
            returned,
            self._answered,
        )

    def accept(
        self, row: GrantRow, sequence: int, sent_at: float, now: float
    ) -> None:
        """Add what was granted in answer to the row sent at ``sent_at``."""
        self.refresh(now)
        self._answered = sequence
        self._expires_at = sent_at + LEASE_S
        self.reported_at = sent_at
        if row.amount > 0:
            self.granted_at = now
            self.totals.granted += row.amount
        self.balance = max(0, self.balance + row.amount)
        self._note_wait(row.wait_s, now)
        self.refresh(now)
        self.serve_waiters()

    def note_no_grants(self, now: float) -> None:
        """Record that the coordinator grants nothing of this quota yet."""
        self._retry_at = now + _MAX_RETRY_S
        self.reported_at = now
        self._used_up_at = -math.inf

    def find_wait_s(self, now: float) -> float | None:
        """Return the seconds until a used-up quota can be used again.

        ``None`` if the coordinator has not said lately that it is used up.
        """
        if now - self._used_up_at > _STATEMENT_S:
            return None
        return max(0.0, self._used_up_until - now)

    def _note_wait(self, wait_s: float | None, now: float) -> None:
        """Record when unmet demand can be met, ``None`` if there is none."""
        if wait_s is None:
            self._retry_at = -math.inf
            self._used_up_at = -math.inf
            return
        self._retry_at = now + min(_MAX_RETRY_S, wait_s)
        self._used_up_at = now
        self._used_up_until = now + wait_s

    def _spend_sent(self) -> None:
        for sent in self._sent:
            sent.state = ReservationState.SPENT
        self._sent.clear()

    def _reserve(self, cost: int) -> Reservation:
        reservation = Reservation(cost)
        self.balance -= cost
        self._reserved[reservation] = None
        return reservation


@attrs.frozen(eq=False)
class Charge:
    """The charge of one request; ``clock`` returns seconds."""

    account: QuotaAccount
    reservation: Reservation
    clock: Callable[[], float]

    @property
    def is_valid(self) -> bool:
        """Whether the request may be sent."""
        return self.account.may_send(self.reservation, self.clock())

    def note_sent(self) -> None:
        """Record that the request was sent to a replica."""
        self.account.note_sent(self.reservation, self.clock())

    def note_not_run(self) -> None:
        """Record that the replica has proved not to have run the request."""
        self.account.note_not_run(self.reservation, self.clock())

    def release(self) -> None:
        """End the request; what it has not used goes back."""
        self.account.release(self.reservation, self.clock())


def _sum_costs(*groups: Iterable[Reservation]) -> int:
    return sum(entry.cost for entry in chain.from_iterable(groups))
