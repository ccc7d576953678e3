"""Decides which models and adapters the replicas of a service hold.

Answers this load: a few models carry nearly all requests, many share a
trickle, not all fit, and which ones are busy moves on. A model that requests
wait for is brought in at once, where its weights are at hand if possible, in
place of what is expected to be missed least. Busy models get further copies
while that costs nothing that is asked for.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import attrs

from bramleybeam.catalog import EngineSpec, Holdings

# Prompt tokens that one replica reads in a second, for shares of its time.
_PREFILL_TOKENS_PER_S: Final = 20_000.0
# Share of a copy's time from which prompts queue noticeably.
_BUSY_SHARE: Final = 0.3
# Seconds of demand over which a dropped model is expected to be missed.
_HORIZON_S: Final = 10.0
# Requests that a model without recent demand is taken to get, per second.
_FAINT_RATE: Final = 0.002
# Adapters that may be on their way to one replica at a time.
_ADAPTERS_IN_TRANSIT: Final = 4
# Places that stay free for adapters that are asked for, at each replica.
_SPARE_PLACES: Final = 1
# Requests a second from which a model's adapters are fetched ahead.
_FETCH_AHEAD_RATE: Final = 0.3
# Loss, in requests, that another copy of a busy model is worth at least.
_COPY_GAIN_FLOOR: Final = 0.5


@attrs.frozen
class LoadModel:
    """Bring a model to a replica; ``from_store`` counts for its rate."""

    replica: str
    model: str
    from_store: bool = True


@attrs.frozen
class UnloadModel:
    """Drop a model from a replica."""

    replica: str
    model: str


@attrs.frozen
class LoadAdapter:
    """Bring an adapter of a model that the replica holds."""

    replica: str
    model: str
    adapter: str


@attrs.frozen
class UnloadAdapter:
    """Drop an adapter."""

    replica: str
    model: str
    adapter: str


ModelOrder = LoadModel | UnloadModel | LoadAdapter | UnloadAdapter
# A model and one of its adapters; the adapter is empty for the bare model.
Target = tuple[str, str]


@attrs.frozen
class EngineView:
    """A replica as the orders are planned.

    ``running`` counts requests by target; ``is_open`` tells whether it may be
    given an order for a model now; ``leaving`` names models that are being
    unloaded, ``loading`` the model that is on its way.
    """

    name: str
    holdings: Holdings
    running: Mapping[Target, int] = attrs.field(factory=dict)
    is_open: bool = True
    loading: str = ''
    leaving: str = ''

    def runs_of(self, model: str) -> int:
        """Count the requests of a model that run here."""
        return sum(
            count
            for target, count in self.running.items()
            if target[0] == model
        )


@attrs.frozen
class Demand:
    """What callers ask for: requests and prompt tokens a second by model.

    ``waiting`` counts requests, by target, that wait since their target is
    nowhere.
    """

    rates: Mapping[str, float] = attrs.field(factory=dict)
    token_rates: Mapping[str, float] = attrs.field(factory=dict)
    waiting: Mapping[Target, int] = attrs.field(factory=dict)


def plan_model_orders(
    engines: Sequence[EngineView],
    spec: EngineSpec,
    demand: Demand,
    store_loads: int,
) -> list[ModelOrder]:
    """Plan at most one model order a replica, and the adapters that wait.

    ``store_loads`` is how many loads from the weight store may begin now.
    """
    plan = _Plan(engines, spec, demand, store_loads)
    plan.place_waiting_models()
    plan.place_adapters()
    plan.add_copies()
    plan.fetch_adapters()
    return plan.orders


class _Plan:
    def __init__(
        self,
        engines: Sequence[EngineView],
        spec: EngineSpec,
        demand: Demand,
        store_loads: int,
    ) -> None:
        self.orders: list[ModelOrder] = []
        self._engines = engines
        self._spec = spec
        self._demand = demand
        self._store_loads = store_loads
        self._ordered: set[str] = set()
        self._fetched: set[Target] = set()
        self._copies = _count_copies(engines)

    def place_waiting_models(self) -> None:
        """Bring in each model that requests wait for, most waiting first."""
        counts: dict[str, int] = {}
        for (model, _), count in self._demand.waiting.items():
            counts[model] = counts.get(model, 0) + count
        for model in _most_first(counts):
            if model in self._spec.models and not self._copies.get(model):
                self._bring_in(model, float('inf'))

    def place_adapters(self) -> None:
        """Bring in adapters that requests wait for."""
        taken: dict[str, int] = {}
        for model, adapter in sorted(self._demand.waiting):
            if not adapter or model not in self._spec.models:
                continue
            if not self._is_coming(model, adapter):
                self._bring_adapter(model, adapter, taken)

    def add_copies(self) -> None:
        """Give the busiest models further copies while that pays."""
        loads = {
            model: rate / _PREFILL_TOKENS_PER_S
            for model, rate in self._demand.token_rates.items()
            if model in self._spec.models
        }
        for model in _most_first(loads):
            copies = self._copies.get(model, 0)
            if not copies or self._is_loading(model):
                continue
            excess = loads[model] / copies - _BUSY_SHARE
            gain = self._rate(model) * _HORIZON_S * excess
            if gain > _COPY_GAIN_FLOOR:
                self._bring_in(model, gain)
                return

    def fetch_adapters(self) -> None:
        """Fill free places with adapters of busy models, ahead of demand."""
        for engine in self._engines:
            places = self._spec.adapter_places - _SPARE_PLACES
            if engine.holdings.arriving or _places(engine) >= places:
                continue
            target = self._next_adapter(engine)
            if target is not None and self._may_take_adapter(
                engine, target[0], {}
            ):
                self.orders.append(LoadAdapter(engine.name, *target))
                self._fetched.add(target)

    def _next_adapter(self, engine: EngineView) -> Target | None:
        rates = {
            model: self._demand.rates.get(model, 0)
            for model in engine.holdings.models
            if self._is_busy_model(model)
        }
        for model in _most_first(rates):
            for adapter in self._spec.models[model].adapter_names:
                target = (model, adapter)
                if target in self._fetched or self._is_coming(*target):
                    continue
                return target
        return None

    def _is_busy_model(self, model: str) -> bool:
        if model not in self._spec.models:
            return False
        if self._demand.rates:
            return self._rate(model) >= _FETCH_AHEAD_RATE
        return self._copies.get(model, 0) > 1

    def _bring_in(self, model: str, gain: float) -> None:
        """Load where it costs least, or first make room there."""
        choices = [
            choice
            for engine in self._engines
            for choice in self._choices(engine, model)
        ]
        if not choices:
            return
        cost, engine, victim = min(
            choices, key=lambda choice: (choice[0], choice[1].name)
        )
        if cost >= gain:
            return
        if victim:
            self.orders.append(UnloadModel(engine.name, victim))
            self._copies[victim] -= 1
        else:
            self._load(engine, model)
        self._ordered.add(engine.name)

    def _load(self, engine: EngineView, model: str) -> None:
        from_store = not _is_at_hand(engine.holdings, model)
        if from_store:
            self._store_loads -= 1
        self.orders.append(LoadModel(engine.name, model, from_store))

    def _choices(
        self,
        engine: EngineView,
        model: str,
    ) -> Iterable[tuple[float, EngineView, str]]:
        held = engine.holdings.models
        if not engine.is_open or engine.name in self._ordered or model in held:
            return
        load_s = self._load_time(engine, model)
        if load_s is None:
            return
        if self._fits(engine, model):
            yield load_s / _HORIZON_S, engine, ''
            return
        for victim in held:
            loss = self._loss(victim) + engine.runs_of(victim)
            yield loss + load_s / _HORIZON_S, engine, victim

    def _load_time(self, engine: EngineView, model: str) -> float | None:
        spec = self._spec.models[model]
        if model in engine.holdings.in_memory:
            return spec.memory_load_s
        if model in engine.holdings.on_disk:
            return spec.disk_load_s
        return spec.load_s if self._store_loads > 0 else None

    def _fits(self, engine: EngineView, model: str) -> bool:
        used = memory_in_use(engine, self._spec)
        return used + self._spec.models[model].memory_mb <= self._spec.memory_mb

    def _loss(self, victim: str) -> float:
        """Requests that are served late for want of a dropped copy."""
        copies = self._copies.get(victim, 1)
        rate = self._rate(victim)
        if copies <= 1:
            waiting = sum(
                count
                for target, count in self._demand.waiting.items()
                if target[0] == victim
            )
            return rate * _HORIZON_S + waiting
        tokens = self._demand.token_rates.get(victim, 0)
        share = tokens / _PREFILL_TOKENS_PER_S / (copies - 1)
        return rate * _HORIZON_S * max(0.01, share - _BUSY_SHARE)

    def _rate(self, model: str) -> float:
        return self._demand.rates.get(model, 0) + _FAINT_RATE

    def _bring_adapter(
        self,
        model: str,
        adapter: str,
        taken: dict[str, int],
    ) -> None:
        holders = [
            engine
            for engine in self._engines
            if self._may_take_adapter(engine, model, taken)
        ]
        if not holders:
            return
        engine = min(holders, key=lambda one: (_places(one), one.name))
        if _places(engine) < self._spec.adapter_places:
            self.orders.append(LoadAdapter(engine.name, model, adapter))
        else:
            victim = _idle_adapter(engine)
            if victim is None:
                return
            self.orders.append(UnloadAdapter(engine.name, *victim))
        taken[engine.name] = 1

    def _may_take_adapter(
        self,
        engine: EngineView,
        model: str,
        taken: dict[str, int],
    ) -> bool:
        if engine.name in taken or engine.name in self._ordered:
            return False
        if any(order.replica == engine.name for order in self.orders):
            return False
        if not engine.is_open or model == engine.leaving:
            return False
        if len(engine.holdings.arriving) >= _ADAPTERS_IN_TRANSIT:
            return False
        if model not in engine.holdings.models:
            return False
        adapter_mb = self._spec.models[model].adapter_mb
        used = memory_in_use(engine, self._spec)
        return used + adapter_mb <= self._spec.memory_mb

    def _is_coming(self, model: str, adapter: str) -> bool:
        return any(
            (model, adapter) in engine.holdings.arriving
            or adapter in engine.holdings.models.get(model, ())
            for engine in self._engines
        )

    def _is_loading(self, model: str) -> bool:
        return any(engine.loading == model for engine in self._engines)


def memory_in_use(engine: EngineView, spec: EngineSpec) -> float:
    """Memory in MB that is, or will be, taken at a replica."""
    used = 0.0
    held = dict(engine.holdings.models)
    if engine.loading:
        held.setdefault(engine.loading, frozenset())
    for model, adapters in held.items():
        known = spec.models.get(model)
        if known is None:
            return spec.memory_mb
        used += known.memory_mb + known.adapter_mb * len(adapters)
    for model, _ in engine.holdings.arriving:
        known = spec.models.get(model)
        used += known.adapter_mb if known else spec.memory_mb
    return used


def _count_copies(engines: Iterable[EngineView]) -> dict[str, int]:
    copies: dict[str, int] = {}
    for engine in engines:
        present = {*engine.holdings.models, engine.loading} - {engine.leaving}
        for model in present - {''}:
            copies[model] = copies.get(model, 0) + 1
    return copies


def _most_first(amounts: Mapping[str, float]) -> list[str]:
    """Return the names by falling amount, equal ones by name."""
    return sorted(amounts, key=lambda name: (-amounts[name], name))


def _is_at_hand(holdings: Holdings, model: str) -> bool:
    return model in holdings.in_memory or model in holdings.on_disk


def _places(engine: EngineView) -> int:
    held = sum(len(names) for names in engine.holdings.models.values())
    return held + len(engine.holdings.arriving)


def _idle_adapter(engine: EngineView) -> Target | None:
    for model, adapters in engine.holdings.models.items():
        for adapter in sorted(adapters):
            if not engine.running.get((model, adapter)):
                return model, adapter
    return None
