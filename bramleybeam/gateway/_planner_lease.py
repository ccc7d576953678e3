"""The lease of the planner: which gateway may send orders, in which epoch."""

import asyncio
import random
from collections.abc import Callable
from typing import Final

import structlog

from bramleybeam import platform
from bramleybeam.catalog import HostSettings
from bramleybeam.gateway._directory import PLANNER_NAME, Directory
from bramleybeam.gateway._order_history import OrderHistory
from bramleybeam.keyvalue import LeaseKeeper, Renewal

# Time in seconds after which the store ends a lease that is not renewed.
LEASE_TTL_S: Final = 1.2
# A holder without a renewal for this many seconds sends no orders, well before
# its lease expires and another gateway takes it.
_VALIDITY_S: Final = 0.7
# Time in seconds between two renewals.
_RENEW_S: Final = 0.25
# A gateway without a complete order history, for instance one that has just
# started, delays its attempt by this many seconds. It leaves the lease to
# gateways that know the latest orders and can send theirs without a pause.
_INCOMPLETE_HISTORY_DELAY_S: Final = 0.5
# A gateway delays its attempt by this many seconds if another one's link is
# faster by more than the ratio below, because the planner is the root of the
# tree.
_NARROW_LINK_DELAY_S: Final = 0.3
_WIDER_LINK_RATIO: Final = 2
# A gateway that may not know all others delays its attempt by this many seconds,
# because as the coordinator of quotas it would have to wait before it grants.
_UNKNOWN_GATEWAYS_DELAY_S: Final = 0.3
_log = structlog.get_logger('planner')


class PlannerLease:
    """Takes, renews and gives up the lease of the planner.

    Times are in seconds of a clock that also advances while the host is
    suspended.
    """

    def __init__(
        self,
        settings: HostSettings,
        store: platform.PlatformStore,
        directory: Directory,
        order_history: OrderHistory,
        rng: random.Random,
    ) -> None:
        """Start without the lease."""
        self._settings = settings
        self._store = store
        self._directory = directory
        self._order_history = order_history
        self._rng = rng
        self._keeper = LeaseKeeper(
            store,
            PLANNER_NAME,
            settings.name,
            platform.boot_clock,
            LEASE_TTL_S,
            LEASE_TTL_S - _VALIDITY_S,
        )
        self._held_epoch = 0
        self._was_key_listed = False
        self._is_cut_off = False
        self._is_closed = False
        # The store revision read here when another gateway was found to hold the
        # lease; a newer one tells whether it still does.
        self._refused_at_revision = -1
        self._active_from = 0.0
        self._renewed_at = float('-inf')
        # Whether all gateways are known here that may hold balances of quotas.
        self.knows_gateways: Callable[[], bool] = lambda: True
        # Times of the election, and at which the last renewal was sent that the
        # store has confirmed.
        self.elected_at = float('-inf')
        self.confirmed_at = float('-inf')

    @property
    def held_epoch(self) -> int:
        """The epoch of the lease until it is known to be lost, else 0.

        Unlike ``epoch`` it stays while the store doesn't answer.
        """
        return 0 if self._is_closed else self._held_epoch

    @property
    def is_cut_off(self) -> bool:
        """Whether the lease is held and the store does not answer."""
        return self._is_cut_off and bool(self.held_epoch)

    @property
    def epoch(self) -> int:
        """The epoch of the lease while orders may be sent, else 0."""
        if self._is_closed or platform.boot_clock() < self._active_from:
            return 0
        return self._keeper.epoch or self._epoch_while_cut_off()

    async def keep(self) -> bool:
        """Renew the lease, or try to take it if it is free.

        Returns whether this call has taken it.
        """
        if self._is_closed:
            return False
        if self._is_superseded():
            _log.warning('planner_superseded', epoch=self._held_epoch)
            self.give_up()
        elif self._held_epoch:
            await self._renew()
        elif self._directory.is_ready and self._seems_free():
            return await self._try_acquire()
        return False

    def apply_settings(self, settings: HostSettings) -> None:
        """Apply changed settings from the next use on."""
        self._settings = settings

    def give_up(self) -> None:
        """Send no more orders: another planner has or may have the lease."""
        self._keeper.give_up()
        self._store.forget(PLANNER_NAME)
        self._held_epoch = 0
        self._is_cut_off = False

    async def close(self) -> None:
        """Release the lease and never take it again."""
        self._is_closed = True
        await self._keeper.release()

    def _seems_free(self) -> bool:
        """Whether no gateway holds the lease, as far as is known here.

        What was read of the store may lag behind: a planner's key that peers
        have read, or that has refused this gateway, may be newer.
        """
        directory = self._directory
        read_revision = directory.freshness.revision
        return (
            not directory.planner.revision
            and directory.newest_planner.revision <= read_revision
            and read_revision > self._refused_at_revision
        )

    def _epoch_while_cut_off(self) -> int:
        """The epoch while the store is unreachable, else 0.

        It is only used if replicas check epochs: the next planner has a higher
        epoch, and replicas that have seen it refuse orders of a lower one.
        """
        if self._is_cut_off and self._settings.replicas_check_epochs:
            return self._held_epoch
        return 0

    def _is_superseded(self) -> bool:
        """Whether the lease's key is gone or a newer planner is known.

        A missing key only counts after the store has listed it for this
        lease, because what was read of the store may lag behind.
        """
        if not self._held_epoch:
            return False
        listed_revision = self._directory.planner.revision
        if listed_revision == self._held_epoch:
            self._was_key_listed = True
        newest_epoch = max(
            self._directory.newest_planner.revision,
            self._directory.placement.version.epoch,
        )
        is_removed = self._was_key_listed and not listed_revision
        return is_removed or newest_epoch > self._held_epoch

    async def _renew(self) -> None:
        """Renew if due; give up a lease that has expired in the store."""
        now = platform.boot_clock()
        if now - self._renewed_at < _RENEW_S:
            return
        self._renewed_at = now
        renewal = await self._keeper.renew()
        if renewal == Renewal.LOST:
            self.give_up()
            return
        is_cut_off = renewal == Renewal.UNKNOWN
        if not is_cut_off and self._keeper.epoch == self._held_epoch:
            self.confirmed_at = now
        if is_cut_off != self._is_cut_off:
            _log.info(
                'planner_cut_off', epoch=self._held_epoch, value=is_cut_off
            )
        self._is_cut_off = is_cut_off

    async def _try_acquire(self) -> bool:
        """Try to take the lease after a delay; return whether it succeeded."""
        delay_s = self._rng.uniform(0, _RENEW_S / 2)
        if not self._order_history.is_complete:
            delay_s += _INCOMPLETE_HISTORY_DELAY_S
        if self._has_wider_peers():
            delay_s += _NARROW_LINK_DELAY_S
        if not self.knows_gateways():
            delay_s += _UNKNOWN_GATEWAYS_DELAY_S
        await asyncio.sleep(delay_s)
        if self._is_closed or not self._seems_free():
            return False
        asked_at = platform.boot_clock()
        if await self._keeper.renew() == Renewal.LOST:
            freshness = self._directory.freshness
            self._refused_at_revision = freshness.revision
            freshness.request_read()
        epoch = self._keeper.epoch
        if epoch is None:
            return False
        self.confirmed_at = asked_at
        self._activate(epoch)
        return True

    def _has_wider_peers(self) -> bool:
        widest = max(
            (peer.link_bytes_per_s for peer in self._directory.peers.values()),
            default=0,
        )
        return widest > _WIDER_LINK_RATIO * self._settings.link_bytes_per_s

    def _activate(self, epoch: int) -> None:
        """Start an epoch; with an incomplete order history, after a pause."""
        self._held_epoch = epoch
        self._was_key_listed = False
        self._is_cut_off = False
        self._renewed_at = platform.boot_clock()
        self.elected_at = self._renewed_at
        pause_s = 0.0
        if not self._order_history.is_complete:
            pause_s = self._settings.bounds.order_pause_s
        self._active_from = self._renewed_at + pause_s
        _log.info('planner_elected', epoch=epoch, first_order_in_s=pause_s)
