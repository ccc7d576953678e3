"""Plays a day: arrivals through one gateway's decisions to the engines."""

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
    draw_arrivals,
    place_at_start,
)
from bramleybeam.simulation._callers import Callers, make_route
from bramleybeam.simulation._engine import EngineModel
from bramleybeam.simulation._loop import run_in_virtual_time
from bramleybeam.simulation._orders import EngineOrders, SingleLease
from bramleybeam.simulation._results import DayResult
from bramleybeam.simulation._weight_store import WeightStore
from bramleybeam.timers import Coalescer, TaskSet

_SERVICE: Final = 'engines'
_PLAN_S: Final = 0.05
# Time until the gateway hears of what a replica holds now.
_ENTRY_LAG_S: Final = 0.08
_LEAD_S: Final = 3.0


def simulate_day(spec: LoadSpec, seed: int, factor: float = 1) -> DayResult:
    """Play a seeded day; ``factor`` multiplies all rates."""
    return run_in_virtual_time(_Day(spec, seed).play(factor))


class _Day:
    def __init__(self, spec: LoadSpec, seed: int) -> None:
        self._spec = spec
        self._seed = seed
        self._epoch = 0
        self._engines: dict[str, EngineModel] = {}
        self._store = WeightStore(spec.store_at_once)
        self._service = Service(_SERVICE, '/', 100, spec.engine)
        self._tasks = TaskSet()
        self._coalescer = Coalescer(self._plan_now)

    async def play(self, factor: float) -> DayResult:
        loop = asyncio.get_running_loop()
        self._cluster_state = make_cluster_state(loop.time)
        self._start_engines()
        chooser = Chooser(self._cluster_state, 'a', random.Random(self._seed))
        self._callers = Callers(
            self._cluster_state, chooser, self._engines, self._service, _LEAD_S
        )
        self._giver = EngineOrders(self._engines)
        self._planner = self._make_planner()
        pending = self._cluster_state.demand.pending
        pending.on_pending.append(self._coalescer.trigger)
        self._cluster_state.directory.on_change.append(self._coalescer.trigger)
        planning = asyncio.ensure_future(self._keep_planning())
        self._tasks.spawn(self._lose_replicas())
        self._tasks.spawn(self._change_planners())
        arrivals = draw_arrivals(self._spec, self._seed, factor)
        await asyncio.sleep(_LEAD_S)
        requests = []
        for arrival in arrivals:
            await asyncio.sleep(max(0, arrival.moment + _LEAD_S - loop.time()))
            requests.append(asyncio.ensure_future(self._callers.call(arrival)))
        await asyncio.gather(*requests)
        await self._finish(planning)
        return DayResult(
            tuple(self._callers.served), self._store.loads, self._giver.orders
        )

    def _make_planner(self) -> Planner:
        self._epoch += 1
        return Planner(
            'simulated',
            self._cluster_state,
            SingleLease(),
            self._giver,
            OrderHistory(0, asyncio.get_running_loop().time),
            lambda _ages: None,
        )

    async def _change_planners(self) -> None:
        loop = asyncio.get_running_loop()
        for moment in self._spec.new_planners:
            await asyncio.sleep(max(0, moment + _LEAD_S - loop.time()))
            await self._planner.close()
            self._planner = self._make_planner()

    async def _finish(self, planning: asyncio.Future[None]) -> None:
        """End the background work; raise what went wrong in it."""
        if planning.done():
            planning.result()
        planning.cancel()
        await self._planner.close()
        await self._tasks.close()
        for engine in self._engines.values():
            engine.raise_fault()

    def _start_engines(self) -> None:
        spec = self._spec
        for number, models in enumerate(place_at_start(spec)):
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
            engine.on_change = partial(self._tell_soon, name)
            self._tell(name)

    def _tell_soon(self, name: str) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(_ENTRY_LAG_S, self._tell, name)

    def _tell(self, name: str, started_ms: int = 1) -> None:
        engine = self._engines[name]
        directory = self._cluster_state.directory
        known = directory.replicas.get(name)
        directory.replicas[name] = Replica(
            name,
            _SERVICE,
            name,
            'a',
            ReplicaState.READY,
            self._spec.engine.slots,
            max(started_ms, known.started_ms if known else 1),
            engine.holdings,
        )
        directory.signal()

    async def _lose_replicas(self) -> None:
        loop = asyncio.get_running_loop()
        names = list(self._engines)
        for number, (moment, down_s) in enumerate(self._spec.losses):
            await asyncio.sleep(max(0, moment + _LEAD_S - loop.time()))
            name = names[(self._seed + number) % len(names)]
            self._engines[name].crash()
            self._cluster_state.directory.replicas.pop(name)
            self._cluster_state.directory.signal()
            await asyncio.sleep(down_s)
            self._tell(name, started_ms=2 + number)

    async def _keep_planning(self) -> None:
        while True:
            await self._plan()
            await asyncio.sleep(_PLAN_S)

    async def _plan(self) -> None:
        await self._planner.plan()
        self._planner.has_unpublished_changes = False
        placement = self._planner.placement()
        table = self._cluster_state.directory.placement
        if table.publish(self._epoch, placement):
            self._cluster_state.directory.signal()

    def _plan_now(self) -> None:
        self._tasks.spawn(self._plan())
