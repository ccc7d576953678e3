"""Request rates by model, as exponentially decaying averages."""

import math
from collections.abc import Iterator, Mapping
from functools import partial
from typing import Final

import attrs

from bramleybeam.gateway._pending_demand import (
    PendingDemand,
    PendingDemandTable,
    PendingTarget,
)
from bramleybeam.orders import (
    NO_DEMAND,
    Demand,
    ModelDemand,
    PinnedTarget,
    Target,
)

# Time constants of the rates, in seconds: a slow one for a steady rate, and a
# fast one that soon shows that demand has moved to a model.
_DECAY_S: Final = 8.0
_FAST_DECAY_S: Final = 2.0
# Requests a second below which a model is left out of reports to the parent.
_MIN_REPORTED_RATE: Final = 0.01


@attrs.define
class _DecayingRate:
    """A rate a second that decays exponentially with ``decay_s``.

    ``level`` is the rate at the time ``updated_at``, in seconds.
    """

    decay_s: float = _DECAY_S
    level: float = 0
    updated_at: float = 0

    def add(self, amount: float, now: float) -> None:
        """Count an amount at the time ``now``, in seconds."""
        self.level = self.read(now) + amount / self.decay_s
        self.updated_at = now

    def read(self, now: float) -> float:
        """Return the rate a second at the time ``now``."""
        return self.level * math.exp((self.updated_at - now) / self.decay_s)


@attrs.define
class _FastRisingRate:
    """The larger of a fast and a slow rate.

    It rises within the fast time constant and falls with the slow one.
    """

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
    """The rates of one model's requests at this gateway, a second.

    ``urgent`` and ``tolerant`` count requests by whether they are
    latency-tolerant, ``tokens`` counts prompt tokens, and ``adapted`` requests
    for an adapter. ``was_urgent`` is whether any request was urgent.
    """

    urgent: _FastRisingRate = attrs.field(factory=_FastRisingRate)
    tolerant: _DecayingRate = attrs.field(factory=_DecayingRate)
    tokens: _FastRisingRate = attrs.field(factory=_FastRisingRate)
    was_urgent: bool = False
    adapted: _DecayingRate = attrs.field(factory=_DecayingRate)

    def read(self, now: float) -> ModelDemand:
        """Return the rates at the time ``now``."""
        return ModelDemand(
            self.urgent.read(now),
            self.tolerant.read(now),
            self.tokens.read(now),
            self.was_urgent,
            self.adapted.read(now),
        )


@attrs.frozen
class _RemoteDemand:
    """The demand that a child reported, valid until ``expires_at``."""

    expires_at: float
    demand: Demand


class DemandTable:
    """The demand of this gateway and of those below it in the tree.

    Times and arguments ``now`` are in seconds.
    """

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
        """Count a request for a target and the tokens of its prompt."""
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
        """Replace the demand of a child, valid until ``expires_at``.

        Returns whether the numbers of waiting requests have changed.
        """
        self._remote[child] = _RemoteDemand(expires_at, demand)
        self._was_urgent.update(
            name
            for name, model_demand in demand.models.items()
            if model_demand.was_urgent
        )
        return self.pending.update_remote(child, pending_of(demand), expires_at)

    def update_remote_pending(self, child: str, pending: PendingDemand) -> None:
        """Replace the pending demand of a child that has sent a report.

        It stays valid for as long as that report.
        """
        record = self._remote.get(child)
        if record is not None:
            self.pending.update_remote(child, pending, record.expires_at)

    def forget(self, child: str) -> None:
        """Drop the data of a gateway that is no longer a child."""
        self._remote.pop(child, None)
        self.pending.forget(child)

    def total(self, now: float, excluded_child: str = '') -> Demand:
        """Return the demand of the subtree, except for one child.

        A model that no child reports any more is kept, with a rate of 0, if a
        child ever reported an urgent request for it.
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
        return make_demand(models, pending)

    def report_for(self, now: float, parent: str) -> Demand:
        """Return the demand to report to a parent, without idle models."""
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


def make_demand(
    models: Mapping[str, ModelDemand], pending: PendingDemand
) -> Demand:
    """Return the demand for models, with the requests that wait for targets."""
    unpinned = {
        target: count
        for target, count in pending.waiting.items()
        if not isinstance(target, PinnedTarget)
    }
    return Demand(
        models,
        unpinned,
        {target: pending.unserved_s.get(target, 0) for target in unpinned},
        {
            target: count
            for target, count in pending.waiting.items()
            if isinstance(target, PinnedTarget)
        },
    )


def pending_of(demand: Demand) -> PendingDemand:
    """Return the requests of a demand that wait for targets."""
    waiting: dict[PendingTarget, int] = {
        target: count for target, count in demand.pinned.items()
    }
    waiting.update((target, count) for target, count in demand.waiting.items())
    return PendingDemand(
        waiting, {target: age_s for target, age_s in demand.unserved_s.items()}
    )
