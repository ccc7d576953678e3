"""Estimates how many requests are late for the load of their replicas.

Answers this load: a few models carry nearly all prompts, and the replicas
that hold them are far busier than the others. The demand for a model spreads
over its copies so that they are equally busy where that is possible; the time
that a replica spends on reading prompts slows everything that it runs.
"""

from collections.abc import Callable, Collection, Mapping
from typing import Final

import attrs

from bramleybeam.orders._messages import Demand

# Prompt tokens that one replica reads in a second.
PREFILL_TOKENS_PER_S: Final = 20_000.0
# Share of its time spent on prompts at which all requests of a replica are
# late; below it, the late share falls with the fourth power.
_ALL_LATE_SHARE: Final = 0.7
_LATE_POWER: Final = 4
# What a request without any copy weighs, against one that is late.
_MISSING_WEIGHT: Final = 3.0
# Models with less than this share of a replica's time are left out.
_NOTICED_SHARE: Final = 0.08
# Times that each model's demand is spread anew beside the others'.
_ROUNDS: Final = 2


@attrs.frozen
class Copy:
    """A model at a replica."""

    model: str
    replica: str


@attrs.define
class _Busyness:
    """A replica's share of time for prompts, and its requests a second."""

    share: float = 0
    rate: float = 0

    @property
    def late(self) -> float:
        return self.rate * late_share(self.share)


@attrs.frozen
class _Change:
    """How a change of copies spreads the demand, and how many are late."""

    late: float
    replicas: Mapping[str, _Busyness]
    parts: Mapping[str, list[tuple[str, float]]]


class LoadBalance:
    """The demand for busy models, spread over the replicas that hold them.

    ``holders`` names the replicas of each model; shares are of a replica's
    time, counts are of requests a second. A change of copies spreads only the
    models anew that it concerns, and those beside them at the same replica.
    """

    def __init__(
        self,
        demand: Demand,
        holders: Mapping[str, Collection[str]],
    ) -> None:
        """Store who holds what, and spread the demand."""
        self._shares = {
            model: one.tokens / PREFILL_TOKENS_PER_S
            for model, one in demand.models.items()
            if one.tokens >= _NOTICED_SHARE * PREFILL_TOKENS_PER_S
        }
        self._rates = {
            model: demand.for_model(model).rate for model in self._shares
        }
        self._replicas: dict[str, _Busyness] = {}
        self._parts: dict[str, list[tuple[str, float]]] = {}
        self._holders = {
            model: tuple(holders.get(model, ())) for model in self._shares
        }
        self._models_at: dict[str, list[str]] = {}
        for model, names in self._holders.items():
            for name in names:
                self._models_at.setdefault(name, []).append(model)
        self.late = sum(self._missing(model) for model in self._shares)
        for _ in range(_ROUNDS):
            for model in self._shares:
                self._take_over(self._spread_anew(self._holders, (model,)))

    def late_without(self, removed: Copy) -> float:
        """Return how many are late after a copy is removed.

        Requests of a model that has no copy left count several times.
        """
        return self._try(None, removed).late

    def late_with(self, added: Copy, removed: Copy | None = None) -> float:
        """Return how many are late after a copy is added, one removed."""
        return self._try(added, removed).late

    def apply(self, added: Copy, removed: Copy | None = None) -> None:
        """Count a copy as added, and one as removed, from now on."""
        self._take_over(self._try(added, removed))
        self._holders = self._changed(added, removed)

    def is_busy(self, model: str) -> bool:
        """Whether there is enough demand for a model to be noticed."""
        return model in self._shares

    def late_of(self, model: str) -> float:
        """Return how many requests of a busy model are late."""
        scale = self._rates[model] / self._shares[model]
        return scale * sum(
            part * late_share(self._replicas[name].share)
            for name, part in self._parts[model]
        )

    def share_of(self, replica: str) -> float:
        """Return the share of a replica's time that prompts take."""
        found = self._replicas.get(replica)
        return found.share if found else 0

    def _try(self, added: Copy | None, removed: Copy | None) -> _Change:
        copies = [
            copy
            for copy in (removed, added)
            if copy is not None and self.is_busy(copy.model)
        ]
        if not copies:
            return _Change(self.late, {}, {})
        # Those beside the copies go first, since they may make way for them.
        models = dict.fromkeys(
            model
            for copy in copies
            for model in self._models_at.get(copy.replica, ())
        )
        for copy in copies:
            models.pop(copy.model, None)
            models[copy.model] = None
        return self._spread_anew(self._changed(added, removed), tuple(models))

    def _spread_anew(
        self,
        holders: Mapping[str, Collection[str]],
        models: Collection[str],
    ) -> _Change:
        """Spread some models' demand beside that of all others."""
        draft = _Draft(self._replicas)
        parts = {model: self._parts.get(model, []) for model in models}
        for model in (*models, *models):
            per_share = self._rates[model] / self._shares[model]
            for name, part in parts[model]:
                draft.add(name, -part, -part * per_share)
            parts[model] = _spread(
                self._shares[model], holders[model], draft.share_of
            )
            for name, part in parts[model]:
                draft.add(name, part, part * per_share)
        late = self.late + sum(
            self._missing_weight(model) * (not parts[model])
            - self._missing(model)
            for model in models
        )
        return _Change(late + draft.late_change(), draft.replicas, parts)

    def _take_over(self, change: _Change) -> None:
        self.late = change.late
        self._replicas.update(change.replicas)
        self._parts.update(change.parts)

    def _missing(self, model: str) -> float:
        """Return what a model adds to the late ones while it has no copy."""
        return 0 if self._parts.get(model) else self._missing_weight(model)

    def _missing_weight(self, model: str) -> float:
        return self._rates[model] * _MISSING_WEIGHT

    def _changed(
        self,
        added: Copy | None,
        removed: Copy | None,
    ) -> dict[str, tuple[str, ...]]:
        holders = dict(self._holders)
        if added is not None and added.model in holders:
            holders[added.model] = (*holders[added.model], added.replica)
        if removed is not None and removed.model in holders:
            holders[removed.model] = tuple(
                name
                for name in holders[removed.model]
                if name != removed.replica
            )
        return holders


class _Draft:
    """Replicas as a change would leave them; the others stay as they are."""

    def __init__(self, base: Mapping[str, _Busyness]) -> None:
        self.replicas: dict[str, _Busyness] = {}
        self._base = base

    def add(self, name: str, share: float, rate: float) -> None:
        known = self.replicas.get(name)
        if known is None:
            before = self._base.get(name, _Busyness())
            known = _Busyness(before.share, before.rate)
            self.replicas[name] = known
        known.share += share
        known.rate += rate

    def share_of(self, name: str) -> float:
        found = self.replicas.get(name) or self._base.get(name)
        return found.share if found else 0

    def late_change(self) -> float:
        return sum(
            changed.late - self._base.get(name, _Busyness()).late
            for name, changed in self.replicas.items()
        )


def late_share(busy: float) -> float:
    """Return the late part of the requests of a replica that is so busy."""
    return min(1, max(0, busy / _ALL_LATE_SHARE) ** _LATE_POWER)


def _spread(
    amount: float,
    names: Collection[str],
    share_of: Callable[[str], float],
) -> list[tuple[str, float]]:
    """Pour an amount over replicas so that the lowest fill up first."""
    if len(names) == 1:
        return [(name, amount) for name in names]
    ordered = sorted((share_of(name), name) for name in names)
    poured = 0.0
    level = 0.0
    for count, (height, _) in enumerate(ordered):
        if count and level <= height:
            break
        poured += height
        level = (amount + poured) / (count + 1)
    return [
        (name, level - height) for height, name in ordered if height < level
    ]
