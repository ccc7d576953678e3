"""Charges callers' connections to the byte budget of the process."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Final, Protocol

import structlog

from bramleybeam.memory_budget import Account, Holding, MemoryBudget
from bramleybeam.relay._restartable_timer import RestartableTimer

# How often it is measured what slow callers have not read yet.
_UNREAD_CHECK_S: Final = 0.25
_log = structlog.get_logger('callers')


class BudgetedConnection(Protocol):
    """A connection that frees its memory when it is told to."""

    def drop(self) -> None:
        """Refuse an incomplete request, or close the connection."""

    def measure_unread(self) -> None:
        """Charge the bytes that the caller has not read."""


class CallerBudget:
    """Connects the accounts of a budget with the connections.

    ``closed`` counts the connections that were closed, by reason.
    """

    def __init__(
        self, budget: MemoryBudget, clock: Callable[[], float]
    ) -> None:
        """Store the budget, and a clock that returns seconds."""
        self.budget = budget
        self.closed: Counter[str] = Counter()
        self._clock = clock
        self._connections: dict[Account, BudgetedConnection] = {}
        self._slow: set[BudgetedConnection] = set()
        self._timer = RestartableTimer(self._measure_slow)
        self._is_measuring = False

    def open(self, connection: BudgetedConnection) -> Account | None:
        """Return the account of a connection; ``None`` if it is one too many."""
        account, dropped = self.budget.open(self._clock())
        if account is None:
            self.note_closed('connections', None)
        else:
            self._connections[account] = connection
        self._drop(dropped)
        return account

    def close(self, account: Account) -> None:
        """Forget a connection that is closed."""
        self.budget.close(account)
        connection = self._connections.pop(account, None)
        if connection is not None:
            self._slow.discard(connection)

    def charge(self, account: Account, changed: Mapping[Holding, int]) -> None:
        """Replace what a connection holds, and drop others if needed."""
        dropped = self.budget.update(account, self._clock(), changed)
        if changed.get(Holding.UNREAD) and account in self._connections:
            self._slow.add(self._connections[account])
            self._start_timer()
        self._drop(dropped)

    def note_closed(self, reason: str, account: Account | None) -> None:
        """Count and log a connection that is closed for ``reason``."""
        self.closed[reason] += 1
        now = self._clock()
        held = account.describe() if account else {}
        _log.warning(
            'caller_closed',
            reason=reason,
            no_progress_s=round(now - account.progressed_at, 2)
            if account
            else 0,
            used_bytes=self.budget.used_bytes,
            limit_bytes=self.budget.limit_bytes,
            connections=len(self.budget.accounts),
            **held,
        )

    def _drop(self, accounts: Iterable[Account]) -> None:
        for account in accounts:
            connection = self._connections.get(account)
            if connection is not None:
                self.note_closed(account.reason, account)
                connection.drop()

    def _start_timer(self) -> None:
        if not self._is_measuring:
            self._is_measuring = True
            self._timer.start(_UNREAD_CHECK_S)

    def _measure_slow(self) -> None:
        """Measure what callers have read since the last time."""
        self._is_measuring = False
        slow = tuple(self._slow)
        self._slow.clear()
        for connection in slow:
            connection.measure_unread()
