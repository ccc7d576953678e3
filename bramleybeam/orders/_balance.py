"""Estimates how many requests are late for the load of their replicas.

Answers this load: a few models carry nearly all prompts, and the replicas
that hold them are far busier than the others. The demand for a model spreads
over its copies so that they are equally busy where that is possible; the time
that a replica spends on reading prompts slows everything that it runs.
"""

from collections.abc import Collection, Iterable, Mapping
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

# The replicas that hold each busy model.
_Holders = dict[str, tuple[str, ...]]


@attrs.frozen
class Copy:
    """A model at a replica."""

    model: str
    replica: str


class LoadBalance:
    """The demand for busy models, spread over the replicas that hold them.

    ``holders`` names the replicas of each model; shares are of a replica's
    time, counts are of requests a second.
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
        self._rates = {model: demand.of(model).rate for model in self._shares}
        self._holders = {
            model: tuple(holders.get(model, ())) for model in self._shares
        }
        self._known: dict[tuple[Copy | None, Copy | None], float] = {}
        self.late = self._count_late(self._holders)

    def late_without(self, removed: Copy) -> float:
        """Return how many are late after a copy is removed.

        Requests of a model that has no copy left count several times.
        """
        return self._late_after(None, removed)

    def late_with(self, added: Copy, removed: Copy | None = None) -> float:
        """Return how many are late after a copy is added, one removed."""
        return self._late_after(added, removed)

    def apply(self, added: Copy, removed: Copy | None = None) -> None:
        """Count a copy as added, and one as removed, from now on."""
        self._holders = self._changed(added, removed)
        self._known.clear()
        self.late = self._count_late(self._holders)

    def is_busy(self, model: str) -> bool:
        """Whether there is enough demand for a model to be noticed."""
        return model in self._shares

    def _late_after(self, added: Copy | None, removed: Copy | None) -> float:
        if added is not None and not self.is_busy(added.model):
            added = None
        if removed is not None and not self.is_busy(removed.model):
            removed = None
        change = (added, removed)
        if change not in self._known:
            self._known[change] = self._count_late(self._changed(*change))
        return self._known[change]

    def _changed(self, added: Copy | None, removed: Copy | None) -> _Holders:
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

    def _count_late(self, holders: _Holders) -> float:
        levels: dict[str, float] = {}
        parts: dict[str, list[tuple[str, float]]] = {}
        for _ in range(_ROUNDS):
            for model, names in holders.items():
                for name, part in parts.get(model, ()):
                    levels[name] -= part
                parts[model] = _spread(self._shares[model], names, levels)
                for name, part in parts[model]:
                    levels[name] = levels.get(name, 0) + part
        return sum(
            self._rates[model] / self._shares[model] * _late_part(rows, levels)
            if rows
            else self._rates[model] * _MISSING_WEIGHT
            for model, rows in parts.items()
        )


def _late_part(
    rows: Iterable[tuple[str, float]],
    levels: Mapping[str, float],
) -> float:
    """Return the part of a demand that is late, as a share of a replica."""
    return sum(part * late_share(levels[name]) for name, part in rows)


def late_share(busy: float) -> float:
    """Return the late part of the requests of a replica that is so busy."""
    return min(1, (busy / _ALL_LATE_SHARE) ** _LATE_POWER)


def _spread(
    amount: float,
    names: Collection[str],
    levels: Mapping[str, float],
) -> list[tuple[str, float]]:
    """Pour an amount over replicas so that the lowest fill up first."""
    if len(names) == 1:
        return [(name, amount) for name in names]
    ordered = sorted((levels.get(name, 0), name) for name in names)
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
