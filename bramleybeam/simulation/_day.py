"""Simulates a day of load on one gateway and its engines."""

import asyncio
import random
from functools import partial
from typing import Final

from bramleybeam.catalog import (
    Replica,
    ReplicaState,
    RoutingConfiguration,
    Service,
)
from bramleybeam.gateway import (
    Chooser,
    OrderHistory,
    Planner,
    make_cluster_state,
)
from bramleybeam.simulation._arrivals import (
    LoadSpec,
    assign_initial_models,
    draw_arrivals,
)
from bramleybeam.simulation._callers import Callers, make_route
from bramleybeam.simulation._engine import EngineModel
from bramleybeam.simulation._loop import run_in_virtual_time
from bramleybeam.simulation._orders import AlwaysHeldLease, SimulatedOrderSender
from bramleybeam.simulation._results import DayResult
from bramleybeam.simulation._weight_store import WeightStore
from bramleybeam.timers import Coalescer, TaskSet

_SERVICE: Final = 'engines'
_PLAN_PERIOD_S: Final = 0.05
# Delay until the gateway sees a change of a replica's holdings.
_ENTRY_DELAY_S: Final = 0.08
# Time in which the planner runs without requests before the day starts.
_WARMUP_S: Final = 3.0


def simulate_day(
    spec: LoadSpec, seed: int, rate_factor: float = 1
) -> DayResult:
    """Simulate a day and return its result; the same for the same seed.

    ``rate_factor`` multiplies all request rates. Raises ``RuntimeError`` when
    orders exceed the capacity of an engine.
    """
    return run_in_virtual_time(_DaySimulation(spec, seed).run(rate_factor))


class _DaySimulation:
    """The state of one simulated day; ``run`` may be called once."""

    def __init__(self, spec: LoadSpec, seed: int) -> None:
        self._spec = spec
        self._seed = seed
        self._epoch = 0
        self._engines: dict[str, EngineModel] = {}
        self._store = WeightStore(spec.store_concurrency)
        self._service = Service(_SERVICE, '/', 100, spec.engine)
        self._tasks = TaskSet()
        self._coalescer = Coalescer(self._start_planning)

    async def run(self, rate_factor: float) -> DayResult:
        """Send all arrivals, wait for their outcomes and return the result."""
        loop = asyncio.get_running_loop()
        self._cluster_state = make_cluster_state(loop.time)
        self._start_engines()
        chooser = Chooser(self._cluster_state, 'a', random.Random(self._seed))
        self._callers = Callers(
            self._cluster_state,
            chooser,
            self._engines,
            self._service,
            _WARMUP_S,
        )
        self._order_sender = SimulatedOrderSender(self._engines)
        self._planner = self._make_planner()
        pending = self._cluster_state.demand.pending
        pending.on_pending.append(self._coalescer.trigger)
        self._cluster_state.directory.on_change.append(self._coalescer.trigger)
        planning = asyncio.ensure_future(self._plan_periodically())
        self._tasks.spawn(self._inject_losses())
        self._tasks.spawn(self._replace_planners())
        arrivals = draw_arrivals(self._spec, self._seed, rate_factor)
        await asyncio.sleep(_WARMUP_S)
        requests = []
        for arrival in arrivals:
            await asyncio.sleep(
                max(0, arrival.time_s + _WARMUP_S - loop.time())
            )
            requests.append(asyncio.ensure_future(self._callers.call(arrival)))
        await asyncio.gather(*requests)
        await self._finish(planning)
        return DayResult(
            tuple(self._callers.outcomes),
            self._store.loads,
            self._order_sender.orders_sent,
        )

    def _make_planner(self) -> Planner:
        self._epoch += 1
        return Planner(
            'simulated',
            self._cluster_state,
            AlwaysHeldLease(),
            self._order_sender,
            OrderHistory(0, asyncio.get_running_loop().time),
            lambda _ages: None,
        )

    async def _replace_planners(self) -> None:
        """Replace the planner at the times of ``planner_changes_s``.

        The new planner has no history of orders.
        """
        loop = asyncio.get_running_loop()
        for time_s in self._spec.planner_changes_s:
            await asyncio.sleep(max(0, time_s + _WARMUP_S - loop.time()))
            await self._planner.close()
            self._planner = self._make_planner()

    async def _finish(self, planning: asyncio.Future[None]) -> None:
        """Stop the background tasks; raise an error that one of them met."""
        if planning.done():
            planning.result()
        planning.cancel()
        await self._planner.close()
        await self._tasks.close()
        for engine in self._engines.values():
            engine.raise_capacity_error()

    def _start_engines(self) -> None:
        """Create the engines and publish them in the directory."""
        spec = self._spec
        for number, models in enumerate(assign_initial_models(spec)):
            self._engines[f'e{number}'] = EngineModel(
                spec.engine, self._store, models, spec.tokens_per_event
            )
        directory = self._cluster_state.directory
        route = make_route(self._spec.classes[0], _SERVICE)
        directory.configuration = RoutingConfiguration(
            1, (route,), {_SERVICE: self._service}
        )
        directory.has_listing = True
        for name, engine in self._engines.items():
            engine.on_change = partial(self._schedule_entry_update, name)
            self._update_entry(name)

    def _schedule_entry_update(self, name: str) -> None:
        """Update the directory after the delay of a replica's entry."""
        loop = asyncio.get_running_loop()
        loop.call_later(_ENTRY_DELAY_S, self._update_entry, name)

    def _update_entry(self, name: str, started_ms: int = 1) -> None:
        """Publish the current holdings of an engine in the directory.

        An engine that is listed keeps its start time unless ``started_ms`` is
        later.
        """
        engine = self._engines[name]
        directory = self._cluster_state.directory
        previous = directory.replicas.get(name)
        directory.replicas[name] = Replica(
            name,
            _SERVICE,
            name,
            'a',
            ReplicaState.READY,
            self._spec.engine.slots,
            max(started_ms, previous.started_ms if previous else 1),
            engine.holdings,
        )
        directory.signal()

    async def _inject_losses(self) -> None:
        """Crash and restart replicas as ``replica_losses`` specifies.

        The replicas take turns; the seed determines the first one.
        """
        loop = asyncio.get_running_loop()
        names = list(self._engines)
        for number, (time_s, down_s) in enumerate(self._spec.replica_losses):
            await asyncio.sleep(max(0, time_s + _WARMUP_S - loop.time()))
            name = names[(self._seed + number) % len(names)]
            self._engines[name].crash()
            self._cluster_state.directory.replicas.pop(name)
            self._cluster_state.directory.signal()
            await asyncio.sleep(down_s)
            self._update_entry(name, started_ms=2 + number)

    async def _plan_periodically(self) -> None:
        while True:
            await self._plan()
            await asyncio.sleep(_PLAN_PERIOD_S)

    async def _plan(self) -> None:
        """Run the planner once and publish its placement if it changed."""
        await self._planner.plan()
        self._planner.has_unpublished_changes = False
        placement = self._planner.placement()
        table = self._cluster_state.directory.placement
        if table.publish(self._epoch, placement):
            self._cluster_state.directory.signal()

    def _start_planning(self) -> None:
        self._tasks.spawn(self._plan())
