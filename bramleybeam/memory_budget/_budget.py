"""The byte budget of a process, and who is dropped when it is spent."""

from collections.abc import Iterable, Mapping
from operator import attrgetter
from typing import Final

import attrs

from bramleybeam.memory_budget._account import (
    CONNECTION_BYTES,
    Account,
    Holding,
)

# Share of the budget that large accounts may have, so that there is room for
# small requests while large ones wait for a replica.
_LARGE_SHARE: Final = 0.875
# Share of the budget that the connections themselves may have.
_CONNECTIONS_SHARE: Final = 0.5
# Bytes that one caller may leave unread before its replica is read no further.
_MAX_UNREAD_BYTES: Final = 4_194_304
_UNREAD_SHARE: Final = 0.125

_get_size = attrgetter('size')
_get_progress = attrgetter('progressed_at')


@attrs.define(eq=False)
class MemoryBudget:
    """Accounts of all connections, whose sum stays within ``limit_bytes``.

    At most ``max_connections`` are open. Methods return the accounts that were
    dropped to make room; the caller of the method must free their memory.
    """

    limit_bytes: int
    max_connections: int
    accounts: set[Account] = attrs.field(factory=set)
    used_bytes: int = 0
    _large_bytes: int = 0

    @property
    def max_unread_bytes(self) -> int:
        """The bytes that one caller may leave unread at a time."""
        share = int(self.limit_bytes * _UNREAD_SHARE)
        return min(_MAX_UNREAD_BYTES, share)

    def open(self, now: float) -> tuple[Account | None, tuple[Account, ...]]:
        """Open an account; ``None`` if there are too many connections.

        Among too many, one that is closing is closed first, then the one that
        has been idle for longest, then the one stalled for longest. The same
        holds if the budget is spent on requests that can't be given up.
        """
        dropped: list[Account] = []
        if self._has_all_connections() and not self._close_one(now, dropped):
            return None, ()
        account = Account(now)
        self._count(account, 1)
        dropped.extend(self._make_room(account, now))
        while self.used_bytes > self.limit_bytes:
            if not self._close_one(now, dropped):
                self._count(account, -1)
                return None, tuple(dropped)
        self.accounts.add(account)
        return account, tuple(dropped)

    def close(self, account: Account) -> None:
        """Forget an account, because its connection is closed."""
        if account in self.accounts:
            self.accounts.remove(account)
            self._count(account, -1)
            account.drop()

    def update(
        self, account: Account, now: float, changed: Mapping[Holding, int]
    ) -> tuple[Account, ...]:
        """Replace what an account holds; return the accounts to drop."""
        if account.is_dropped:
            return ()
        self._count(account, -1)
        account.update(now, changed)
        self._count(account, 1)
        return self._make_room(account, now)

    def sum_held(self) -> dict[str, int]:
        """Return the bytes held by purpose, and by connections themselves."""
        totals = {
            str(holding): sum(
                account.held[holding] for account in self.accounts
            )
            for holding in Holding
        }
        return {
            **totals,
            'connections': len(self.accounts) * CONNECTION_BYTES,
        }

    def _count(self, account: Account, sign: int) -> None:
        """Add an account to the sums, or subtract it."""
        self.used_bytes += sign * account.size
        if account.is_large:
            self._large_bytes += sign * account.size

    def _has_all_connections(self) -> bool:
        """Whether one must be closed before another is opened."""
        most = int(self.limit_bytes * _CONNECTIONS_SHARE) // CONNECTION_BYTES
        return len(self.accounts) >= min(self.max_connections, most)

    def _close_one(self, now: float, dropped: list[Account]) -> bool:
        """Close a connection for a new one, and return whether there was one.

        It is added to ``dropped`` unless it was dropped for this one before.
        """
        victim = self._choose_connection(now)
        if victim is None:
            return False
        self.close(victim)
        if victim not in dropped:
            dropped.append(victim)
        return True

    def _make_room(self, charged: Account, now: float) -> tuple[Account, ...]:
        """Drop accounts until the budget is kept or none is left; return them."""
        dropped = []
        while self._is_spent(charged):
            victim = self._choose(charged, now)
            if victim is None:
                break
            self._count(victim, -1)
            victim.drop()
            self._count(victim, 1)
            dropped.append(victim)
        return tuple(dropped)

    def _is_spent(self, charged: Account) -> bool:
        """Whether an account has to be dropped.

        The answer to a request in flight may use the room of small requests.
        """
        if self.used_bytes > self.limit_bytes:
            return True
        large_limit = self.limit_bytes * _LARGE_SHARE
        is_large = charged.is_large and charged.is_droppable
        return is_large and self._large_bytes > large_limit

    def _choose(self, charged: Account, now: float) -> Account | None:
        """Return the account to drop to make room, if there is one.

        It is, in this order: the largest large account that is stalled; the
        charged account, if it is large; the largest large account; the largest
        small account that is stalled; the charged account, unless it holds
        nothing but its connection, which dropping it would not free. Among
        accounts that make progress the charged one goes first, because
        dropping the largest would always hit the request that is nearest to
        its end.
        """
        droppable = [
            account for account in self.accounts if account.is_droppable
        ]
        large = [account for account in droppable if account.is_large]
        stalled = _select_stalled(large, now)
        if stalled:
            return max(stalled, key=_get_size)
        if large:
            return charged if charged in large else max(large, key=_get_size)
        stalled = _select_stalled(droppable, now)
        if stalled:
            return max(stalled, key=_get_size)
        return charged if charged.size > CONNECTION_BYTES else None

    def _choose_connection(self, now: float) -> Account | None:
        """Return the connection to close for a new one, if there is one."""
        for candidates in (
            [account for account in self.accounts if account.is_dropped],
            [account for account in self.accounts if account.is_idle],
            _select_stalled(
                (account for account in self.accounts if account.is_droppable),
                now,
            ),
        ):
            if candidates:
                return min(candidates, key=_get_progress)
        return None


def _select_stalled(accounts: Iterable[Account], now: float) -> list[Account]:
    return [account for account in accounts if account.is_stalled(now)]
