"""The part of a gateway that asks for quotas and spends them."""

import math
from collections.abc import Callable, Mapping
from typing import Final

import attrs

from bramleybeam.catalog import Quota, QuotaBounds
from bramleybeam.quotas._account import Charge, QuotaAccount, Waiter
from bramleybeam.quotas._limits import QuotaLimits
from bramleybeam.quotas._messages import DemandRow, QuotaGrant, QuotaRequest

# Time in seconds after which an unanswered request is replaced by another one;
# it doubles with each one in succession up to the second number while requests
# wait, and to the third one otherwise.
_TIMEOUT_S: Final = 0.06
_MAX_TIMEOUT_S: Final = 0.24
_IDLE_TIMEOUT_S: Final = 1.0
_DEFAULT_INTERVAL_S: Final = 0.2
# Size of the rows of one datagram before compression, and of one row without the
# name of its workspace. The datagrams stay under 1,400 bytes.
_MAX_ROW_BYTES: Final = 1100
_ROW_BYTES: Final = 48


@attrs.frozen
class _SentRequest:
    """A request that may still be answered, until ``expires_at``."""

    request: QuotaRequest
    sent_at: float
    expires_at: float


class QuotaClient:
    """The balances of one gateway.

    ``clock`` returns seconds and advances while the host is suspended;
    ``incarnation`` is a random number of the process.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        incarnation: int,
        bounds: QuotaBounds,
    ) -> None:
        """Start without quotas and without a coordinator."""
        self.epoch = 0
        self.accounts: dict[str, QuotaAccount] = {}
        self._clock = clock
        self._incarnation = incarnation
        self._bounds = bounds
        self._limits: dict[str, QuotaLimits] = {}
        self._active: set[str] = set()
        self._version = 0
        self._sequence = 0
        self._sent: _SentRequest | None = None
        self._failures = 0
        self._interval_s = _DEFAULT_INTERVAL_S
        self._is_introduced = False

    def set_quotas(self, quotas: Mapping[str, Quota], version: int) -> None:
        """Apply the quotas of a version of the configuration, by workspace."""
        now = self._clock()
        self._version = version
        self._limits = {
            name: QuotaLimits.of(quota, self._bounds)
            for name, quota in quotas.items()
        }
        for name, account in tuple(self.accounts.items()):
            limits = self._limits.get(name)
            if limits is None:
                self.accounts.pop(name).drop_all()
            elif account.limits != limits:
                account.change(limits, now)

    def find_limits(self, workspace: str) -> QuotaLimits | None:
        """Return the limits of a workspace, ``None`` if it has no quota."""
        return self._limits.get(workspace)

    def note_epoch(self, epoch: int) -> None:
        """Record the newest epoch; answers to lower ones count no more."""
        if epoch <= self.epoch:
            return
        self.epoch = epoch
        self._sent = None
        self._failures = 0
        self._is_introduced = False
        for account in self.accounts.values():
            account.is_confirmed = False

    def find_account(self, workspace: str) -> QuotaAccount:
        """Return the account of a workspace that has a quota."""
        account = self.accounts.get(workspace)
        if account is None:
            account = QuotaAccount(self._limits[workspace])
            self.accounts[workspace] = account
        return account

    def reserve(self, workspace: str, cost: int) -> Charge | None:
        """Charge a request; ``None`` if the balance doesn't suffice."""
        now = self._clock()
        account = self.find_account(workspace)
        self._active.add(workspace)
        account.note_demand(cost, now)
        reservation = account.take(cost, now)
        if reservation is None:
            return None
        return Charge(account, reservation, self._clock)

    def wait(
        self, workspace: str, cost: int, on_ready: Callable[[], None]
    ) -> Waiter:
        """Let a request wait for a balance; ``on_ready`` is called then."""
        waiter = Waiter(cost, on_ready)
        self.find_account(workspace).waiters.append(waiter)
        self._active.add(workspace)
        return waiter

    def end_wait(self, workspace: str, waiter: Waiter) -> Charge | None:
        """End a wait; returns the charge if the request got its amount."""
        account = self.accounts.get(workspace)
        if account is None:
            return None
        if waiter.reservation is not None:
            return Charge(account, waiter.reservation, self._clock)
        if waiter in account.waiters:
            account.waiters.remove(waiter)
            account.refresh(self._clock())
            account.serve_waiters()
        return None

    def next_due_s(self) -> float:
        """Return the seconds until an unanswered request is replaced."""
        if self._sent is None:
            return math.inf
        return max(0.0, self._sent.expires_at - self._clock())

    def next_request(self) -> QuotaRequest | None:
        """Return the request to send now, ``None`` if none is due.

        It has to be sent at once, or not at all.
        """
        now = self._clock()
        if not self.epoch or not self._limits:
            return None
        if self._sent is not None:
            if now < self._sent.expires_at:
                return None
            self._sent = None
            self._failures += 1
        names = self._list_due(now)
        if not names and self._is_introduced:
            return None
        return self._make_request(names, now)

    def accept(self, grant: QuotaGrant) -> bool:
        """Add what was granted; returns whether the answer counted."""
        sent = self._sent
        if (
            sent is None
            or grant.incarnation != self._incarnation
            or grant.sequence != sent.request.sequence
            or grant.epoch != sent.request.epoch
        ):
            return False
        self._sent = None
        self._failures = 0
        self._interval_s = grant.interval_s
        if sent.request.is_complete:
            self._is_introduced = True
        self._accept_rows(grant, sent)
        return True

    def _accept_rows(self, grant: QuotaGrant, sent: _SentRequest) -> None:
        now = self._clock()
        for name in sent.request.rows:
            account = self.accounts.get(name)
            if account is None:
                continue
            account.is_confirmed = True
            row = grant.rows.get(name)
            if row is not None:
                if grant.version < self._version:
                    # It may be a part of a limit that has fallen since.
                    row = attrs.evolve(row, amount=min(0, row.amount))
                account.accept(row, grant.sequence, sent.sent_at, now)
            if row is None or not grant.is_granting:
                account.note_no_grants(now)

    def _list_due(self, now: float) -> list[str]:
        """Return the workspaces to report, the most urgent first."""
        due = []
        for name in tuple(self._active):
            account = self.accounts.get(name)
            if account is None or account.is_idle(now):
                self._active.discard(name)
                continue
            if account.is_due(now, self._interval_s):
                due.append(name)
        due.sort(key=self._urgency)
        return due

    def _urgency(self, name: str) -> tuple[bool, float]:
        account = self.accounts[name]
        return not account.waiters, account.reported_at

    def _make_request(self, names: list[str], now: float) -> QuotaRequest:
        rows: dict[str, DemandRow] = {}
        left = _MAX_ROW_BYTES
        for name in names:
            left -= _ROW_BYTES + len(name)
            if rows and left < 0:
                break
            rows[name] = self.accounts[name].make_row(now)
        self._sequence += 1
        request = QuotaRequest(
            self.epoch,
            self._incarnation,
            self._sequence,
            self._is_known(rows),
            rows,
        )
        self._sent = _SentRequest(request, now, now + self._timeout_s())
        return request

    def _is_known(self, rows: Mapping[str, object]) -> bool:
        """Whether the coordinator knows all, with the rows of a request."""
        return all(
            name in rows or self.accounts[name].is_known
            for name in self._active
        )

    def _timeout_s(self) -> float:
        is_urgent = any(self.accounts[name].waiters for name in self._active)
        longest_s = _MAX_TIMEOUT_S if is_urgent else _IDLE_TIMEOUT_S
        return min(longest_s, _TIMEOUT_S * 2 ** min(self._failures, 8))
