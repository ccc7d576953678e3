"""Prices what is late when a model comes to a replica, or leaves it.

Answers this load: a few models carry nearly all requests, many share a
trickle, and which ones are busy moves on. An unload waits for the requests
that run, and a replica that carries out an order takes no other, so a victim
that is idle goes first. A model that is silent now may be the next busy one:
many requests would be late then, so it stays before one that only patient
requests ask for, and that a disk can bring back in time.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from bramleybeam.catalog import EngineSpec, Holdings
from bramleybeam.orders._balance import Copy, LoadBalance
from bramleybeam.orders._messages import Demand, EngineView

# Share of a replica's slots from which its requests slow each other down.
_SATURATED_SHARE: Final = 0.4
# Share of a crowded replica's requests that another copy helps.
_RELIEVED_SHARE: Final = 0.3
# Share of the requests waiting for a model that each second of its load
# makes late.
_WAITING_LATE_PER_S: Final = 0.5
# Requests a second that are expected when an urgent one asks for a model that
# is nowhere: demand has moved to it.
_SURGE_RATE: Final = 4.0
# Time that an unload takes when nothing runs.
_UNLOAD_S: Final = 0.2
# Time that an unload waits for requests to end, and more for each of them.
_RUN_OUT_S: Final = 2.5
_RUN_OUT_PER_REQUEST_S: Final = 0.25
_MAX_RUN_OUT_S: Final = 6.0
# Time until a replica that carries out an order can be given another.
_BUSY_S: Final = 1.0
# Seconds of demand over which a dropped model is expected to be missed.
HORIZON_S: Final = 10.0
# Requests that a model without recent demand is taken to get, per second.
_FAINT_RATE: Final = 0.002
# Requests that would be late when a silent model becomes busy, times the
# chance that it does within the horizon.
_SILENT_LOSS: Final = 6.0
# Share of patient requests that are late though the weights are at hand.
_AT_HAND_LATE: Final = 0.6
# Share of the requests for an adapter whose adapter isn't there; none can be
# brought to a replica while it carries out an order for a model.
_ADAPTER_MISS_SHARE: Final = 0.2
# Loss of a spare copy, as a share of the model's requests.
_SPARE_COPY_SHARE: Final = 0.01


class PlacementCosts:
    """Costs of orders, in requests that are late for them.

    ``copies`` counts those of each model, ``balance`` spreads the demand over
    them; both follow the orders that are planned.
    """

    def __init__(
        self,
        engines: Sequence[EngineView],
        spec: EngineSpec,
        demand: Demand,
        holders: Mapping[str, Sequence[str]],
    ) -> None:
        """Count the copies that there are, and spread the demand on them."""
        self.copies = {model: len(names) for model, names in holders.items()}
        self.balance = LoadBalance(demand, holders)
        self.waiting = demand.waiting_by_model()
        self.unserved_s = demand.unserved_by_model()
        self._spec = spec
        self._saturated = _count_saturated(engines, spec)
        self._demand = demand
        self._cached_on_host = {
            model
            for engine in engines
            for model in engine.holdings.in_memory | engine.holdings.on_disk
        }

    @property
    def asked_models(self) -> Iterable[str]:
        """The models that there is demand for."""
        return self._demand.models

    def is_latency_tolerant(self, model: str) -> bool:
        """Whether only requests that can wait have asked for a model."""
        demand = self._demand.for_model(model)
        return bool(model) and not demand.was_urgent and demand.tolerant > 0

    def is_needed(self, model: str) -> bool:
        """Whether a model is busy and has no other copy."""
        return self.balance.is_busy(model) and self.copies.get(model, 0) <= 1

    def expected_requests(self, model: str) -> float:
        """Return the requests expected within the horizon."""
        return self._rate(model) * HORIZON_S

    def offload_gain(self, model: str) -> float:
        """Return the requests at crowded replicas that a copy would help."""
        return self._saturated.get(model, 0) * _RELIEVED_SHARE

    def expected_late(self, model: str) -> float:
        """Return the requests of a model that are late within the horizon."""
        offload_gain = self.offload_gain(model)
        if not self.balance.is_busy(model):
            return offload_gain
        return max(offload_gain, self.balance.late_of(model) * HORIZON_S)

    def load_time(self, engine: EngineView, model: str) -> float:
        """Return the seconds of a load, from where the weights are."""
        known = self._spec.models[model]
        if model in engine.holdings.in_memory:
            return known.memory_load_s
        if model in engine.holdings.on_disk:
            return known.disk_load_s
        return known.load_s

    def swap_cost(self, engine: EngineView, model: str, victim: str) -> float:
        """Return the cost of bringing a model in place of another, if any.

        The victim is missed from now on, the model helps after a delay.
        """
        delay_s = self.load_time(engine, model) + unload_time(engine, victim)
        if not engine.accepts_orders:
            delay_s += _BUSY_S + unload_time(engine, engine.evicting_model)
        added, removed = name_swap(engine, model, victim)
        late = self.balance.late
        without = late
        if removed is not None:
            without = self.balance.late_without(removed)
        after = self.balance.late_with(added, removed)
        effective_s = max(0, HORIZON_S - delay_s)
        cost = (without - late) * HORIZON_S + (after - without) * effective_s
        cost += delay_s * self._cost_per_s(engine, model)
        return cost + self._loss(victim)

    def drop_cost(self, engine: EngineView, victim: str) -> float:
        """Return the cost of dropping a model when nothing comes for it."""
        without = self.balance.late_without(Copy(victim, engine.name))
        late = (without - self.balance.late) * HORIZON_S
        return late + self._loss(victim) + engine.count_running(victim)

    def _cost_per_s(self, engine: EngineView, model: str) -> float:
        """Requests that are late for each second until a model is here."""
        late = self.waiting.get(model, 0) * _WAITING_LATE_PER_S
        if (
            not self.copies.get(model)
            and self._demand.for_model(model).was_urgent
        ):
            late = max(late, _SURGE_RATE)
        return late + self._adapter_requests(engine) + 1 / HORIZON_S

    def _adapter_requests(self, engine: EngineView) -> float:
        """Requests a second that may ask this replica for a new adapter."""
        return sum(
            self._demand.for_model(model).adapted
            * _ADAPTER_MISS_SHARE
            / max(1, self.copies.get(model, 1))
            for model in engine.holdings.models
        )

    def _loss(self, victim: str) -> float:
        """Requests that are late for want of a copy, load apart."""
        if not victim:
            return 0
        if self.copies.get(victim, 1) > 1:
            return self.expected_requests(victim) * _SPARE_COPY_SHARE
        waiting = self.waiting.get(victim, 0)
        if self.balance.is_busy(victim):
            return waiting
        demand = self._demand.for_model(victim)
        urgent = demand.urgent * HORIZON_S
        if demand.was_urgent or not demand.tolerant:
            urgent = max(urgent, _SILENT_LOSS)
        late_share = _AT_HAND_LATE if victim in self._cached_on_host else 1
        return urgent + demand.tolerant * HORIZON_S * late_share + waiting

    def _rate(self, model: str) -> float:
        return self._demand.for_model(model).rate + _FAINT_RATE


def find_holders(engines: Iterable[EngineView]) -> dict[str, list[str]]:
    """Name the replicas that hold each model to stay, or will."""
    holders: dict[str, list[str]] = {}
    for engine in engines:
        if not engine.is_reachable:
            continue
        present = {
            *engine.holdings.models,
            engine.loading_model,
            engine.successor,
        }
        for model in sorted(present - {engine.evicting_model, ''}):
            holders.setdefault(model, []).append(engine.name)
    return holders


def _count_saturated(
    engines: Iterable[EngineView],
    spec: EngineSpec,
) -> dict[str, int]:
    """Count requests at crowded replicas by model, if it isn't coming."""
    counts: Counter[str] = Counter()
    coming = set()
    for engine in engines:
        coming |= {engine.loading_model, engine.successor}
        if engine.running_count >= spec.slots * _SATURATED_SHARE:
            for (model, _), count in engine.running.items():
                counts[model] += count
    return {
        model: count for model, count in counts.items() if model not in coming
    }


def unload_time(engine: EngineView, victim: str) -> float:
    """Return the seconds until a model has left, 0 when there is none."""
    if not victim:
        return 0
    running_count = engine.count_running(victim)
    if not running_count:
        return _UNLOAD_S
    return min(
        _MAX_RUN_OUT_S, _RUN_OUT_S + running_count * _RUN_OUT_PER_REQUEST_S
    )


def name_swap(
    engine: EngineView,
    model: str,
    victim: str,
) -> tuple[Copy, Copy | None]:
    """Return the copy that comes and the one that goes, if any."""
    removed = Copy(victim, engine.name) if victim else None
    return Copy(model, engine.name), removed


def is_cached_on_host(holdings: Holdings, model: str) -> bool:
    """Whether the replica's host has the weights, so that no store is asked."""
    return model in holdings.in_memory or model in holdings.on_disk
