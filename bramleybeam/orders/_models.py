"""Decides which models the replicas of a service hold.

Answers this load: a few models carry nearly all requests, many share a
trickle, not all fit, and which ones are busy moves on. A model that requests
wait for is brought in where that makes fewest requests late; busy models get
further copies where that saves more than it costs. Loads for patient requests
keep only some of the replicas busy, so that the others can be given an order
as soon as demand moves.
"""

import math
from collections.abc import Iterable, Sequence
from typing import Final

from bramleybeam.catalog import EngineSpec
from bramleybeam.orders._costs import (
    PlacementCosts,
    is_cached_on_host,
    copy_changes_for,
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

# Share of the replicas that may be loading for patient requests at a time.
_TOLERANT_SHARE: Final = 0.34
# Bounds of one round of planning, so that it doesn't hold the loop: models
# that may get a copy, models that are brought in.
_MOST_COPIES: Final = 8
_MOST_CANDIDATES: Final = 16
# Loss, in requests, that another copy of a busy model is worth at least.
_COPY_GAIN_FLOOR: Final = 0.5


class ModelPlacement:
    """Plans at most one model order a replica.

    ``store_loads`` is how many loads from the weight store may begin now.
    """

    def __init__(
        self,
        engines: Sequence[EngineView],
        spec: EngineSpec,
        costs: PlacementCosts,
        store_loads: int,
    ) -> None:
        """Store what there is; loads for which room is made are reserved."""
        self.orders: list[ModelOrder] = []
        self._engines = engines
        self._spec = spec
        self._costs = costs
        self._options = PlacementOptions(engines, spec, costs, store_loads)

    def exclude_replicas(self, replicas: Iterable[str]) -> None:
        """Give no orders to some replicas."""
        self._options.excluded.update(replicas)

    def finish_swaps(self) -> None:
        """Load the models for which room has been made."""
        for engine in self._engines:
            model = engine.successor
            if not engine.accepts_orders or model not in self._spec.models:
                continue
            self._options.excluded.add(engine.name)
            if not self._options.fits(engine, model):
                self._make_room(self._options.find_victim(engine), model)
            elif self._options.may_load(engine, model):
                self._load(engine, model)

    def place(self) -> None:
        """Bring in what helps most requests, each model once."""
        if not any(
            engine.accepts_orders and engine.name not in self._options.excluded
            for engine in self._engines
        ):
            return
        candidates = self._list_candidates()
        for model in rank_candidates(
            candidates, self._costs.is_latency_tolerant
        )[:_MOST_CANDIDATES]:
            if self._may_begin(model):
                self._bring_in(model, candidates[model])

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
            candidate = self._weigh_copy(model)
            if candidate is not None:
                candidates[model] = candidate
        return candidates

    def _list_saturated(self) -> list[str]:
        """Name the models whose requests another copy may help most."""
        late = {
            model: self._costs.expected_late(model)
            for model in self._costs.requested_models
            if model in self._spec.models and self._costs.copies.get(model)
        }
        return [
            model
            for model in rank_by_amount(late)[:_MOST_COPIES]
            if late[model] > _COPY_GAIN_FLOOR
        ]

    def _weigh_copy(self, model: str) -> LoadCandidate | None:
        """Tell what another copy saves, if that is more than it costs."""
        offload_gain = self._costs.offload_gain(model)
        max_cost = offload_gain - _COPY_GAIN_FLOOR
        best = self._options.find_cheapest(model)
        if best is None or best.cost >= max_cost:
            return None
        return LoadCandidate(offload_gain - best.cost, max_cost)

    def _may_begin(self, model: str) -> bool:
        """Whether not too many replicas are busy for patient requests."""
        if not self._costs.is_latency_tolerant(model):
            return True
        most = math.ceil(len(self._engines) * _TOLERANT_SHARE)
        return self._count_tolerant_loads() < most

    def _count_tolerant_loads(self) -> int:
        """Count the replicas that load, or make room, for patient requests."""
        is_latency_tolerant = self._costs.is_latency_tolerant
        busy = sum(
            is_latency_tolerant(engine.loading_model or engine.successor)
            for engine in self._engines
            if not engine.accepts_orders
        )
        return busy + sum(
            is_latency_tolerant(incoming_model(order)) for order in self.orders
        )

    def _bring_in(self, model: str, candidate: LoadCandidate) -> None:
        """Load where it costs least, or first make room there.

        Nothing is done when that is where no order can be given now, unless
        the model is overdue: then it goes where one can.
        """
        best = self._options.find_cheapest(
            model, prefer_accepting=candidate.is_overdue
        )
        if best is None or best.cost >= candidate.max_cost:
            return
        if not best.engine.accepts_orders:
            return
        if best.victim:
            self._make_room(best, model)
        else:
            self._load(best.engine, model)
        self._options.excluded.add(best.engine.name)
        self._costs.balance.apply(
            *copy_changes_for(best.engine, model, best.victim)
        )

    def _make_room(self, choice: PlacementOption, model: str) -> None:
        """Unload the victim; the load that follows counts already now."""
        engine = choice.engine
        if not is_cached_on_host(engine.holdings, model):
            self._options.store_loads -= 1
        takes_s = self._costs.load_time(engine, model)
        takes_s += unload_time(engine, choice.victim)
        self.orders.append(
            UnloadModel(engine.name, choice.victim, model, takes_s)
        )
        copies = self._costs.copies
        copies[choice.victim] -= 1
        copies[model] = copies.get(model, 0) + 1

    def _load(self, engine: EngineView, model: str) -> None:
        load_s = self._costs.load_time(engine, model)
        from_store = not is_cached_on_host(engine.holdings, model)
        if from_store:
            self._options.store_loads -= 1
        self.orders.append(LoadModel(engine.name, model, from_store, load_s))
