"""Decides which adapters the replicas of a service hold.

Handles this load: requests for many adapters of a few models, with few requests
for each adapter. An adapter that a request waits for is loaded immediately,
where adapter places are free. Places that would stay empty are used to prefetch
adapters of busy models.
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

# Largest number of adapters that may be loading at one replica at a time.
_MAX_IN_TRANSIT: Final = 4
# Places at each replica that prefetching leaves free for requested adapters.
_RESERVED_PLACES: Final = 1
# Request rate of a model, per second, from which its adapters are prefetched.
_PREFETCH_RATE: Final = 0.3


class AdapterPlacement:
    """Plans at most one adapter order for each replica.

    ``orders`` collects the planned orders.
    """

    def __init__(
        self,
        engines: Sequence[EngineView],
        spec: EngineSpec,
        demand: Demand,
        holders: Mapping[str, Sequence[str]],
    ) -> None:
        """Store the inputs; ``holders`` maps models to replica names."""
        self.orders: list[ModelOrder] = []
        self._engines = engines
        self._spec = spec
        self._demand = demand
        self._excluded: set[str] = set()
        self._holders = holders
        self._present = _find_adapters(engines)

    def place_waiting(self) -> None:
        """Load the adapters that requests wait for, longest unserved first."""
        for target in rank_by_unserved_time(self._demand):
            model, adapter = target
            if not adapter or model not in self._spec.models:
                continue
            if target not in self._present:
                self._place_adapter(target)

    def prefetch(self, excluded: set[str]) -> None:
        """Fill free places with adapters of busy models.

        ``excluded`` names replicas that get no further order.
        """
        self._excluded |= excluded
        for engine in self._engines:
            usable_places = self._spec.adapter_places - _RESERVED_PLACES
            if engine.adapter_places_used >= usable_places:
                continue
            target = self._next_prefetch_target(engine)
            if target is not None and not engine.holdings.arriving:
                self._load(engine, target)

    def _place_adapter(self, target: Target) -> None:
        holders = [
            (engine.adapter_places_used, engine.name, engine)
            for engine in self._engines
            if self._accepts_adapter(engine, target[0])
        ]
        if not holders:
            return
        used, _, engine = min(holders, key=_usage_of)
        if used < self._spec.adapter_places:
            self._load(engine, target)
            return
        victim = _find_idle_adapter(engine)
        if victim is not None:
            self.orders.append(UnloadAdapter(engine.name, *victim))
            self._excluded.add(engine.name)

    def _load(self, engine: EngineView, target: Target) -> None:
        self.orders.append(LoadAdapter(engine.name, *target))
        self._excluded.add(engine.name)
        self._present.add(target)

    def _accepts_adapter(self, engine: EngineView, model: str) -> bool:
        if engine.name in self._excluded or not engine.accepts_orders:
            return False
        if engine.successor:
            return False
        if (
            model not in engine.holdings.models
            or model == engine.evicting_model
        ):
            return False
        if len(engine.holdings.arriving) >= _MAX_IN_TRANSIT:
            return False
        used = engine.memory_in_use(self._spec)
        needed = self._spec.models[model].adapter_mb
        return used + needed <= self._spec.memory_mb

    def _next_prefetch_target(self, engine: EngineView) -> Target | None:
        rates = {
            model: self._demand.for_model(model).rate
            for model in engine.holdings.models
            if self._is_busy(model) and self._accepts_adapter(engine, model)
        }
        for model in rank_by_amount(rates):
            for adapter in self._spec.models[model].adapter_names:
                if (model, adapter) not in self._present:
                    return model, adapter
        return None

    def _is_busy(self, model: str) -> bool:
        """Whether the demand for a model is high enough for prefetching.

        As long as there is no demand at all, a model with more than one copy
        counts as busy.
        """
        if model not in self._spec.models:
            return False
        if self._demand.models:
            return self._demand.for_model(model).rate >= _PREFETCH_RATE
        return len(self._holders.get(model, ())) > 1


def _find_adapters(engines: Sequence[EngineView]) -> set[Target]:
    present: set[Target] = set()
    for engine in engines:
        if not engine.is_reachable:
            continue
        present.update(engine.holdings.arriving)
        for model, adapters in engine.holdings.models.items():
            present.update((model, adapter) for adapter in adapters)
    return present


def _usage_of(entry: tuple[int, str, EngineView]) -> tuple[int, str]:
    return entry[0], entry[1]


def _find_idle_adapter(engine: EngineView) -> Target | None:
    """Return the idle adapter whose last use is the least recent.

    Returns ``None`` if no adapter is idle. Adapters that have just arrived are
    left out.
    """
    idle = [
        (engine.last_use.get((model, adapter), 0.0), model, adapter)
        for model, adapters in engine.holdings.models.items()
        for adapter in adapters
        if not engine.running.get((model, adapter))
        and (model, adapter) not in engine.just_arrived
    ]
    return min(idle)[1:] if idle else None
