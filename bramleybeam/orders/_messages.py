"""Orders to replicas, and what they are planned from."""

from collections.abc import Mapping

import attrs

from bramleybeam.catalog import EngineSpec, Holdings

# A model and one of its adapters; the adapter is empty for the bare model.
Target = tuple[str, str]


@attrs.frozen
class LoadModel:
    """Bring a model to a replica; ``from_store`` counts for its rate."""

    replica: str
    model: str
    from_store: bool = True


@attrs.frozen
class UnloadModel:
    """Drop a model from a replica."""

    replica: str
    model: str


@attrs.frozen
class LoadAdapter:
    """Bring an adapter of a model that the replica holds."""

    replica: str
    model: str
    adapter: str


@attrs.frozen
class UnloadAdapter:
    """Drop an adapter."""

    replica: str
    model: str
    adapter: str


ModelOrder = LoadModel | UnloadModel | LoadAdapter | UnloadAdapter


@attrs.frozen
class EngineView:
    """A replica as the orders are planned.

    ``running`` counts requests by target; ``is_open`` tells whether it may be
    given an order for a model now; ``leaving`` names the model that is being
    unloaded, ``loading`` the model that is on its way.
    """

    name: str
    holdings: Holdings
    running: Mapping[Target, int] = attrs.field(factory=dict)
    is_open: bool = True
    loading: str = ''
    leaving: str = ''

    @property
    def adapter_places_used(self) -> int:
        """Adapters that are here or on their way."""
        held = sum(map(len, self.holdings.models.values()))
        return held + len(self.holdings.arriving)

    def runs_of(self, model: str) -> int:
        """Count the requests of a model that run here."""
        return sum(
            count
            for target, count in self.running.items()
            if target[0] == model
        )

    def memory_in_use(self, spec: EngineSpec) -> float:
        """Return the memory in MB that is, or will be, taken here.

        A model that the configuration doesn't know counts as all of it.
        """
        used = 0.0
        held = dict(self.holdings.models)
        if self.loading:
            held.setdefault(self.loading, frozenset())
        for model, adapters in held.items():
            known = spec.models.get(model)
            if known is None:
                return spec.memory_mb
            used += known.memory_mb + known.adapter_mb * len(adapters)
        for model, _ in self.holdings.arriving:
            known = spec.models.get(model)
            used += known.adapter_mb if known else spec.memory_mb
        return used


@attrs.frozen
class Demand:
    """What callers ask for: requests and prompt tokens a second by model.

    ``waiting`` counts requests, by target, that wait since their target is
    nowhere.
    """

    rates: Mapping[str, float] = attrs.field(factory=dict)
    token_rates: Mapping[str, float] = attrs.field(factory=dict)
    waiting: Mapping[Target, int] = attrs.field(factory=dict)

    def waiting_by_model(self) -> dict[str, int]:
        """Count the waiting requests of each model, whatever the adapter."""
        counts: dict[str, int] = {}
        for (model, _), count in self.waiting.items():
            counts[model] = counts.get(model, 0) + count
        return counts
