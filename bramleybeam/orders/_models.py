"""Decides which models the replicas of a service hold.

Handles this load: a few models receive nearly all requests, many share a low
rate, not all fit into memory, and the set of busy models changes over time. A
model that requests wait for is loaded where that makes the fewest requests
late. A busy model gets another copy where that saves more requests than it
costs. Loads for latency-tolerant requests may occupy only some of the replicas,
so that the others accept orders as soon as demand changes.
"""

import math
from collections.abc import Iterable, Sequence
from typing import Final

from bramleybeam.catalog import EngineSpec
from bramleybeam.orders._costs import (
    PlacementCosts,
    copy_changes_for,
    is_cached_on_host,
    unload_time,
)
from bramleybeam.orders._load_candidates import LoadCandidate, rank_candidates
from bramleybeam.orders._messages import (
    EngineView,
    LoadModel,
    ModelOrder,
    UnloadModel,
    incoming_model,
)
from bramleybeam.orders._options import PlacementOption, PlacementOptions
from bramleybeam.orders._ranking import rank_by_amount

# Largest share of the replicas that may load models for latency-tolerant
# requests at a time.
MAX_TOLERANT_SHARE: Final = 0.34
# Limits of one planning round, so that it does not block the event loop: models
# that are considered for another copy, and models that are considered for a
# load.
_MAX_COPY_CANDIDATES: Final = 8
_MAX_LOAD_CANDIDATES: Final = 16
# Smallest number of late requests for which another copy of a busy model is
# considered, and smallest net gain of that copy in requests.
_MIN_COPY_GAIN: Final = 0.5


class ModelPlacement:
    """Plans at most one load or unload of a model for each replica.

    ``orders`` collects the planned orders. ``store_loads`` is how many loads
    from the weight store may begin now. ``max_tolerant_share`` is the largest
    share of the replicas that may load models for latency-tolerant requests.
    """

    def __init__(
        self,
        engines: Sequence[EngineView],
        spec: EngineSpec,
        costs: PlacementCosts,
        store_loads: int,
        max_tolerant_share: float = MAX_TOLERANT_SHARE,
    ) -> None:
        """Store the inputs, and reserve loads for evictions in progress."""
        self.orders: list[ModelOrder] = []
        self._engines = engines
        self._spec = spec
        self._max_tolerant_share = max_tolerant_share
        self._costs = costs
        self._options = PlacementOptions(engines, spec, costs, store_loads)

    def exclude_replicas(self, replicas: Iterable[str]) -> None:
        """Plan no orders for the given replicas."""
        self._options.excluded.update(replicas)

    def load_successors(self) -> None:
        """Load the models for which memory has been freed.

        Another model is evicted where the freed memory is not enough. A load
        waits while the rate of the weight store does not allow it.
        """
        for engine in self._engines:
            model = engine.successor
            if not engine.accepts_orders or model not in self._spec.models:
                continue
            self._options.excluded.add(engine.name)
            if not self._options.fits(engine, model):
                self._evict_for(self._options.find_victim(engine), model)
            elif self._options.may_load(engine, model):
                self._load(engine, model)

    def place(self) -> None:
        """Plan loads in the order of rank, at most one for each model."""
        if not any(
            engine.accepts_orders and engine.name not in self._options.excluded
            for engine in self._engines
        ):
            return
        candidates = self._list_candidates()
        for model in rank_candidates(
            candidates, self._costs.is_latency_tolerant
        )[:_MAX_LOAD_CANDIDATES]:
            if self._is_within_load_limit(model):
                self._place_model(model, candidates[model])

    def _list_candidates(self) -> dict[str, LoadCandidate]:
        copies = self._costs.copies
        candidates = {
            model: LoadCandidate(
                count + self._costs.expected_requests(model),
                unserved_s=self._costs.unserved_s.get(model, 0),
            )
            for model, count in self._costs.waiting.items()
            if model in self._spec.models and not copies.get(model)
        }
        for model in self._list_saturated():
            candidate = self._evaluate_copy(model)
            if candidate is not None:
                candidates[model] = candidate
        return candidates

    def _list_saturated(self) -> list[str]:
        """Return the models with most late requests, which may need a copy."""
        late_requests = {
            model: self._costs.expected_late(model)
            for model in self._costs.requested_models
            if model in self._spec.models and self._costs.copies.get(model)
        }
        return [
            model
            for model in rank_by_amount(late_requests)[:_MAX_COPY_CANDIDATES]
            if late_requests[model] > _MIN_COPY_GAIN
        ]

    def _evaluate_copy(self, model: str) -> LoadCandidate | None:
        """Return a candidate for another copy, ``None`` if it costs too much."""
        offload_gain = self._costs.offload_gain(model)
        max_cost = offload_gain - _MIN_COPY_GAIN
        best = self._options.find_cheapest(model)
        if best is None or best.cost >= max_cost:
            return None
        return LoadCandidate(offload_gain - best.cost, max_cost)

    def _is_within_load_limit(self, model: str) -> bool:
        """Whether the limit on loads for tolerant requests allows a load."""
        if not self._costs.is_latency_tolerant(model):
            return True
        max_loads = math.ceil(len(self._engines) * self._max_tolerant_share)
        return self._count_tolerant_loads() < max_loads

    def _count_tolerant_loads(self) -> int:
        """Count the replicas that load or evict for tolerant requests."""
        is_latency_tolerant = self._costs.is_latency_tolerant
        busy_count = sum(
            is_latency_tolerant(engine.loading_model or engine.successor)
            for engine in self._engines
            if not engine.accepts_orders
        )
        return busy_count + sum(
            is_latency_tolerant(incoming_model(order)) for order in self.orders
        )

    def _place_model(self, model: str, candidate: LoadCandidate) -> None:
        """Load a model where that costs least, or evict a victim there first.

        If the cheapest replica does not accept orders now, nothing is planned:
        the model waits for that replica. An overdue model goes to the cheapest
        replica that accepts orders now.
        """
        best = self._options.find_cheapest(
            model, prefer_accepting=candidate.is_overdue
        )
        if best is None or best.cost >= candidate.max_cost:
            return
        if not best.engine.accepts_orders:
            return
        if best.victim:
            self._evict_for(best, model)
        else:
            self._load(best.engine, model)
        self._options.excluded.add(best.engine.name)
        self._costs.balance.apply(
            *copy_changes_for(best.engine, model, best.victim)
        )

    def _evict_for(self, option: PlacementOption, model: str) -> None:
        """Unload the victim of an option, to load the model afterwards.

        The load that follows counts as a copy, and against the rate of the
        weight store, from now on.
        """
        engine = option.engine
        if not is_cached_on_host(engine.holdings, model):
            self._options.store_loads -= 1
        takes_s = self._costs.load_time(engine, model)
        takes_s += unload_time(engine, option.victim)
        self.orders.append(
            UnloadModel(engine.name, option.victim, model, takes_s)
        )
        copies = self._costs.copies
        copies[option.victim] -= 1
        copies[model] = copies.get(model, 0) + 1

    def _load(self, engine: EngineView, model: str) -> None:
        load_s = self._costs.load_time(engine, model)
        from_store = not is_cached_on_host(engine.holdings, model)
        if from_store:
            self._options.store_loads -= 1
        self.orders.append(LoadModel(engine.name, model, from_store, load_s))
