"""The one giver of orders: holds the lease, plans, and gives orders.

Any gateway may become the planner. A new one waits until no order of the
last one can count as its rival's, and gives none once its lease may have run
out, by a clock that goes on while the host is suspended.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Final

import structlog

from bramleybeam import platform
from bramleybeam.catalog import EngineSpec, HostSettings, ReplicaState
from bramleybeam.decisions import (
    TokenBucket,
)
from bramleybeam.gateway._directory import PLANNER_NAME, PlacedHoldings
from bramleybeam.gateway._knowledge import Knowledge
from bramleybeam.gateway._ledger import ReplicaLedger
from bramleybeam.gateway._order_times import OrderTimes
from bramleybeam.keyvalue import LeaseKeeper, Renewal
from bramleybeam.orders import (
    Demand,
    EngineView,
    LoadModel,
    ModelOrder,
    plan_orders,
)
from bramleybeam.timers import TaskSet

LEASE_TTL_S: Final = 1.2
# A holder that hears nothing for this long gives no orders, well before its
# lease ends and another takes over.
_VALID_S: Final = 0.7
_RENEW_S: Final = 0.25
# A gateway that has just started leaves the lease to others, which know of
# the last orders and needn't wait.
_NEWCOMER_DELAY_S: Final = 0.5
# Share of the weight store's rate that is used.
_STORE_SHARE: Final = 0.9
_STORE_BURST: Final = 2.0
_CHECK_AGAIN_S: Final = 0.4
_MAX_TRIES: Final = 3
_log = structlog.get_logger('planner')


class Planner:
    """Plans and gives orders while this gateway holds the lease."""

    def __init__(
        self,
        settings: HostSettings,
        store: platform.PlatformStore,
        knowledge: Knowledge,
        rng: random.Random,
        announce: Callable[[], None],
    ) -> None:
        """Store what plans are made from, and how orders are announced."""
        self.has_news = False
        self.order_times = OrderTimes(
            settings.bounds.order_pause_s, platform.boot_time
        )
        self._announce = announce
        self._settings = settings
        self._store = store
        self._directory = knowledge.directory
        self._loads = knowledge.loads
        self._demand = knowledge.demand
        self._rng = rng
        self._keeper = LeaseKeeper(
            store,
            PLANNER_NAME,
            settings.name,
            platform.boot_time,
            LEASE_TTL_S,
            LEASE_TTL_S - _VALID_S,
        )
        self._orders = platform.ReplicaOrders()
        self._tasks = TaskSet()
        self._ledgers: dict[str, ReplicaLedger] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._epoch = 0
        self._has_seen_own = False
        self._is_cut_off = False
        self._active_from = 0.0
        self._renewed_at = float('-inf')

    @property
    def epoch(self) -> int:
        """The epoch while orders may be given, else 0."""
        if platform.boot_time() < self._active_from:
            return 0
        return self._keeper.epoch or self._checked_epoch()

    async def keep_lease(self) -> None:
        """Renew the lease, or take it when nobody holds it."""
        if self._is_superseded():
            _log.warning('planner_superseded', epoch=self._epoch)
            self._give_up()
        elif self._epoch:
            await self._renew()
        elif not self._directory.planner_revision:
            await self._try_to_take()

    async def plan(self) -> None:
        """Look at every replica and start the orders that are due."""
        if not self.epoch:
            return
        configuration = self._directory.configuration
        if configuration is None:
            return
        self._sync_ledgers()
        demand = self._demand.total(self._directory.now())
        for service in configuration.services.values():
            if service.engine is not None:
                self._plan_service(service.name, service.engine, demand)

    def placement(self) -> dict[str, PlacedHoldings]:
        """Return what each replica holds, for the other gateways."""
        now = self._directory.now()
        return {
            name: PlacedHoldings(
                ledger.holdings,
                ledger.leaving,
                ledger.replica.started_ms,
                ledger.loading or ledger.successor,
                max(0, ledger.coming_at - now),
            )
            for name, ledger in self._ledgers.items()
        }

    async def close(self) -> None:
        """Stop giving orders and hand the lease over."""
        await self._tasks.close()
        await self._keeper.release()

    def _checked_epoch(self) -> int:
        """The epoch while the store is silent and replicas judge epochs.

        Whoever takes over has a higher one, which replicas then insist on.
        """
        if self._is_cut_off and self._settings.replicas_check_epochs:
            return self._epoch
        return 0

    def _is_superseded(self) -> bool:
        """Whether the store shows that the lease's key is no longer ours."""
        if not self._epoch:
            return False
        shown = self._directory.planner_revision
        if shown == self._epoch:
            self._has_seen_own = True
        newest = max(shown, self._directory.placement_epoch)
        return newest > self._epoch or (self._has_seen_own and not shown)

    def _give_up(self) -> None:
        self._keeper.give_up()
        self._store.forget(PLANNER_NAME)
        self._epoch = 0
        self._is_cut_off = False

    async def _renew(self) -> None:
        """Renew in time; a lease that ended in the store is given up."""
        now = platform.boot_time()
        if now - self._renewed_at < _RENEW_S:
            return
        self._renewed_at = now
        renewal = await self._keeper.renew()
        if renewal == Renewal.LOST:
            self._give_up()
            return
        is_cut_off = renewal == Renewal.UNKNOWN
        if is_cut_off != self._is_cut_off:
            _log.info('planner_cut_off', epoch=self._epoch, value=is_cut_off)
        self._is_cut_off = is_cut_off

    async def _try_to_take(self) -> None:
        if not self._directory.is_ready:
            return
        delay = self._rng.uniform(0, _RENEW_S / 2)
        if not self.order_times.is_complete:
            delay += _NEWCOMER_DELAY_S
        await asyncio.sleep(delay)
        if self._directory.planner_revision:
            return
        await self._keeper.renew()
        epoch = self._keeper.epoch
        if epoch is not None:
            self._begin(epoch)

    def _begin(self, epoch: int) -> None:
        self._epoch = epoch
        self._has_seen_own = False
        self._is_cut_off = False
        self.has_news = True
        self._renewed_at = platform.boot_time()
        pause = 0.0
        if not self.order_times.is_complete:
            pause = self._settings.bounds.order_pause_s
        self._active_from = self._renewed_at + pause
        self._ledgers.clear()
        self._buckets.clear()
        _log.info('planner_elected', epoch=epoch, first_order_in_s=pause)

    def _sync_ledgers(self) -> None:
        """Follow the directory, and ask replicas whose state is not known."""
        now = self._directory.now()
        seen = self._directory.replicas
        for name in tuple(self._ledgers):
            if name not in seen:
                self._ledgers.pop(name)
        for name, replica in seen.items():
            ledger = self._ledgers.get(name)
            if ledger and ledger.replica.incarnation == replica.incarnation:
                ledger.see_entry(replica, now)
            elif replica.holdings.models or self._is_engine(replica.service):
                ledger = ReplicaLedger(replica, replica.holdings, check_at=now)
                self._ledgers[name] = ledger
        for ledger in self._ledgers.values():
            self.has_news |= ledger.advance(now)
            if ledger.check_at is not None and ledger.check_at <= now:
                ledger.check_at = now + _CHECK_AGAIN_S
                self._tasks.spawn(self._check(ledger))

    def _is_engine(self, service: str) -> bool:
        configuration = self._directory.configuration
        known = configuration.services.get(service) if configuration else None
        return known is not None and known.engine is not None

    async def _check(self, ledger: ReplicaLedger) -> None:
        if ledger.is_giving:
            return
        shown = await self._orders.read_holdings(ledger.replica)
        if shown is not None and not ledger.is_giving:
            ledger.see_report(shown, self._directory.now())
            self.has_news = True

    def _plan_service(
        self,
        service: str,
        spec: EngineSpec,
        demand: Demand,
    ) -> None:
        now = self._directory.now()
        bucket = self._buckets.setdefault(
            service,
            TokenBucket(spec.loads_per_s * _STORE_SHARE, _STORE_BURST),
        )
        views = [
            self._view(ledger, now)
            for ledger in self._ledgers.values()
            if ledger.replica.service == service
            and ledger.replica.state == ReplicaState.READY
        ]
        allowed = int(bucket.level(now))
        for order in plan_orders(views, spec, demand, allowed):
            if isinstance(order, LoadModel) and order.from_store:
                bucket.take(now)
            ledger = self._ledgers[order.replica]
            ledger.is_giving = True
            self._tasks.spawn(self._give(ledger, order))

    def _view(self, ledger: ReplicaLedger, now: float) -> EngineView:
        name = ledger.replica.name
        reachable = not self._directory.reach.is_doubted(name)
        is_closed = self.order_times.is_closed(name)
        return EngineView(
            name,
            ledger.holdings,
            self._loads.total(name, now).by_target,
            ledger.is_open and reachable and not is_closed,
            reachable,
            ledger.loading,
            ledger.leaving,
            ledger.successor,
        )

    async def _give(self, ledger: ReplicaLedger, order: ModelOrder) -> None:
        """Give an order until it is answered; a repeat is taken only once."""
        try:
            for _ in range(_MAX_TRIES):
                epoch = self.epoch
                if not epoch:
                    return
                self.order_times.note_own(ledger.replica.name)
                self._announce()
                terms = platform.OrderTerms(
                    self._settings.name, epoch, ledger.holdings.sequence
                )
                outcome = await self._orders.give(ledger.replica, order, terms)
                _log.info(
                    'order_given',
                    order=repr(order),
                    sequence=terms.sequence,
                    outcome=repr(outcome),
                )
                if not isinstance(outcome, platform.OrderUnanswered):
                    self._settle(ledger, order, outcome)
                    return
            ledger.check_at = self._directory.now() + _CHECK_AGAIN_S
        finally:
            ledger.is_giving = False
            self.has_news = True

    def _settle(
        self,
        ledger: ReplicaLedger,
        order: ModelOrder,
        outcome: platform.OrderOutcome,
    ) -> None:
        now = self._directory.now()
        match outcome:
            case platform.OrderAccepted(done=done):
                ledger.note_accepted(order, now, done=done)
            case platform.OrderRefused(fenced=True):
                _log.warning('planner_fenced', epoch=self._epoch)
                self._give_up()
            case platform.OrderRefused(status=0):
                self._directory.reach.note_unreachable(ledger.replica.name)
            case _:
                ledger.check_at = now + _CHECK_AGAIN_S
