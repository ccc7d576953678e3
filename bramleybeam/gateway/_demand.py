"""Counts what callers ask for, by model, as rates that fade."""

import math
from collections.abc import Iterator
from functools import partial
from typing import Final

import attrs

from bramleybeam.gateway._pending_demand import (
    PendingDemand,
    PendingDemandTable,
)
from bramleybeam.orders import NO_DEMAND, Demand, ModelDemand, Target

# Time constants of the rates, in seconds: one that is steady, and one that
# shows soon that demand has moved to a model.
_DECAY_S: Final = 8.0
_FAST_DECAY_S: Final = 2.0
# Requests a second below which a model is not told of.
_MIN_REPORTED_RATE: Final = 0.01


@attrs.define
class _DecayingRate:
    decay_s: float = _DECAY_S
    level: float = 0
    updated_at: float = 0

    def add(self, amount: float, now: float) -> None:
        self.level = self.read(now) + amount / self.decay_s
        self.updated_at = now

    def read(self, now: float) -> float:
        return self.level * math.exp((self.updated_at - now) / self.decay_s)


@attrs.define
class _FastRisingRate:
    """Rises with the last seconds, and falls with the steady rate."""

    slow: _DecayingRate = attrs.field(factory=_DecayingRate)
    fast: _DecayingRate = attrs.field(
        factory=partial(_DecayingRate, _FAST_DECAY_S)
    )

    def add(self, amount: float, now: float) -> None:
        self.slow.add(amount, now)
        self.fast.add(amount, now)

    def read(self, now: float) -> float:
        return max(self.slow.read(now), self.fast.read(now))


@attrs.define
class _LocalDemand:
    urgent: _FastRisingRate = attrs.field(factory=_FastRisingRate)
    tolerant: _DecayingRate = attrs.field(factory=_DecayingRate)
    tokens: _FastRisingRate = attrs.field(factory=_FastRisingRate)
    was_urgent: bool = False
    adapted: _DecayingRate = attrs.field(factory=_DecayingRate)

    def read(self, now: float) -> ModelDemand:
        return ModelDemand(
            self.urgent.read(now),
            self.tolerant.read(now),
            self.tokens.read(now),
            self.was_urgent,
            self.adapted.read(now),
        )


@attrs.frozen
class _RemoteDemand:
    expires_at: float
    demand: Demand


class DemandTable:
    """Own demand, and that of the gateways below in the tree."""

    def __init__(self) -> None:
        """Start without demand."""
        self.pending = PendingDemandTable()
        self._models: dict[str, _LocalDemand] = {}
        self._was_urgent: set[str] = set()
        self._remote: dict[str, _RemoteDemand] = {}

    def note_request(
        self,
        target: Target,
        tokens: int,
        now: float,
        *,
        is_latency_tolerant: bool,
    ) -> None:
        """Count a request and the tokens of its prompt."""
        model, adapter = target
        local = self._models.setdefault(model, _LocalDemand())
        if adapter:
            local.adapted.add(1, now)
        if is_latency_tolerant:
            local.tolerant.add(1, now)
        else:
            local.urgent.add(1, now)
        local.tokens.add(tokens, now)
        local.was_urgent |= not is_latency_tolerant

    def update_remote(
        self, child: str, demand: Demand, expires_at: float
    ) -> bool:
        """Take in the demand below a child; it counts until a moment.

        Tells whether other requests wait there than before.
        """
        self._remote[child] = _RemoteDemand(expires_at, demand)
        self._was_urgent.update(
            name
            for name, model_demand in demand.models.items()
            if model_demand.was_urgent
        )
        pending = PendingDemand(demand.waiting, demand.unserved_s)
        return self.pending.update_remote(child, pending, expires_at)

    def update_remote_pending(self, child: str, pending: PendingDemand) -> None:
        """Take in what requests wait for below a child that has reported."""
        record = self._remote.get(child)
        if record is not None:
            self.pending.update_remote(child, pending, record.expires_at)

    def forget(self, child: str) -> None:
        """Drop what a gateway told that is no longer a child."""
        self._remote.pop(child, None)
        self.pending.forget(child)

    def total(self, now: float, excluded_child: str = '') -> Demand:
        """Return the demand here and below, but that of one child.

        Models that nobody asks for any more are named only if a request
        that is urgent has come for them.
        """
        models = {name: local.read(now) for name, local in self._models.items()}
        for record in self._list_fresh(now, excluded_child):
            for name, model_demand in record.models.items():
                current = models.get(name)
                models[name] = (
                    current.plus(model_demand) if current else model_demand
                )
        for name in self._was_urgent:
            current = models.get(name, NO_DEMAND)
            models[name] = attrs.evolve(current, was_urgent=True)
        pending = self.pending.total(now, excluded_child)
        return Demand(models, pending.waiting, pending.unserved_s)

    def report_for(self, now: float, parent: str) -> Demand:
        """Return what a parent is told: the models that are asked for."""
        total = self.total(now, excluded_child=parent)
        models = {
            name: model_demand
            for name, model_demand in total.models.items()
            if model_demand.rate >= _MIN_REPORTED_RATE
        }
        return attrs.evolve(total, models=models)

    def _list_fresh(self, now: float, excluded_child: str) -> Iterator[Demand]:
        for child, record in self._remote.items():
            if child != excluded_child and now < record.expires_at:
                yield record.demand
