"""The gateway process: creates its parts, starts them and stops them."""

import asyncio
import random
import time
from collections.abc import Mapping
from typing import Final

import attrs
import structlog

from bramleybeam import platform
from bramleybeam.catalog import HostSettings
from bramleybeam.gateway._choose import Chooser
from bramleybeam.gateway._cluster_state import make_cluster_state
from bramleybeam.gateway._exchange import PeerExchange
from bramleybeam.gateway._follower import StoreFollower
from bramleybeam.gateway._follower_pace import (
    PLANNER_BATCH_DELAY_S,
    make_pace,
)
from bramleybeam.gateway._forward import Forwarder
from bramleybeam.gateway._host_endpoints import HostEndpoints
from bramleybeam.gateway._memory_refusals import limit_memory
from bramleybeam.gateway._metrics import GatewayMetrics
from bramleybeam.gateway._order_history import OrderHistory
from bramleybeam.gateway._parent import ParentSelector
from bramleybeam.gateway._peers import PeerPort
from bramleybeam.gateway._planner import Planner
from bramleybeam.gateway._planner_lease import PlannerLease
from bramleybeam.gateway._quotas import QuotaKeeper
from bramleybeam.gateway._record_keepers import RecordKeepers
from bramleybeam.gateway._registration import RENEW_S, make_registration
from bramleybeam.gateway._reply_observer import note_leaving
from bramleybeam.gateway._settings_reload import SettingsReloader
from bramleybeam.gateway._status import StatusReporter, Traffic
from bramleybeam.gateway._tree import Peer
from bramleybeam.gateway._work_notices import WorkNotifier
from bramleybeam.relay import CallerServer, ConnectionPool
from bramleybeam.timers import Coalescer, TaskSet, TimerService
from bramleybeam.workspaces import KeyAge, max_key_age_s

# Periods of the timers, in seconds: the exchange with neighbours, the planning
# rounds, the closing of idle connections to replicas and the lease.
_EXCHANGE_S: Final = 0.1
_PLAN_S: Final = 0.05
_DROP_IDLE_S: Final = 0.5
_LEASE_CHECK_S: Final = 0.1
# Period at which the planner publishes its placement without changes.
_PUBLISH_S: Final = 0.25
_STATUS_S: Final = 1.0
# Period at which balances of quotas are checked; requests that wait for one are
# reported at once.
_QUOTAS_S: Final = 0.1
# Period at which the settings file is read, because it may change without a signal.
_SETTINGS_S: Final = 5.0
# Time until the load balancer has stopped sending requests to a gateway whose
# readiness check fails.
_BALANCER_LAG_S: Final = 2.6
# Part of the grace period that is reserved for the exit of the process.
_EXIT_RESERVE_S: Final = 0.4
_log = structlog.get_logger('gateway')


class GatewayDaemon:
    """A gateway between callers, replicas, the store and other gateways."""

    def __init__(self, settings: HostSettings, seed: int | None = None) -> None:
        """Create the parts; ``seed`` makes random choices repeatable."""
        rng = random.Random(seed)
        self._settings = settings
        self._is_stopping = False
        self._traffic = Traffic()
        self._store = platform.PlatformStore(
            settings.store_address, on_call=self._note_store_call
        )
        keys = KeyAge(
            platform.boot_clock, max_key_age_s(settings.bounds.revocation_s)
        )
        cluster_state = make_cluster_state(
            time.monotonic, rng, keys=keys, boot_clock=platform.boot_clock
        )
        self._access = cluster_state.access
        self._directory = cluster_state.directory
        self._apply_pace()
        self._metrics = GatewayMetrics(cluster_state, self._is_planner)
        self._timers = TimerService(rng)
        self._tasks = TaskSet()
        pool = ConnectionPool(self._directory.now)
        self._chooser = Chooser(
            cluster_state, settings.zone, rng, pool.has_idle
        )
        order_history = OrderHistory(
            settings.bounds.order_pause_s, platform.boot_clock
        )
        lease = PlannerLease(
            settings, self._store, self._directory, order_history, rng
        )
        self._quotas = QuotaKeeper(
            settings,
            self._directory,
            lease,
            lambda address, datagram: self._peers.send(address, datagram),
        )
        self._metrics.read_quotas = self._quotas.read_totals
        self._forwarder = Forwarder(
            settings, cluster_state, self._chooser, pool, rng, self._metrics
        )
        self._forwarder.charge = self._quotas.charge
        self._planner = Planner(
            settings.name,
            cluster_state,
            lease,
            platform.ReplicaOrders(
                lambda replica: note_leaving(cluster_state, replica)
            ),
            order_history,
            self._announce_orders,
        )
        self._follower = StoreFollower(
            self._store, self._directory, rng, self._batch_delay_s
        )
        cluster_state.suspects.may_try = self._is_planner
        self._record_keepers = RecordKeepers(
            cluster_state, self._store, settings.name, self._is_planner
        )
        self._local_peer = Peer(
            f'{settings.ip_address}:{settings.peer_port}',
            settings.name,
            settings.zone,
            settings.link_bytes_per_s,
        )
        self._peers = PeerPort(
            self._directory,
            self._local_peer.address,
            self._traffic,
        )
        self._coalescer = Coalescer(self._replan_or_send_pending)
        self._exchange = PeerExchange(
            cluster_state,
            order_history,
            ParentSelector(self._local_peer, self._directory),
            self._peers.send,
            self._coalescer.trigger,
            self._is_planner,
        )
        self._work_notifier = WorkNotifier(
            cluster_state, self._peers, self._exchange, rng
        )
        self._peers.receivers.extend(
            (
                self._work_notifier.receive,
                self._quotas.receive,
                self._exchange.receive,
            )
        )
        self._chooser.work.on_sent.append(self._work_notifier.notify)
        self._status = StatusReporter(
            self._directory, self._traffic, self._timers.take_lateness
        )
        self._reloader = SettingsReloader(
            settings, platform.load_host_settings, self._apply_settings
        )
        self._callers = CallerServer(settings.listen, self._forwarder.handle)
        limit_memory(self._callers, settings, self._metrics)
        self._endpoints = HostEndpoints(
            settings, self._metrics, self._accepts_requests
        )
        self._published_at = float('-inf')
        self._directory.on_change.append(self._apply_limits)
        cluster_state.demand.pending.on_pending.append(self._coalescer.trigger)
        self._directory.on_change.append(self._plan_on_change)

    @property
    def callers_address(self) -> str:
        """Address at which callers connect, ``IP:PORT``."""
        return self._callers.address

    @property
    def readiness_address(self) -> str:
        """Address of the readiness check, ``IP:PORT``."""
        return self._endpoints.readiness_address

    async def start(self) -> None:
        """Open the ports, follow the store and start the timers."""
        await self._endpoints.start()
        await self._callers.start()
        await self._peers.start()
        self._tasks.spawn(self._follower.run())
        registered_peer = attrs.evolve(
            self._local_peer, address=self._peers.address
        )
        registration = make_registration(self._store, registered_peer)
        self._timers.subscribe('listing', RENEW_S, registration.keep)
        self._quotas.entry_revision = lambda: registration.epoch
        self._subscribe_timers()
        _log.info(
            'started',
            callers=self._callers.address,
            readiness=self._endpoints.readiness_address,
        )

    def reload_settings(self) -> None:
        """Apply a change of the settings file; open requests are not affected."""
        self._tasks.spawn(self._reloader.reload())

    async def shut_down(self) -> None:
        """Shut down gracefully.

        Fails the readiness check, and waits until the load balancer sends no more
        requests; those that would outlast the grace period are refused. Finishes
        those that were received and stops all parts.
        """
        _log.info('stopping', open=len(self._callers.connections))
        self._is_stopping = True
        self._callers.announce_close()
        began_at = time.monotonic()
        ends_at = began_at + self._settings.bounds.grace_s - _EXIT_RESERVE_S
        self._forwarder.end_at(ends_at)
        self._tasks.spawn(self._hand_over_planning())
        await asyncio.sleep(_BALANCER_LAG_S)
        self._forwarder.stop()
        await self._callers.close(max(0, ends_at - time.monotonic()))
        await self._stop_parts()
        _log.info('stopped', spent_s=round(time.monotonic() - began_at, 2))

    async def _hand_over_planning(self) -> None:
        """Release the planner's lease once another gateway can take it.

        While the store does not answer none can, and nothing that requests wait
        for would be loaded.
        """
        while self._planner.is_cut_off:
            await asyncio.sleep(_LEASE_CHECK_S)
        await self._planner.close()

    async def _stop_parts(self) -> None:
        """Stop what runs beside the requests."""
        self._forwarder.close()
        self._quotas.close()
        await self._endpoints.close()
        await self._timers.close()
        await self._tasks.close()
        self._peers.close()

    def _subscribe_timers(self) -> None:
        """Start the periodic work."""
        subscribe = self._timers.subscribe
        subscribe('exchange', _EXCHANGE_S, self._tick)
        subscribe('lease', _LEASE_CHECK_S, self._planner.keep_lease)
        subscribe('idle', _DROP_IDLE_S, self._forwarder.drop_idle)
        subscribe('plan', _PLAN_S, self._plan)
        subscribe('settings', _SETTINGS_S, self._reloader.reload)
        self._record_keepers.subscribe(self._timers)
        subscribe('quotas', _QUOTAS_S, self._quotas.keep)
        subscribe('status', _STATUS_S, self._status.report)

    def _accepts_requests(self) -> bool:
        """Whether the load balancer may send callers here."""
        directory = self._directory
        directory.freshness.note_activity()
        is_behind = directory.freshness.is_behind
        return directory.is_ready and not is_behind and not self._is_stopping

    def _note_store_call(
        self, took_s: float, sizes: tuple[int, int], *, answered: bool
    ) -> None:
        self._traffic.note_store_call(took_s, sizes, answered=answered)
        self._metrics.note_store_call(answered=answered)

    def _apply_settings(self, settings: HostSettings) -> None:
        """Apply changed settings to the parts that use them."""
        self._settings = settings
        self._directory.keys.max_age_s = max_key_age_s(
            settings.bounds.revocation_s
        )
        self._apply_pace()
        self._forwarder.apply_settings(settings)
        self._planner.apply_settings(settings)

    def _apply_limits(self) -> None:
        configuration = self._directory.configuration
        if configuration is not None:
            self._callers.limits = configuration.limits
            self._apply_pace()

    def _apply_pace(self) -> None:
        """Set how often the store is read; keys may need it more often."""
        bounds = self._settings.bounds
        if not self._directory.keys.is_limited:
            bounds = attrs.evolve(bounds, revocation_s=None)
        self._directory.freshness.pace = make_pace(bounds)

    def _replan_or_send_pending(self) -> None:
        """Replan now if this is the planner, otherwise send pending demand."""
        if self._planner.epoch:
            self._tasks.spawn(self._plan())
        else:
            self._exchange.send_pending()

    def _plan_on_change(self) -> None:
        if self._planner.epoch:
            self._coalescer.trigger()

    async def _plan(self) -> None:
        await self._planner.plan()
        now = time.monotonic()
        is_due = now - self._published_at >= _PUBLISH_S
        if self._planner.epoch and (
            self._planner.has_unpublished_changes or is_due
        ):
            self._published_at = now
            self._publish()

    def _publish(self) -> None:
        """Publish the planner's placement locally and to the children."""
        self._planner.has_unpublished_changes = False
        placement = self._planner.placement()
        if self._directory.placement.publish(self._planner.epoch, placement):
            self._directory.signal()
            self._exchange.send_changed_rows()

    def _announce_orders(self, ages: Mapping[str, float]) -> None:
        self._exchange.announce_orders(ages)

    def _is_planner(self) -> bool:
        return bool(self._planner.epoch)

    def _batch_delay_s(self) -> float:
        """Return the wait in seconds between two calls to the store."""
        pace = self._directory.freshness.pace
        if self._is_planner():
            return PLANNER_BATCH_DELAY_S
        if self._exchange.is_deputy:
            return pace.near_delay_s
        if self._exchange.has_responding_parent:
            return pace.relayed_delay_s
        return pace.batch_delay_s

    async def _tick(self) -> None:
        self._directory.freshness.note_activity()
        self._directory.freshness.note_age()
        self._access.note_age()
        self._exchange.tick()
