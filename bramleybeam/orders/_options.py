"""Finds where a model can be brought in, and what that costs.

Answers this load: all places are taken, and what makes room is missed. What is
idle goes first, and nothing goes that has just arrived: those for whom it was
brought have not been served yet.
"""

from collections.abc import Iterable, Sequence
from typing import Final

import attrs

from bramleybeam.catalog import EngineSpec
from bramleybeam.orders._costs import PlacementCosts, is_cached_on_host
from bramleybeam.orders._messages import EngineView

# Replicas that are weighed for one model, so that a round stays short.
_MOST_ENGINES: Final = 9


@attrs.frozen
class PlacementOption:
    """A way to bring a model in; ``cost`` is in requests served late."""

    cost: float
    engine: EngineView
    victim: str = ''

    @property
    def rank(self) -> tuple[float, str, str]:
        """Order choices by cost, equal ones by name."""
        return self.cost, self.engine.name, self.victim


class PlacementOptions:
    """The ways to bring models in at replicas that have not been given orders.

    ``excluded`` names those that have; ``store_loads`` is how many loads from
    the weight store may begin now.
    """

    def __init__(
        self,
        engines: Sequence[EngineView],
        spec: EngineSpec,
        costs: PlacementCosts,
        store_loads: int,
    ) -> None:
        """Store what there is; loads for which room is made are reserved."""
        self.excluded: set[str] = set()
        self.store_loads = store_loads - sum(
            bool(engine.evicting_model)
            and not is_cached_on_host(engine.holdings, engine.successor)
            for engine in engines
        )
        self._engines = engines
        self._spec = spec
        self._costs = costs

    def find_cheapest(
        self,
        model: str,
        *,
        prefer_accepting: bool = False,
    ) -> PlacementOption | None:
        """Return the cheapest way; what runs makes room only if it must.

        ``prefer_accepting`` prefers replicas that can be given an order now.
        """
        engines = self._list_engines(model)
        choices = self._list_choices(engines, model, only_idle=True)
        if not choices and not self._costs.copies.get(model):
            if not any(map(_has_idle, engines)):
                choices = self._list_choices(engines, model, only_idle=False)
        now = [choice for choice in choices if choice.engine.accepts_orders]
        return min(
            now if prefer_accepting and now else choices,
            key=_rank_of,
            default=None,
        )

    def may_load(self, engine: EngineView, model: str) -> bool:
        """Whether the weight store isn't asked for more than its rate."""
        return self.store_loads > 0 or is_cached_on_host(engine.holdings, model)

    def fits(self, engine: EngineView, model: str) -> bool:
        """Whether a replica has memory for another model."""
        used = engine.memory_in_use(self._spec)
        return used + self._spec.models[model].memory_mb <= self._spec.memory_mb

    def find_victim(self, engine: EngineView) -> PlacementOption:
        """Return the model whose loss at a replica costs least."""
        return min(
            (
                PlacementOption(
                    self._costs.eviction_cost(engine, victim), engine, victim
                )
                for victim in engine.holdings.models
            ),
            key=_rank_of,
        )

    def _list_choices(
        self,
        engines: Sequence[EngineView],
        model: str,
        *,
        only_idle: bool,
    ) -> list[PlacementOption]:
        return [
            choice
            for engine in engines
            for choice in self._choices(engine, model, only_idle=only_idle)
        ]

    def _list_engines(self, model: str) -> list[EngineView]:
        """Return the replicas that are weighed: open, at hand, least busy."""
        able = [
            engine
            for engine in self._engines
            if engine.accepts_orders_soon
            and engine.name not in self.excluded
            and model not in engine.holdings.models
            and model != engine.successor
        ]
        if len(able) <= _MOST_ENGINES:
            return able
        ranks = {
            engine.name: (
                not engine.accepts_orders,
                not is_cached_on_host(engine.holdings, model),
                self._costs.balance.prefill_share_of(engine.name),
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
    ) -> Iterable[PlacementOption]:
        if not self.may_load(engine, model):
            return
        victims = self._victims(engine, model, only_idle=only_idle)
        for victim in victims:
            cost = self._costs.placement_cost(engine, model, victim)
            yield PlacementOption(cost, engine, victim)

    def _victims(
        self,
        engine: EngineView,
        model: str,
        *,
        only_idle: bool,
    ) -> Sequence[str]:
        """Name what may make room for a model; empty where it fits."""
        if self.fits(engine, model):
            return ('',)
        staying = engine.evictable
        idle = [
            victim for victim in staying if not engine.count_running(victim)
        ]
        if self._costs.copies.get(model):
            is_needed = self._costs.is_needed
            return [victim for victim in idle if not is_needed(victim)]
        if only_idle and self._costs.is_latency_tolerant(model):
            return idle
        return idle or staying


def _rank_of(choice: PlacementOption) -> tuple[float, str, str]:
    return choice.rank


def _has_idle(engine: EngineView) -> bool:
    """Whether something can make room here now, or after it has served."""
    return any(
        not engine.count_running(model)
        for model in engine.holdings.models
        if model != engine.evicting_model
    )
