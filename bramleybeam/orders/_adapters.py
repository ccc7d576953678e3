"""Decides which adapters the replicas of a service hold.

Answers this load: requests for many adapters of a few models, each adapter
rarely. One that a request waits for is brought in at once, where places are
free; places that would stay empty take adapters of busy models ahead.
"""

from collections.abc import Mapping, Sequence
from typing import Final

from bramleybeam.catalog import EngineSpec
from bramleybeam.orders._messages import (
    Demand,
    EngineView,
    LoadAdapter,
    ModelOrder,
    Target,
    UnloadAdapter,
)
from bramleybeam.orders._ranking import rank_by_amount, rank_by_unserved_time

# Adapters that may be on their way to one replica at a time.
_IN_TRANSIT: Final = 4
# Places that stay free for adapters that are asked for, at each replica.
_SPARE_PLACES: Final = 1
# Requests a second from which a model's adapters are fetched ahead.
_FETCH_AHEAD_RATE: Final = 0.3


class AdapterPlacement:
    """Plans at most one adapter order a replica, none where one is given."""

    def __init__(
        self,
        engines: Sequence[EngineView],
        spec: EngineSpec,
        demand: Demand,
        holders: Mapping[str, Sequence[str]],
    ) -> None:
        """Store the replicas, what is asked for, and who holds each model."""
        self.orders: list[ModelOrder] = []
        self._engines = engines
        self._spec = spec
        self._demand = demand
        self._taken: set[str] = set()
        self._holders = holders
        self._known = _find_adapters(engines)

    def place_waiting(self) -> None:
        """Bring in adapters that requests wait for."""
        for target in rank_by_unserved_time(self._demand):
            model, adapter = target
            if not adapter or model not in self._spec.models:
                continue
            if target not in self._known:
                self._bring_in(target)

    def fetch_ahead(self, taken: set[str]) -> None:
        """Fill free places with adapters of busy models, not where taken."""
        self._taken |= taken
        for engine in self._engines:
            places = self._spec.adapter_places - _SPARE_PLACES
            if engine.adapter_places_used >= places:
                continue
            target = self._next_target(engine)
            if target is not None and not engine.holdings.arriving:
                self._load(engine, target)

    def _bring_in(self, target: Target) -> None:
        holders = [
            (engine.adapter_places_used, engine.name, engine)
            for engine in self._engines
            if self._may_take(engine, target[0])
        ]
        if not holders:
            return
        used, _, engine = min(holders, key=_first_two)
        if used < self._spec.adapter_places:
            self._load(engine, target)
            return
        victim = _find_idle(engine)
        if victim is not None:
            self.orders.append(UnloadAdapter(engine.name, *victim))
            self._taken.add(engine.name)

    def _load(self, engine: EngineView, target: Target) -> None:
        self.orders.append(LoadAdapter(engine.name, *target))
        self._taken.add(engine.name)
        self._known.add(target)

    def _may_take(self, engine: EngineView, model: str) -> bool:
        if engine.name in self._taken or not engine.accepts_orders:
            return False
        if engine.successor:
            return False
        if (
            model not in engine.holdings.models
            or model == engine.evicting_model
        ):
            return False
        if len(engine.holdings.arriving) >= _IN_TRANSIT:
            return False
        used = engine.memory_in_use(self._spec)
        needed = self._spec.models[model].adapter_mb
        return used + needed <= self._spec.memory_mb

    def _next_target(self, engine: EngineView) -> Target | None:
        rates = {
            model: self._demand.for_model(model).rate
            for model in engine.holdings.models
            if self._is_busy(model) and self._may_take(engine, model)
        }
        for model in rank_by_amount(rates):
            for adapter in self._spec.models[model].adapter_names:
                if (model, adapter) not in self._known:
                    return model, adapter
        return None

    def _is_busy(self, model: str) -> bool:
        """Whether a model has demand; before any, whether it has copies."""
        if model not in self._spec.models:
            return False
        if self._demand.models:
            return self._demand.for_model(model).rate >= _FETCH_AHEAD_RATE
        return len(self._holders.get(model, ())) > 1


def _find_adapters(engines: Sequence[EngineView]) -> set[Target]:
    found: set[Target] = set()
    for engine in engines:
        if not engine.is_reachable:
            continue
        found.update(engine.holdings.arriving)
        for model, adapters in engine.holdings.models.items():
            found.update((model, adapter) for adapter in adapters)
    return found


def _first_two(row: tuple[int, str, EngineView]) -> tuple[int, str]:
    return row[0], row[1]


def _find_idle(engine: EngineView) -> Target | None:
    """Return the adapter that was last used longest ago, if one is idle."""
    idle = [
        (engine.last_use.get((model, adapter), 0.0), model, adapter)
        for model, adapters in engine.holdings.models.items()
        for adapter in adapters
        if not engine.running.get((model, adapter))
        and (model, adapter) not in engine.just_arrived
    ]
    return min(idle)[1:] if idle else None
