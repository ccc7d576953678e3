"""Estimates how many requests are late when a model is loaded or evicted.

Handles this load: a few models receive nearly all requests, many share a low
rate, and the set of busy models changes over time. An unload waits for the
running requests of its model, and a replica accepts no other order while it
carries one out; an idle victim is therefore cheaper. A model that is idle now
may become busy next, and many requests would then be late. It is therefore
kept in preference to a model that has only latency-tolerant requests and that
can be loaded from disk in time.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from bramleybeam.catalog import EngineSpec, Holdings
from bramleybeam.orders._balance import LoadBalance, ModelCopy
from bramleybeam.orders._messages import Demand, EngineView

# Share of a replica's slots in use from which its requests slow each other
# down; the replica then counts as saturated.
_SATURATED_SHARE: Final = 0.4
# Share of the requests at a saturated replica that benefit from another copy
# of their model.
_OFFLOADED_SHARE: Final = 0.3
# Share of the requests waiting for a model that each second of its load
# makes late.
_WAITING_LATE_PER_S: Final = 0.5
# Late requests per second to expect for a model without a copy once it has had
# an urgent request, because demand may be moving to it.
_SURGE_RATE: Final = 4.0
# Seconds that an unload takes when no request of the model runs.
_UNLOAD_S: Final = 0.2
# Seconds that an unload waits for running requests to end: a base, an addition
# for each request, and a limit.
_DRAIN_S: Final = 2.5
_DRAIN_PER_REQUEST_S: Final = 0.25
_MAX_DRAIN_S: Final = 6.0
# Expected seconds until a replica that carries out an order accepts another
# one, without the time of its unload.
_ORDER_BUSY_S: Final = 1.0
# Seconds of demand over which costs and gains are counted.
HORIZON_S: Final = 10.0
# Baseline request rate: requests per second added to the rate of every model,
# so that a model without recent demand has some.
_BASELINE_RATE: Final = 0.002
# Cost, in late requests, of evicting an idle model: the requests that would be
# late if it became busy, times the probability that it does within the horizon.
_IDLE_EVICTION_COST: Final = 6.0
# Share of the latency-tolerant requests for an evicted model that are late
# although a host caches its weights, which makes the load faster.
_CACHED_LATE_SHARE: Final = 0.6
# Share of the requests with an adapter whose adapter is not loaded yet; a
# replica cannot load an adapter while it carries out an order for a model.
_ADAPTER_MISS_SHARE: Final = 0.2
# Cost of evicting a copy that is not the last, as a share of the model's
# expected requests.
_SPARE_COPY_SHARE: Final = 0.01


class PlacementCosts:
    """Costs of orders, in the number of requests that they make late.

    ``copies`` counts the copies of each model and ``balance`` spreads the
    demand over them; both are updated with the orders that are planned.
    ``waiting`` counts the waiting requests and ``unserved_s`` the seconds
    without service, by model.
    """

    def __init__(
        self,
        engines: Sequence[EngineView],
        spec: EngineSpec,
        demand: Demand,
        holders: Mapping[str, Sequence[str]],
    ) -> None:
        """Count the existing copies and spread the demand over them."""
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
    def requested_models(self) -> Iterable[str]:
        """The models that have demand."""
        return self._demand.models

    def is_latency_tolerant(self, model: str) -> bool:
        """Whether a model has had only latency-tolerant requests."""
        demand = self._demand.for_model(model)
        return bool(model) and not demand.was_urgent and demand.tolerant > 0

    def is_needed(self, model: str) -> bool:
        """Whether a model is busy and has at most one copy."""
        return self.balance.is_busy(model) and self.copies.get(model, 0) <= 1

    def expected_requests(self, model: str) -> float:
        """Return the number of requests expected within the horizon."""
        return self._rate(model) * HORIZON_S

    def offload_gain(self, model: str) -> float:
        """Return the requests at saturated replicas that a copy would help."""
        return self._saturated.get(model, 0) * _OFFLOADED_SHARE

    def expected_late(self, model: str) -> float:
        """Return how many requests of a model will be late in the horizon."""
        offload_gain = self.offload_gain(model)
        if not self.balance.is_busy(model):
            return offload_gain
        return max(offload_gain, self.balance.late_rate_of(model) * HORIZON_S)

    def load_time(self, engine: EngineView, model: str) -> float:
        """Return the seconds of a load from the closest copy of the weights."""
        model_spec = self._spec.models[model]
        if model in engine.holdings.in_memory:
            return model_spec.memory_load_s
        if model in engine.holdings.on_disk:
            return model_spec.disk_load_s
        return model_spec.load_s

    def placement_cost(
        self, engine: EngineView, model: str, victim: str
    ) -> float:
        """Return the cost of loading a model in place of a victim, in requests.

        ``victim`` is empty when nothing has to be evicted. The victim is gone
        from now on, whereas the model helps only after a delay.
        """
        delay_s = self.load_time(engine, model) + unload_time(engine, victim)
        if not engine.accepts_orders:
            delay_s += _ORDER_BUSY_S + unload_time(
                engine, engine.evicting_model
            )
        added, removed = copy_changes_for(engine, model, victim)
        late_rate = self.balance.late_rate
        rate_without = late_rate
        if removed is not None:
            rate_without = self.balance.late_rate_without(removed)
        rate_after = self.balance.late_rate_with(added, removed)
        effective_s = max(0, HORIZON_S - delay_s)
        cost = (rate_without - late_rate) * HORIZON_S + (
            rate_after - rate_without
        ) * effective_s
        cost += delay_s * self._cost_per_s(engine, model)
        return cost + self._eviction_loss(victim)

    def eviction_cost(self, engine: EngineView, victim: str) -> float:
        """Return the cost, in requests, of evicting a model without a load."""
        rate_without = self.balance.late_rate_without(
            ModelCopy(victim, engine.name)
        )
        late_requests = (rate_without - self.balance.late_rate) * HORIZON_S
        return (
            late_requests
            + self._eviction_loss(victim)
            + engine.count_running(victim)
        )

    def _cost_per_s(self, engine: EngineView, model: str) -> float:
        """Return the late requests for each second until a model is loaded.

        The last term makes a slower load cost more even if nobody waits.
        """
        late_rate = self.waiting.get(model, 0) * _WAITING_LATE_PER_S
        if (
            not self.copies.get(model)
            and self._demand.for_model(model).was_urgent
        ):
            late_rate = max(late_rate, _SURGE_RATE)
        return late_rate + self._adapter_requests(engine) + 1 / HORIZON_S

    def _adapter_requests(self, engine: EngineView) -> float:
        """Return the requests per second that may need a new adapter here."""
        return sum(
            self._demand.for_model(model).adapted
            * _ADAPTER_MISS_SHARE
            / max(1, self.copies.get(model, 1))
            for model in engine.holdings.models
        )

    def _eviction_loss(self, victim: str) -> float:
        """Return the late requests caused by the loss of a victim's copy.

        The effect on the load balance is not included.
        """
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
            urgent = max(urgent, _IDLE_EVICTION_COST)
        late_share = _CACHED_LATE_SHARE if victim in self._cached_on_host else 1
        return urgent + demand.tolerant * HORIZON_S * late_share + waiting

    def _rate(self, model: str) -> float:
        return self._demand.for_model(model).rate + _BASELINE_RATE


def find_holders(engines: Iterable[EngineView]) -> dict[str, list[str]]:
    """Return the names of the replicas that hold each model.

    Models that are being loaded, or for which memory is being freed, count as
    held; models that are being evicted do not. Unreachable replicas are left
    out.
    """
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
    """Count requests at saturated replicas by model.

    Models that are being loaded somewhere already are left out.
    """
    counts: Counter[str] = Counter()
    incoming_models = set()
    for engine in engines:
        incoming_models |= {engine.loading_model, engine.successor}
        if engine.running_count >= spec.slots * _SATURATED_SHARE:
            for (model, _), count in engine.running.items():
                counts[model] += count
    return {
        model: count
        for model, count in counts.items()
        if model not in incoming_models
    }


def unload_time(engine: EngineView, victim: str) -> float:
    """Return the seconds that an unload takes; 0 if ``victim`` is empty."""
    if not victim:
        return 0
    running_count = engine.count_running(victim)
    if not running_count:
        return _UNLOAD_S
    return min(_MAX_DRAIN_S, _DRAIN_S + running_count * _DRAIN_PER_REQUEST_S)


def copy_changes_for(
    engine: EngineView,
    model: str,
    victim: str,
) -> tuple[ModelCopy, ModelCopy | None]:
    """Return the copy that is added, and the copy that is removed or None."""
    removed = ModelCopy(victim, engine.name) if victim else None
    return ModelCopy(model, engine.name), removed


def is_cached_on_host(holdings: Holdings, model: str) -> bool:
    """Whether the host caches the weights, so that the store is not read."""
    return model in holdings.in_memory or model in holdings.on_disk
