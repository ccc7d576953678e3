"""Runs the coordinator of quotas while this gateway holds the lease."""

from collections.abc import Callable, Mapping
from typing import Final

import structlog

from bramleybeam import platform
from bramleybeam.catalog import Quota, QuotaBounds
from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._planner_lease import PlannerLease
from bramleybeam.quotas import (
    CoordinatorView,
    QuotaCoordinator,
    QuotaGrant,
    QuotaRequest,
)

# Time in seconds between two announcements to gateways that have not reported,
# and how many of them are told at once.
_ANNOUNCE_S: Final = 0.5
_MAX_ANNOUNCED: Final = 60
_log = structlog.get_logger('quotas')


class QuotaCoordination:
    """Creates a coordinator for each epoch that this gateway holds.

    ``announce`` is called with a message and the address of a gateway that has
    not reported to the coordinator yet.
    """

    def __init__(
        self,
        bounds: QuotaBounds,
        directory: Directory,
        lease: PlannerLease,
        announce: Callable[[QuotaGrant, str], None],
    ) -> None:
        """Start without a coordinator."""
        self._bounds = bounds
        self._directory = directory
        self._lease = lease
        self._announce = announce
        self._coordinator: QuotaCoordinator | None = None
        self._version = 0
        self._announced_at = float('-inf')

    @property
    def outstanding(self) -> dict[str, float]:
        """What gateways hold at most, if this is the coordinator."""
        coordinator = self._coordinator
        return {} if coordinator is None else coordinator.outstanding

    def set_quotas(self, quotas: Mapping[str, Quota], version: int) -> None:
        """Apply the quotas of a version of the configuration."""
        self._version = version
        if self._coordinator is not None:
            now = platform.boot_clock()
            self._coordinator.set_quotas(quotas, version, now)

    def keep(
        self, quotas: Mapping[str, Quota], *, knows_gateways: bool
    ) -> None:
        """Follow the lease, and begin to grant when that is possible.

        ``knows_gateways`` is whether this process knows all gateways that may
        hold balances.
        """
        self._drop_ended()
        epoch = self._lease.held_epoch
        if epoch and self._coordinator is None:
            self._start(epoch, quotas, knows_gateways=knows_gateways)
        if self._coordinator is not None:
            self._grant_if_due(self._coordinator)

    def answer(self, request: QuotaRequest, sender: str) -> QuotaGrant | None:
        """Return the coordinator's answer, ``None`` if there is none."""
        self._drop_ended()
        coordinator = self._coordinator
        if coordinator is None:
            return None
        was_granting = coordinator.is_granting
        now = platform.boot_clock()
        grant = coordinator.answer(request, sender, self._view(), now)
        if coordinator.is_granting and not was_granting:
            self._log_granting(coordinator, now)
        return grant

    def _start(
        self, epoch: int, quotas: Mapping[str, Quota], *, knows_gateways: bool
    ) -> None:
        self._coordinator = QuotaCoordinator(
            epoch,
            self._lease.elected_at,
            self._bounds,
            knows_gateways=knows_gateways,
        )
        self._coordinator.set_quotas(
            quotas, self._version, platform.boot_clock()
        )
        self._announced_at = float('-inf')
        _log.info(
            'quota_coordinator_started',
            epoch=epoch,
            knows_gateways=knows_gateways,
            gateways=len(self._directory.peers),
        )

    def _drop_ended(self) -> None:
        """Drop a coordinator whose epoch has ended."""
        coordinator = self._coordinator
        if coordinator is None or coordinator.epoch == self._lease.held_epoch:
            return
        self._coordinator = None
        _log.info('quota_coordinator_stopped', epoch=coordinator.epoch)

    def _grant_if_due(self, coordinator: QuotaCoordinator) -> None:
        now = platform.boot_clock()
        view = self._view()
        if coordinator.start_if_due(view, now):
            self._log_granting(coordinator, now)
        is_told = coordinator.is_granting
        if is_told or now - self._announced_at < _ANNOUNCE_S:
            return
        self._announced_at = now
        for address in coordinator.list_unheard(view)[:_MAX_ANNOUNCED]:
            if address not in self._local_addresses():
                self._announce(coordinator.announce(), address)

    def _local_addresses(self) -> set[str]:
        """Return the addresses of the host that holds the lease."""
        host = self._directory.newest_planner.host
        return {
            peer.address
            for peer in self._directory.peers.values()
            if peer.host == host
        }

    def _log_granting(self, coordinator: QuotaCoordinator, now: float) -> None:
        _log.info(
            'quota_coordinator_grants',
            epoch=coordinator.epoch,
            waited_s=round(now - coordinator.elected_at, 3),
            unheard=coordinator.list_unheard(self._view()),
        )

    def _view(self) -> CoordinatorView:
        directory = self._directory
        return CoordinatorView(
            directory.newest_planner.revision,
            self._lease.confirmed_at,
            directory.freshness.revision,
            [peer.address for peer in directory.peers.values()],
        )
