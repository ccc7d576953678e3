"""Keeps one lease: takes it, renews it, and knows when it is lost."""

import time
from collections.abc import Callable
from enum import Enum, unique
from typing import Final

import structlog
from expression import Result

from bramleybeam.keyvalue._port import Lease, LeaseHeld, LeaseStore

LEASE_TTL_S: Final = 6.0
_SAFETY_MARGIN_S: Final = 1.0
_log = structlog.get_logger('leases')


@unique
class Renewal(Enum):
    """What the store said of a lease; ``UNKNOWN`` when it didn't answer."""

    HELD = 'held'
    LOST = 'lost'
    UNKNOWN = 'unknown'


class LeaseKeeper:
    """Holds a named lease for this process while ``renew`` is called.

    The epoch is valid only while ``epoch`` returns a number: the monotonic
    clock is read at each use, so a holder that was paused past its expiry
    finds out before it acts, without asking the service.
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
        """Store what to hold, for whom, and the clock to judge by.

        The lease counts as lost ``margin`` seconds before its expiry.
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
        """The fencing number while the lease surely holds, else ``None``."""
        lease = self._lease
        if lease is None:
            return None
        if self._clock() >= lease.expires - self._margin:
            return None
        return lease.epoch

    async def renew(self) -> Renewal:
        """Take or renew the lease; a failure leaves the old expiry."""
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
        """Renew as often as a timer says; what became of it is logged."""
        await self.renew()

    def give_up(self) -> None:
        """Stop holding the lease at once: another process has it."""
        self._lease = None

    async def release(self) -> None:
        """Hand the lease over to whoever asks next."""
        if self._lease is not None:
            self._lease = None
            await self._store.release(self.name, self._holder)

    def _note_change(self, lease: Lease) -> None:
        known = self._lease
        if known is None or known.epoch != lease.epoch:
            _log.info('lease_taken', lease=lease.name, epoch=lease.epoch)
