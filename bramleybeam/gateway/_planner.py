"""The one giver of orders: holds the lease, plans, and gives orders.

Any gateway may become the planner. A new one waits until no order of the
last one can count as its rival's, and gives none once its lease may have run
out, by a clock that goes on while the host is suspended.
"""

import math
from collections.abc import Callable, Collection, Mapping
from typing import Final

import attrs
import structlog

from bramleybeam import platform
from bramleybeam.catalog import EngineSpec, Holdings
from bramleybeam.decisions import TokenBucket
from bramleybeam.gateway._knowledge import Knowledge
from bramleybeam.gateway._ledger import ReplicaLedger
from bramleybeam.gateway._order_times import OrderTimes
from bramleybeam.gateway._placement import PlacedHoldings
from bramleybeam.gateway._planner_ports import Lease, OrderGiver
from bramleybeam.orders import (
    Demand,
    EngineView,
    LoadModel,
    ModelOrder,
    Target,
    plan_orders,
)
from bramleybeam.timers import TaskSet

# Share of the weight store's rate that is used.
_STORE_SHARE: Final = 0.9
_STORE_BURST: Final = 2.0
_CHECK_AGAIN_S: Final = 0.4
_MAX_TRIES: Final = 3
# Time between two rounds of planning: at least, and when nothing happens.
_LEAST_PAUSE_S: Final = 0.03
_REST_S: Final = 0.2
_log = structlog.get_logger('planner')


class Planner:
    """Plans and gives orders while this gateway holds the lease."""

    def __init__(
        self,
        name: str,
        knowledge: Knowledge,
        lease: Lease,
        giver: OrderGiver,
        order_times: OrderTimes,
        announce: Callable[[Mapping[str, float]], None],
    ) -> None:
        """Store what plans are made from, and how orders are given.

        ``name`` is this gateway's; ``announce`` tells others the ages of orders
        that are about to be given, by replica.
        """
        self.has_news = False
        self.order_times = order_times
        self._name = name
        self._announce = announce
        self._directory = knowledge.directory
        self._loads = knowledge.loads
        self._demand = knowledge.demand
        self._lease = lease
        self._orders = giver
        self._tasks = TaskSet()
        self._ledgers: dict[str, ReplicaLedger] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._ran_at: dict[Target, float] = {}
        self._is_stirred = True
        self._planned_at = float('-inf')
        self._directory.on_change.append(self._stir)
        self._demand.wants.on_want.append(self._stir)

    @property
    def epoch(self) -> int:
        """The epoch while orders may be given, else 0."""
        return self._lease.epoch

    async def keep_lease(self) -> None:
        """Renew the lease, or take it when nobody holds it."""
        if await self._lease.keep():
            self._ledgers.clear()
            self._buckets.clear()
            self.has_news = True

    async def plan(self) -> None:
        """Look at every replica and start the orders that are due."""
        if not self.epoch:
            return
        configuration = self._directory.configuration
        if configuration is None:
            return
        self._sync_ledgers()
        now = self._directory.now()
        if not self._is_due(now):
            return
        self._planned_at = now
        self._is_stirred = False
        demand = self._correct_ages(self._demand.total(now), now)
        for service in configuration.services.values():
            if service.engine is not None:
                self._plan_service(service.name, service.engine, demand)

    def placement(self) -> dict[str, PlacedHoldings]:
        """Return what each replica holds, for the other gateways."""
        now = self._directory.now()
        return {
            name: PlacedHoldings(
                Holdings(0, ledger.holdings.models),
                ledger.leaving,
                ledger.replica.started_ms,
                ledger.expected,
                max(0, ledger.coming_at - now),
            )
            for name, ledger in self._ledgers.items()
        }

    async def close(self) -> None:
        """Stop giving orders and hand the lease over."""
        await self._tasks.close()
        await self._lease.close()

    def _stir(self) -> None:
        """Note that something is wanted, or has changed."""
        self._is_stirred = True

    def _is_due(self, now: float) -> bool:
        """Whether a round may find something new to do."""
        is_stirred = self._is_stirred or self.has_news
        pause_s = _LEAST_PAUSE_S if is_stirred else _REST_S
        return now - self._planned_at >= pause_s

    def _correct_ages(self, demand: Demand, now: float) -> Demand:
        """Let nothing count as unserved since before it last ran anywhere."""
        unserved_s = {
            target: min(age_s, now - self._ran_at.get(target, -math.inf))
            for target, age_s in demand.unserved_s.items()
        }
        return attrs.evolve(demand, unserved_s=unserved_s)

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
        if ledger.giving:
            return
        shown = await self._orders.read_holdings(ledger.replica)
        if shown is not None and not ledger.giving:
            ledger.see_report(shown, self._directory.now())
            self.has_news = True

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
            TokenBucket(spec.loads_per_s * _STORE_SHARE, _STORE_BURST),
        )
        views = [
            self._view(ledger, now)
            for ledger in self._ledgers.values()
            if ledger.replica.service == service
            and departures.takes_work(ledger.replica, is_fresh=is_fresh)
        ]
        allowed = int(bucket.level(now))
        orders = plan_orders(views, spec, demand, allowed)
        if orders:
            self._announce_orders([order.replica for order in orders])
        for order in orders:
            if isinstance(order, LoadModel) and order.from_store:
                bucket.take(now)
            ledger = self._ledgers[order.replica]
            ledger.giving = order
            self._tasks.spawn(self._give(ledger, order))

    def _view(self, ledger: ReplicaLedger, now: float) -> EngineView:
        name = ledger.replica.name
        reachable = not self._directory.reach.is_doubted(name)
        is_closed = self.order_times.is_closed(name)
        running = self._loads.total(name, now).by_target
        ledger.note_use(running, now)
        self._ran_at.update(dict.fromkeys(running, now))
        return EngineView(
            name,
            ledger.holdings,
            running,
            ledger.is_open and reachable and not is_closed,
            reachable,
            ledger.loading,
            ledger.leaving,
            ledger.expected,
            ledger.is_late(now),
            ledger.last_use,
            ledger.list_just_arrived(now),
        )

    def _announce_orders(self, replicas: Collection[str]) -> None:
        ages = self.order_times.note_own(replicas)
        if ages:
            self._announce(ages)

    async def _give(self, ledger: ReplicaLedger, order: ModelOrder) -> None:
        """Give an order until it is answered; a repeat is taken only once."""
        try:
            for number in range(_MAX_TRIES):
                epoch = self.epoch
                if not epoch:
                    return
                if number:
                    self.order_times.announce_again([ledger.replica.name])
                    self._announce_orders([ledger.replica.name])
                terms = platform.OrderTerms(
                    self._name, epoch, ledger.holdings.sequence
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
            ledger.giving = None
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
                _log.warning('planner_fenced', epoch=self.epoch)
                self._lease.give_up()
            case platform.OrderRefused(status=0):
                self._directory.reach.note_unreachable(ledger.replica.name)
            case _:
                ledger.check_at = now + _CHECK_AGAIN_S
