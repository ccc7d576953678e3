"""Decides which models the replicas of a service hold.

Answers this load: a few models carry nearly all requests, many share a
trickle, not all fit, and which ones are busy moves on. A model that requests
wait for is brought in at once, where its weights are at hand if possible, in
place of what is expected to be missed least. Busy models get further copies
while that costs nothing that is asked for. A model that is silent now may be
the next busy one: many requests would be late then, so it stays before one
that only patient requests ask for, and that a disk can bring back in time.
"""

from collections.abc import Iterable, Sequence
from typing import Final

import attrs

from bramleybeam.catalog import EngineSpec, Holdings
from bramleybeam.orders._messages import (
    Demand,
    EngineView,
    LoadModel,
    ModelOrder,
    UnloadModel,
)
from bramleybeam.orders._ranking import most_first

# Prompt tokens that one replica reads in a second, for shares of its time.
_PREFILL_TOKENS_PER_S: Final = 20_000.0
# Share of a copy's time from which prompts queue noticeably.
_BUSY_SHARE: Final = 0.3
# Share of a replica's slots from which its requests slow each other down.
_CROWDED_SHARE: Final = 0.4
# Share of a crowded replica's requests that another copy helps.
_RELIEVED_SHARE: Final = 0.3
# What each request at a replica speaks against bringing a model there.
_RUN_COST: Final = 0.05
# Time that an unload takes when nothing runs.
_UNLOAD_S: Final = 0.2
# Seconds of demand over which a dropped model is expected to be missed.
_HORIZON_S: Final = 10.0
# Requests that a model without recent demand is taken to get, per second.
_FAINT_RATE: Final = 0.002
# Requests that would be late when a silent model becomes busy, times the
# chance that it does within the horizon.
_SILENT_LOSS: Final = 1.0
# Share of patient requests that are late though the weights are at hand.
_AT_HAND_LATE: Final = 0.6
# Share of a model's requests that ask for an adapter that isn't there; none
# can be brought to a replica while it loads a model.
_ADAPTER_SHARE: Final = 0.1
# Loss, in requests, that another copy of a busy model is worth at least.
_COPY_GAIN_FLOOR: Final = 0.5
# Loss of a spare copy, as a share of the model's requests.
_SPARE_COPY_SHARE: Final = 0.01


@attrs.frozen
class _Choice:
    """A way to bring a model in; ``cost`` is in requests served late."""

    cost: float
    engine: EngineView
    victim: str = ''

    @property
    def rank(self) -> tuple[float, str]:
        return self.cost, self.engine.name


class ModelPlacement:
    """Plans at most one model order a replica.

    ``store_loads`` is how many loads from the weight store may begin now.
    """

    def __init__(
        self,
        engines: Sequence[EngineView],
        spec: EngineSpec,
        demand: Demand,
        store_loads: int,
        taken: set[str],
    ) -> None:
        """Count the copies that there are; those ``taken`` get no order."""
        self.orders: list[ModelOrder] = []
        self._engines = engines
        self._spec = spec
        self._demand = demand
        self._store_loads = store_loads
        self._ordered = set(taken)
        self._waiting = demand.waiting_by_model()
        self._reserve_loads()
        self._copies = count_copies(engines)
        self._at_hand = {
            model
            for engine in engines
            for model in engine.holdings.in_memory | engine.holdings.on_disk
        }

    def finish_swaps(self) -> None:
        """Load the models for which room has been made."""
        for engine in self._engines:
            model = engine.successor
            if not engine.is_open or model not in self._spec.models:
                continue
            self._ordered.add(engine.name)
            if not self._fits(engine, model):
                self._make_room(self._best_victim(engine), model)
            elif self._load_time(engine, model) is not None:
                self._load(engine, model)

    def place(self) -> None:
        """Bring in what helps most requests, each model once."""
        gains = {
            model: float(count)
            for model, count in self._waiting.items()
            if model in self._spec.models and not self._copies.get(model)
        }
        for model in self._demand.models:
            if self._may_copy(model):
                gains[model] = self._copy_gain(model)
        for model in most_first(gains):
            is_absent = not self._copies.get(model)
            limit = float('inf') if is_absent else gains[model]
            if limit > _COPY_GAIN_FLOOR:
                self._bring_in(model, limit)

    def _copy_gain(self, model: str) -> float:
        """Requests that another copy would save from crowded replicas."""
        crowd = self._spec.slots * _CROWDED_SHARE
        crowded = sum(
            engine.runs_of(model)
            for engine in self._engines
            if engine.runs >= crowd
        )
        excess = self._share(model) - _BUSY_SHARE
        unread = self._rate(model) * _HORIZON_S * excess
        return max(unread, crowded * _RELIEVED_SHARE)

    def _reserve_loads(self) -> None:
        """Set loads aside for the models for which room is being made."""
        for engine in self._engines:
            coming = engine.successor
            if engine.leaving and not _is_at_hand(engine.holdings, coming):
                self._store_loads -= 1

    def _may_copy(self, model: str) -> bool:
        if model not in self._spec.models or not self._copies.get(model):
            return False
        return not any(
            model in {engine.loading, engine.successor}
            for engine in self._engines
        )

    def _share(self, model: str, dropped: int = 0) -> float:
        """Return the share of its time that a copy reads prompts."""
        tokens = self._demand.of(model).tokens
        copies = self._copies.get(model, 1) - dropped
        return tokens / _PREFILL_TOKENS_PER_S / max(1, copies)

    def _bring_in(self, model: str, gain: float) -> None:
        """Load where it costs least, or first make room there."""
        choices = [
            choice
            for engine in self._engines
            for choice in self._choices(engine, model)
        ]
        if not choices:
            return
        best = min(choices, key=_rank_of)
        if best.cost >= gain:
            return
        if best.victim:
            self._make_room(best, model)
        else:
            self._load(best.engine, model)
        self._ordered.add(best.engine.name)

    def _make_room(self, choice: _Choice, model: str) -> None:
        """Unload the victim; the load that follows counts already now."""
        load_s = self._load_time(choice.engine, model) or 0
        if not _is_at_hand(choice.engine.holdings, model):
            self._store_loads -= 1
        self.orders.append(
            UnloadModel(
                choice.engine.name,
                choice.victim,
                model,
                load_s + _UNLOAD_S,
            ),
        )
        self._copies[choice.victim] -= 1
        self._copies[model] = self._copies.get(model, 0) + 1

    def _load(self, engine: EngineView, model: str) -> None:
        load_s = self._load_time(engine, model) or 0
        from_store = not _is_at_hand(engine.holdings, model)
        if from_store:
            self._store_loads -= 1
        self.orders.append(LoadModel(engine.name, model, from_store, load_s))

    def _choices(self, engine: EngineView, model: str) -> Iterable[_Choice]:
        held = engine.holdings.models
        if not engine.is_open or engine.name in self._ordered or model in held:
            return
        load_s = self._load_time(engine, model)
        if load_s is None:
            return
        cost = load_s / _HORIZON_S + load_s * self._adapter_requests(engine)
        cost += engine.runs * _RUN_COST
        if self._fits(engine, model):
            yield _Choice(cost, engine)
            return
        best = self._best_victim(engine)
        yield attrs.evolve(best, cost=best.cost + cost)

    def _adapter_requests(self, engine: EngineView) -> float:
        """Requests a second that may ask this replica for a new adapter."""
        rate = 0.0
        for model in engine.holdings.models:
            known = self._spec.models.get(model)
            if known is not None and known.adapters:
                share = _ADAPTER_SHARE / self._copies.get(model, 1)
                rate += self._demand.of(model).urgent * share
        return rate

    def _best_victim(self, engine: EngineView) -> _Choice:
        """Return the model whose loss at a replica costs least."""
        return min(
            (
                _Choice(
                    self._loss(victim) + engine.runs_of(victim),
                    engine,
                    victim,
                )
                for victim in engine.holdings.models
            ),
            key=_cost_of,
        )

    def _fits(self, engine: EngineView, model: str) -> bool:
        used = engine.memory_in_use(self._spec)
        return used + self._spec.models[model].memory_mb <= self._spec.memory_mb

    def _load_time(self, engine: EngineView, model: str) -> float | None:
        spec = self._spec.models[model]
        if model in engine.holdings.in_memory:
            return spec.memory_load_s
        if model in engine.holdings.on_disk:
            return spec.disk_load_s
        return spec.load_s if self._store_loads > 0 else None

    def _loss(self, victim: str) -> float:
        """Requests that are served late for want of a dropped copy."""
        if self._copies.get(victim, 1) <= 1:
            return self._last_copy_loss(victim)
        excess = self._share(victim, dropped=1) - _BUSY_SHARE
        share = max(_SPARE_COPY_SHARE, excess)
        return self._rate(victim) * _HORIZON_S * share

    def _last_copy_loss(self, victim: str) -> float:
        demand = self._demand.of(victim)
        urgent = demand.urgent * _HORIZON_S
        if demand.was_urgent or not demand.patient:
            urgent = max(urgent, _SILENT_LOSS)
        late_share = _AT_HAND_LATE if victim in self._at_hand else 1
        patient = demand.patient * _HORIZON_S * late_share
        return urgent + patient + self._waiting.get(victim, 0)

    def _rate(self, model: str) -> float:
        return self._demand.of(model).rate + _FAINT_RATE


def count_copies(engines: Iterable[EngineView]) -> dict[str, int]:
    """Count the copies of each model that are here to stay, or coming."""
    copies: dict[str, int] = {}
    for engine in engines:
        if not engine.is_reachable:
            continue
        present = {
            *engine.holdings.models,
            engine.loading,
            engine.successor,
        }
        for model in present - {engine.leaving, ''}:
            copies[model] = copies.get(model, 0) + 1
    return copies


def _cost_of(choice: _Choice) -> tuple[float, str]:
    return choice.cost, choice.victim


def _rank_of(choice: _Choice) -> tuple[float, str]:
    return choice.rank


def _is_at_hand(holdings: Holdings, model: str) -> bool:
    return model in holdings.in_memory or model in holdings.on_disk
