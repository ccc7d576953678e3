"""The planner: the only gateway that sends orders to replicas.

Any gateway may become the planner by taking the lease. A new planner sends no
order to a replica until a cooldown after the previous planner's last order to
it has ended. It sends no orders once its lease may have expired, by a clock
that also advances while the host is suspended.
"""

import math
from collections.abc import Callable, Collection, Mapping
from typing import Final

import attrs
import structlog

from bramleybeam import platform
from bramleybeam.catalog import EngineSpec, Holdings, HostSettings
from bramleybeam.decisions import TokenBucket
from bramleybeam.gateway._cluster_state import ClusterState
from bramleybeam.gateway._order_history import OrderHistory
from bramleybeam.gateway._placement import ReplicaPlacement
from bramleybeam.gateway._planner_ports import Lease, OrderSender
from bramleybeam.gateway._replica_tracker import ReplicaTracker
from bramleybeam.orders import (
    Demand,
    EngineView,
    LoadModel,
    ModelOrder,
    Target,
    plan_orders,
)
from bramleybeam.timers import TaskSet

# Share of the weight store's permitted loads a second that is used, and the
# number of loads that may be started in a burst.
_WEIGHT_STORE_SHARE: Final = 0.9
_WEIGHT_STORE_BURST: Final = 2.0
# Time in seconds until the state of a replica is queried again.
_RECHECK_S: Final = 0.4
# Attempts to send an order that is not answered.
_MAX_ATTEMPTS: Final = 3
# Time in seconds between two planning rounds: after a change, and without one.
_MIN_ROUND_INTERVAL_S: Final = 0.03
_IDLE_ROUND_INTERVAL_S: Final = 0.2
_log = structlog.get_logger('planner')


class Planner:
    """Plans and sends orders while this gateway holds the lease."""

    def __init__(
        self,
        name: str,
        cluster_state: ClusterState,
        lease: Lease,
        sender: OrderSender,
        order_history: OrderHistory,
        announce: Callable[[Mapping[str, float]], None],
    ) -> None:
        """Start without the lease, and subscribe to changes.

        ``name`` is the name of this gateway. ``announce`` is called with the
        ages in seconds, by replica, of orders that are about to be sent, and
        passes them on to other gateways.
        """
        self.has_unpublished_changes = False
        self.order_history = order_history
        self._name = name
        self._announce = announce
        self._directory = cluster_state.directory
        self._loads = cluster_state.loads
        self._demand = cluster_state.demand
        self._lease = lease
        self._sender = sender
        self._is_closed = False
        self._tasks = TaskSet()
        self._trackers: dict[str, ReplicaTracker] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._last_run_at: dict[Target, float] = {}
        self._needs_replan = True
        self._planned_at = float('-inf')
        self._directory.on_change.append(self._request_replan)
        self._demand.pending.on_pending.append(self._request_replan)

    @property
    def is_cut_off(self) -> bool:
        """Whether this is the planner and the store does not answer."""
        return self._lease.is_cut_off

    @property
    def epoch(self) -> int:
        """The epoch of the lease while orders may be sent, else 0."""
        return self._lease.epoch

    async def keep_lease(self) -> None:
        """Renew the lease, or take it if no gateway holds it."""
        if await self._lease.keep():
            self._trackers.clear()
            self._buckets.clear()
            self.has_unpublished_changes = True

    async def plan(self) -> None:
        """Run a planning round if one is due, and start sending its orders."""
        if self._is_closed or not self.epoch:
            return
        configuration = self._directory.configuration
        if configuration is None:
            return
        self._sync_trackers()
        now = self._directory.now()
        if not self._is_due(now):
            return
        self._planned_at = now
        self._needs_replan = False
        demand = self._limit_unserved_times(self._demand.total(now), now)
        for service in configuration.services.values():
            if service.engine is not None:
                self._plan_service(service.name, service.engine, demand)

    def placement(self) -> dict[str, ReplicaPlacement]:
        """Return the placement of each replica, for the other gateways."""
        now = self._directory.now()
        return {
            name: ReplicaPlacement(
                Holdings(0, tracker.holdings.models),
                tracker.evicting_model,
                tracker.replica.started_ms,
                tracker.expected_model,
                max(0, tracker.expected_at - now),
            )
            for name, tracker in self._trackers.items()
        }

    def apply_settings(self, settings: HostSettings) -> None:
        """Apply changed settings from the next use on."""
        self.order_history.cooldown_s = settings.bounds.order_pause_s
        self._lease.apply_settings(settings)

    async def close(self) -> None:
        """Stop sending orders and release the lease."""
        self._is_closed = True
        await self._tasks.close()
        await self._lease.close()

    def _request_replan(self) -> None:
        """Record that pending demand or the directory has changed."""
        self._needs_replan = True

    def _is_due(self, now: float) -> bool:
        """Whether a planning round is due, which is sooner after a change."""
        needs_replan = self._needs_replan or self.has_unpublished_changes
        interval_s = (
            _MIN_ROUND_INTERVAL_S if needs_replan else _IDLE_ROUND_INTERVAL_S
        )
        return now - self._planned_at >= interval_s

    def _limit_unserved_times(self, demand: Demand, now: float) -> Demand:
        """Return the demand with limited unserved times.

        The unserved time of a target is at most the time since a request for
        it last ran on any replica.
        """
        unserved_s = {
            target: min(age_s, now - self._last_run_at.get(target, -math.inf))
            for target, age_s in demand.unserved_s.items()
        }
        return attrs.evolve(demand, unserved_s=unserved_s)

    def _sync_trackers(self) -> None:
        """Update the trackers from the directory.

        Replicas whose state is unknown are queried.
        """
        now = self._directory.now()
        listed = self._directory.replicas
        for name in tuple(self._trackers):
            if name not in listed:
                self._trackers.pop(name)
        for name, replica in listed.items():
            tracker = self._trackers.get(name)
            if tracker and tracker.replica.incarnation == replica.incarnation:
                tracker.update_entry(replica, now)
            elif replica.holdings.models or self._is_engine(replica.service):
                tracker = ReplicaTracker(
                    replica, replica.holdings, check_at=now
                )
                self._trackers[name] = tracker
        for tracker in self._trackers.values():
            self.has_unpublished_changes |= tracker.advance(now)
            if tracker.check_at is not None and tracker.check_at <= now:
                tracker.check_at = now + _RECHECK_S
                self._tasks.spawn(self._check(tracker))

    def _is_engine(self, service: str) -> bool:
        """Whether the replicas of a service are engines that hold models."""
        configuration = self._directory.configuration
        configured = (
            configuration.services.get(service) if configuration else None
        )
        return configured is not None and configured.engine is not None

    async def _check(self, tracker: ReplicaTracker) -> None:
        """Query a replica's holdings, unless an order to it is pending."""
        if tracker.pending_order:
            return
        reported = await self._sender.read_holdings(tracker.replica)
        if reported is not None and not tracker.pending_order:
            tracker.update_from_report(reported, self._directory.now())
            self.has_unpublished_changes = True

    def _plan_service(
        self,
        service: str,
        spec: EngineSpec,
        demand: Demand,
    ) -> None:
        now = self._directory.now()
        is_fresh = self._directory.freshness.is_fresh
        departures = self._directory.departures
        bucket = self._buckets.setdefault(
            service,
            TokenBucket(
                spec.loads_per_s * _WEIGHT_STORE_SHARE, _WEIGHT_STORE_BURST
            ),
        )
        views = [
            self._make_view(tracker, now)
            for tracker in self._trackers.values()
            if tracker.replica.service == service
            and departures.accepts_requests(tracker.replica, is_fresh=is_fresh)
        ]
        store_loads = int(bucket.level(now))
        orders = plan_orders(views, spec, demand, store_loads)
        if orders:
            self._announce_orders([order.replica for order in orders])
        for order in orders:
            if isinstance(order, LoadModel) and order.from_store:
                bucket.take(now)
            tracker = self._trackers[order.replica]
            tracker.pending_order = order
            self._tasks.spawn(self._send_order(tracker, order))

    def _make_view(self, tracker: ReplicaTracker, now: float) -> EngineView:
        """Return the state of a replica as the planning functions take it."""
        name = tracker.replica.name
        reachable = not self._directory.reachability.is_suspected(name)
        is_in_cooldown = self.order_history.is_in_cooldown(name)
        running = self._loads.total(name, now).by_target
        tracker.note_use(running, now)
        self._last_run_at.update(dict.fromkeys(running, now))
        return EngineView(
            name,
            tracker.holdings,
            running,
            tracker.accepts_orders and reachable and not is_in_cooldown,
            reachable,
            tracker.loading_model,
            tracker.evicting_model,
            tracker.expected_model,
            tracker.is_overdue(now),
            tracker.last_use,
            tracker.list_just_arrived(now),
            tracker.replica.software_version,
        )

    def _announce_orders(self, replicas: Collection[str]) -> None:
        """Announce orders to replicas that have no current announcement."""
        ages = self.order_history.note_local(replicas)
        if ages:
            self._announce(ages)

    async def _send_order(
        self, tracker: ReplicaTracker, order: ModelOrder
    ) -> None:
        """Send an order until it is answered or the attempts are used up.

        A replica runs a repeated order only once, because its sequence number
        no longer matches after the first time.
        """
        try:
            for attempt in range(_MAX_ATTEMPTS):
                epoch = self.epoch
                if not epoch:
                    return
                if attempt:
                    self.order_history.reset_announcements(
                        [tracker.replica.name]
                    )
                    self._announce_orders([tracker.replica.name])
                terms = platform.OrderTerms(
                    self._name, epoch, tracker.holdings.sequence
                )
                outcome = await self._sender.send(tracker.replica, order, terms)
                _log.info(
                    'order_given',
                    order=repr(order),
                    sequence=terms.sequence,
                    outcome=repr(outcome),
                )
                if not isinstance(outcome, platform.OrderUnanswered):
                    self._apply_outcome(tracker, order, outcome)
                    return
            tracker.check_at = self._directory.now() + _RECHECK_S
        finally:
            tracker.pending_order = None
            self.has_unpublished_changes = True

    def _apply_outcome(
        self,
        tracker: ReplicaTracker,
        order: ModelOrder,
        outcome: platform.OrderOutcome,
    ) -> None:
        now = self._directory.now()
        match outcome:
            case platform.OrderAccepted(done=done):
                tracker.note_accepted(order, now, done=done)
            case platform.OrderRefused(fenced=True):
                _log.warning('planner_fenced', epoch=self.epoch)
                self._lease.give_up()
            case platform.OrderRefused(status=0):
                self._directory.reachability.note_unreachable(
                    tracker.replica.name
                )
            case _:
                tracker.check_at = now + _RECHECK_S
