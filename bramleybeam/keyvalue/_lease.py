"""Acquires and renews one lease, and detects when it is lost."""

import time
from collections.abc import Callable
from enum import Enum, unique
from typing import Final

import structlog
from expression import Result

from bramleybeam.keyvalue._port import Lease, LeaseHeld, LeaseStore

LEASE_TTL_S: Final = 6.0
# A lease counts as lost this long before its expiry.
_SAFETY_MARGIN_S: Final = 1.0
_log = structlog.get_logger('leases')


@unique
class Renewal(Enum):
    """Result of a renewal; ``UNKNOWN`` if the store did not respond."""

    HELD = 'held'
    LOST = 'lost'
    UNKNOWN = 'unknown'


class LeaseKeeper:
    """Holds a named lease for this process as long as ``renew`` is called.

    The lease is valid only while ``epoch`` returns a number. Each access
    reads the monotonic clock, so a process that was paused until after the
    expiry detects this before it acts, without a call to the service.
    """

    def __init__(
        self,
        store: LeaseStore,
        name: str,
        holder: str,
        clock: Callable[[], float] = time.monotonic,
        ttl: float = LEASE_TTL_S,
        margin: float = _SAFETY_MARGIN_S,
    ) -> None:
        """Store the name of the lease, its holder and the monotonic clock.

        ``clock`` returns seconds. A lease is requested for ``ttl`` seconds
        and counts as lost ``margin`` seconds before its expiry.
        """
        self._ttl = ttl
        self._margin = margin
        self.name = name
        self._store = store
        self._holder = holder
        self._clock = clock
        self._lease: Lease | None = None

    @property
    def epoch(self) -> int | None:
        """The fencing token while the lease is certainly held, or ``None``."""
        lease = self._lease
        if lease is None:
            return None
        if self._clock() >= lease.expires_at - self._margin:
            return None
        return lease.epoch

    async def renew(self) -> Renewal:
        """Acquire or renew the lease; a failure keeps the previous expiry."""
        reply = await self._store.lease(self.name, self._holder, self._ttl)
        match reply:
            case Result(tag='ok', ok=lease):
                self._note_change(lease)
                self._lease = lease
            case Result(error=error):
                _log.debug('lease_not_taken', lease=self.name, error=error)
                is_lost = isinstance(error, LeaseHeld)
                return Renewal.LOST if is_lost else Renewal.UNKNOWN
        return Renewal.HELD

    async def keep(self) -> None:
        """Renew the lease without a return value, for use by a timer.

        A new epoch and a failed renewal are logged.
        """
        await self.renew()

    def give_up(self) -> None:
        """Stop using the lease immediately, because another process has it.

        The store is not called.
        """
        self._lease = None

    async def release(self) -> None:
        """Release the lease in the store so that another process can take it."""
        if self._lease is not None:
            self._lease = None
            await self._store.release(self.name, self._holder)

    def _note_change(self, lease: Lease) -> None:
        previous = self._lease
        if previous is None or previous.epoch != lease.epoch:
            _log.info('lease_taken', lease=lease.name, epoch=lease.epoch)
