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
_FADE_S: Final = 8.0
_QUICK_FADE_S: Final = 2.0
# Requests a second below which a model is not told of.
_LEAST_RATE: Final = 0.01


@attrs.define
class _FadingRate:
    fade_s: float = _FADE_S
    level: float = 0
    moment: float = 0

    def add(self, amount: float, now: float) -> None:
        self.level = self.read(now) + amount / self.fade_s
        self.moment = now

    def read(self, now: float) -> float:
        return self.level * math.exp((self.moment - now) / self.fade_s)


@attrs.define
class _RisingRate:
    """Rises with the last seconds, and falls with the steady rate."""

    steady: _FadingRate = attrs.field(factory=_FadingRate)
    quick: _FadingRate = attrs.field(
        factory=partial(_FadingRate, _QUICK_FADE_S)
    )

    def add(self, amount: float, now: float) -> None:
        self.steady.add(amount, now)
        self.quick.add(amount, now)

    def read(self, now: float) -> float:
        return max(self.steady.read(now), self.quick.read(now))


@attrs.define
class _LocalDemand:
    urgent: _RisingRate = attrs.field(factory=_RisingRate)
    tolerant: _FadingRate = attrs.field(factory=_FadingRate)
    tokens: _RisingRate = attrs.field(factory=_RisingRate)
    was_urgent: bool = False
    adapted: _FadingRate = attrs.field(factory=_FadingRate)

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
    until: float
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
        own = self._models.setdefault(model, _LocalDemand())
        if adapter:
            own.adapted.add(1, now)
        if is_latency_tolerant:
            own.tolerant.add(1, now)
        else:
            own.urgent.add(1, now)
        own.tokens.add(tokens, now)
        own.was_urgent |= not is_latency_tolerant

    def update_remote(self, child: str, demand: Demand, until: float) -> bool:
        """Take in the demand below a child; it counts until a moment.

        Tells whether other requests wait there than before.
        """
        self._remote[child] = _RemoteDemand(until, demand)
        self._was_urgent.update(
            name for name, one in demand.models.items() if one.was_urgent
        )
        pending = PendingDemand(demand.waiting, demand.unserved_s)
        return self.pending.update_remote(child, pending, until)

    def update_remote_pending(self, child: str, pending: PendingDemand) -> None:
        """Take in what requests wait for below a child that has reported."""
        told = self._remote.get(child)
        if told is not None:
            self.pending.update_remote(child, pending, told.until)

    def forget(self, child: str) -> None:
        """Drop what a gateway told that is no longer a child."""
        self._remote.pop(child, None)
        self.pending.forget(child)

    def total(self, now: float, besides: str = '') -> Demand:
        """Return the demand here and below, but that of one child.

        Models that nobody asks for any more are named only if a request
        that is urgent has come for them.
        """
        models = {name: own.read(now) for name, own in self._models.items()}
        for told in self._fresh(now, besides):
            for name, one in told.models.items():
                known = models.get(name)
                models[name] = known.plus(one) if known else one
        for name in self._was_urgent:
            known = models.get(name, NO_DEMAND)
            models[name] = attrs.evolve(known, was_urgent=True)
        pending = self.pending.total(now, besides)
        return Demand(models, pending.waiting, pending.unserved_s)

    def report_for(self, now: float, parent: str) -> Demand:
        """Return what a parent is told: the models that are asked for."""
        total = self.total(now, besides=parent)
        models = {
            name: one
            for name, one in total.models.items()
            if one.rate >= _LEAST_RATE
        }
        return attrs.evolve(total, models=models)

    def _fresh(self, now: float, besides: str) -> Iterator[Demand]:
        for child, told in self._remote.items():
            if child != besides and now < told.until:
                yield told.demand
