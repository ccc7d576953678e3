"""Finds the replicas where a model can be loaded, and the cost of each option.

Handles this load: the memory of all replicas is in use, and an evicted model is
missed afterwards. Idle models are evicted first. A model that has just arrived
is not evicted, because the requests for which it was loaded have not been
served yet.
"""

from collections.abc import Iterable, Sequence
from typing import Final

import attrs

from bramleybeam.catalog import EngineSpec
from bramleybeam.orders._costs import PlacementCosts, is_cached_on_host
from bramleybeam.orders._messages import EngineView

# Number of replicas that are evaluated for one model, which bounds the time of
# a planning round.
_MAX_ENGINES: Final = 9


@attrs.frozen
class PlacementOption:
    """A replica where a model can be loaded, and the victim to evict there.

    ``cost`` is in late requests; ``victim`` is empty if the model fits.
    """

    cost: float
    engine: EngineView
    victim: str = ''

    @property
    def rank(self) -> tuple[float, str, str]:
        """The sort key: options are sorted by cost, ties by name."""
        return self.cost, self.engine.name, self.victim


class PlacementOptions:
    """The options to load models at the replicas that have no order yet.

    ``excluded`` names the replicas that have an order; ``store_loads`` is how
    many loads from the weight store may begin now.
    """

    def __init__(
        self,
        engines: Sequence[EngineView],
        spec: EngineSpec,
        costs: PlacementCosts,
        store_loads: int,
    ) -> None:
        """Store the inputs, and reserve loads for evictions in progress.

        Each of these evictions is followed by a load of its successor.
        """
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
        """Return the cheapest option, or ``None`` if there is none.

        A model with running requests is evicted only where no idle model can
        be, never for a further copy, and for a latency-tolerant model only if
        no evaluated replica has an idle model. ``prefer_accepting`` restricts
        the options to replicas that accept orders now, if there are any.
        """
        engines = self._list_engines(model)
        options = self._list_options(engines, model, only_idle=True)
        if not options and not self._costs.copies.get(model):
            if not any(map(_has_idle_model, engines)):
                options = self._list_options(engines, model, only_idle=False)
        accepting = [
            option for option in options if option.engine.accepts_orders
        ]
        return min(
            accepting if prefer_accepting and accepting else options,
            key=_rank_of,
            default=None,
        )

    def may_load(self, engine: EngineView, model: str) -> bool:
        """Whether the rate of the weight store allows the load of a model."""
        return self.store_loads > 0 or is_cached_on_host(engine.holdings, model)

    def fits(self, engine: EngineView, model: str) -> bool:
        """Whether a replica has enough free memory for another model."""
        used = engine.memory_in_use(self._spec)
        return used + self._spec.models[model].memory_mb <= self._spec.memory_mb

    def find_victim(self, engine: EngineView) -> PlacementOption:
        """Return the option to evict the model that costs least at a replica."""
        return min(
            (
                PlacementOption(
                    self._costs.eviction_cost(engine, victim), engine, victim
                )
                for victim in engine.holdings.models
            ),
            key=_rank_of,
        )

    def _list_options(
        self,
        engines: Sequence[EngineView],
        model: str,
        *,
        only_idle: bool,
    ) -> list[PlacementOption]:
        return [
            option
            for engine in engines
            for option in self._list_options_at(
                engine, model, only_idle=only_idle
            )
        ]

    def _list_engines(self, model: str) -> list[EngineView]:
        """Return the replicas to evaluate, at most ``_MAX_ENGINES``.

        Replicas that accept orders now are preferred, then those whose host
        caches the weights, then the least busy ones.
        """
        eligible = [
            engine
            for engine in self._engines
            if engine.accepts_orders_soon
            and engine.name not in self.excluded
            and model not in engine.holdings.models
            and model != engine.successor
        ]
        if len(eligible) <= _MAX_ENGINES:
            return eligible
        ranks = {
            engine.name: (
                not engine.accepts_orders,
                not is_cached_on_host(engine.holdings, model),
                self._costs.balance.busy_share_of(engine.name),
                engine.name,
            )
            for engine in eligible
        }
        best = set(sorted(ranks, key=ranks.__getitem__)[:_MAX_ENGINES])
        return [engine for engine in eligible if engine.name in best]

    def _list_options_at(
        self,
        engine: EngineView,
        model: str,
        *,
        only_idle: bool,
    ) -> Iterable[PlacementOption]:
        if not self.may_load(engine, model):
            return
        victims = self._list_victims(engine, model, only_idle=only_idle)
        for victim in victims:
            cost = self._costs.placement_cost(engine, model, victim)
            yield PlacementOption(cost, engine, victim)

    def _list_victims(
        self,
        engine: EngineView,
        model: str,
        *,
        only_idle: bool,
    ) -> Sequence[str]:
        """Return the models that may be evicted to free memory for a model.

        If the model fits, the only victim is the empty name. A further copy
        evicts only idle models that are not the last copy of a busy model.
        Idle models are preferred for a model without a copy. If there are none,
        a model with running requests may be evicted, unless ``only_idle`` is
        set and the model to load is latency-tolerant.
        """
        if self.fits(engine, model):
            return ('',)
        candidates = engine.evictable
        idle = [
            victim for victim in candidates if not engine.count_running(victim)
        ]
        if self._costs.copies.get(model):
            is_needed = self._costs.is_needed
            return [victim for victim in idle if not is_needed(victim)]
        if only_idle and self._costs.is_latency_tolerant(model):
            return idle
        return idle or candidates


def _rank_of(option: PlacementOption) -> tuple[float, str, str]:
    return option.rank


def _has_idle_model(engine: EngineView) -> bool:
    """Whether a replica holds an idle model that is not being evicted.

    A model that has just arrived counts too, although it can't be evicted yet.
    """
    return any(
        not engine.count_running(model)
        for model in engine.holdings.models
        if model != engine.evicting_model
    )
