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

import attrs

from bramleybeam.catalog import EngineSpec
from bramleybeam.orders._costs import (
    SwapCosts,
    is_at_hand,
    name_swap,
    unload_time,
)
from bramleybeam.orders._messages import (
    EngineView,
    LoadModel,
    ModelOrder,
    UnloadModel,
    coming_model,
)
from bramleybeam.orders._ranking import most_first

# Share of the replicas that may be loading for patient requests at a time.
_PATIENT_SHARE: Final = 0.5
# Bounds of one round of planning, so that it doesn't hold the loop: models
# that may get a copy, models that are brought in, replicas weighed for each.
_MOST_COPIES: Final = 8
_MOST_WANTS: Final = 16
_MOST_ENGINES: Final = 9
# Loss, in requests, that another copy of a busy model is worth at least.
_COPY_GAIN_FLOOR: Final = 0.5


@attrs.frozen
class _Choice:
    """A way to bring a model in; ``cost`` is in requests served late."""

    cost: float
    engine: EngineView
    victim: str = ''

    @property
    def rank(self) -> tuple[float, str, str]:
        return self.cost, self.engine.name, self.victim


@attrs.frozen
class _Want:
    """A model to bring in, if it costs less than ``most_cost``."""

    gain: float
    most_cost: float = float('inf')


class ModelPlacement:
    """Plans at most one model order a replica.

    ``store_loads`` is how many loads from the weight store may begin now.
    """

    def __init__(
        self,
        engines: Sequence[EngineView],
        spec: EngineSpec,
        costs: SwapCosts,
        store_loads: int,
    ) -> None:
        """Store what there is; loads for which room is made are reserved."""
        self.orders: list[ModelOrder] = []
        self._engines = engines
        self._spec = spec
        self._ordered: set[str] = set()
        self._costs = costs
        self._store_loads = store_loads - sum(
            bool(engine.leaving)
            and not is_at_hand(engine.holdings, engine.successor)
            for engine in engines
        )

    def leave_out(self, replicas: Iterable[str]) -> None:
        """Give no orders to some replicas."""
        self._ordered.update(replicas)

    def finish_swaps(self) -> None:
        """Load the models for which room has been made."""
        for engine in self._engines:
            model = engine.successor
            if not engine.is_open or model not in self._spec.models:
                continue
            self._ordered.add(engine.name)
            if not self._fits(engine, model):
                self._make_room(self._best_victim(engine), model)
            elif self._may_load(engine, model):
                self._load(engine, model)

    def place(self) -> None:
        """Bring in what helps most requests, each model once."""
        if not any(
            engine.is_open and engine.name not in self._ordered
            for engine in self._engines
        ):
            return
        wants = self._list_wants()
        gains = {model: want.gain for model, want in wants.items()}
        for model in most_first(gains)[:_MOST_WANTS]:
            if self._may_begin(model):
                self._bring_in(model, wants[model].most_cost)

    def _list_wants(self) -> dict[str, _Want]:
        copies = self._costs.copies
        wants = {
            model: _Want(count + self._costs.demand_ahead(model))
            for model, count in self._costs.waiting.items()
            if model in self._spec.models and not copies.get(model)
        }
        for model in self._list_crowded():
            want = self._weigh_copy(model)
            if want is not None:
                wants[model] = want
        return wants

    def _list_crowded(self) -> list[str]:
        """Name the models whose requests another copy may help most."""
        late = {
            model: self._costs.late_ahead(model)
            for model in self._costs.asked_models
            if model in self._spec.models and self._costs.copies.get(model)
        }
        return [
            model
            for model in most_first(late)[:_MOST_COPIES]
            if late[model] > _COPY_GAIN_FLOOR
        ]

    def _weigh_copy(self, model: str) -> _Want | None:
        """Tell what another copy saves, if that is more than it costs."""
        relief = self._costs.relief(model)
        most_cost = relief - _COPY_GAIN_FLOOR
        best = self._best_choice(model)
        if best is None or best.cost >= most_cost:
            return None
        return _Want(relief - best.cost, most_cost)

    def _may_begin(self, model: str) -> bool:
        """Whether not too many replicas are busy for patient requests."""
        is_patient = self._costs.is_patient
        if not is_patient(model):
            return True
        busy = sum(
            is_patient(engine.loading or engine.successor)
            for engine in self._engines
            if not engine.is_open
        )
        busy += sum(is_patient(coming_model(order)) for order in self.orders)
        return busy < math.ceil(len(self._engines) * _PATIENT_SHARE)

    def _bring_in(self, model: str, most_cost: float) -> None:
        """Load where it costs least, or first make room there.

        Nothing is done when that is where no order can be given now.
        """
        best = self._best_choice(model)
        if best is None or best.cost >= most_cost or not best.engine.is_open:
            return
        if best.victim:
            self._make_room(best, model)
        else:
            self._load(best.engine, model)
        self._ordered.add(best.engine.name)
        self._costs.balance.apply(*name_swap(best.engine, model, best.victim))

    def _best_choice(self, model: str) -> _Choice | None:
        """Return the cheapest way; what runs makes room only if it must."""
        for only_idle in (True, False):
            choices = [
                choice
                for engine in self._list_engines(model)
                for choice in self._choices(engine, model, only_idle=only_idle)
            ]
            if choices:
                return min(choices, key=_rank_of)
            if self._costs.copies.get(model):
                break
        return None

    def _list_engines(self, model: str) -> list[EngineView]:
        """Return the replicas that are weighed: open, at hand, least busy."""
        able = [
            engine
            for engine in self._engines
            if engine.takes_orders_soon
            and engine.name not in self._ordered
            and model not in engine.holdings.models
            and model != engine.successor
        ]
        if len(able) <= _MOST_ENGINES:
            return able
        ranks = {
            engine.name: (
                not engine.is_open,
                not is_at_hand(engine.holdings, model),
                self._costs.balance.share_of(engine.name),
                engine.name,
            )
            for engine in able
        }
        best = set(sorted(ranks, key=ranks.__getitem__)[:_MOST_ENGINES])
        return [engine for engine in able if engine.name in best]

    def _choices(
        self,
        engine: EngineView,
        model: str,
        *,
        only_idle: bool,
    ) -> Iterable[_Choice]:
        if not self._may_load(engine, model):
            return
        victims = self._victims(engine, model, only_idle=only_idle)
        for victim in victims:
            cost = self._costs.swap_cost(engine, model, victim)
            yield _Choice(cost, engine, victim)

    def _victims(
        self,
        engine: EngineView,
        model: str,
        *,
        only_idle: bool,
    ) -> Sequence[str]:
        """Name what may make room for a model; empty where it fits."""
        if self._fits(engine, model):
            return ('',)
        staying = engine.droppable
        idle = [victim for victim in staying if not engine.runs_of(victim)]
        if self._costs.copies.get(model):
            is_needed = self._costs.is_needed
            return [victim for victim in idle if not is_needed(victim)]
        if only_idle and self._costs.is_patient(model):
            return idle
        return idle or staying

    def _best_victim(self, engine: EngineView) -> _Choice:
        """Return the model whose loss at a replica costs least."""
        return min(
            (
                _Choice(self._costs.drop_cost(engine, victim), engine, victim)
                for victim in engine.holdings.models
            ),
            key=_rank_of,
        )

    def _make_room(self, choice: _Choice, model: str) -> None:
        """Unload the victim; the load that follows counts already now."""
        engine = choice.engine
        if not is_at_hand(engine.holdings, model):
            self._store_loads -= 1
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
        from_store = not is_at_hand(engine.holdings, model)
        if from_store:
            self._store_loads -= 1
        self.orders.append(LoadModel(engine.name, model, from_store, load_s))

    def _may_load(self, engine: EngineView, model: str) -> bool:
        """Whether the weight store isn't asked for more than its rate."""
        return self._store_loads > 0 or is_at_hand(engine.holdings, model)

    def _fits(self, engine: EngineView, model: str) -> bool:
        used = engine.memory_in_use(self._spec)
        return used + self._spec.models[model].memory_mb <= self._spec.memory_mb


def _rank_of(choice: _Choice) -> tuple[float, str, str]:
    return choice.rank
