"""Orders to replicas, and what they are planned from."""

from collections.abc import Collection, Mapping

import attrs

from bramleybeam.catalog import EngineSpec, Holdings

# A model and one of its adapters; the adapter is empty for the bare model.
Target = tuple[str, str]


@attrs.frozen
class LoadModel:
    """Bring a model to a replica; ``from_store`` counts for its rate.

    ``takes_s`` is how long it is expected to take.
    """

    replica: str
    model: str
    from_store: bool = True
    takes_s: float = attrs.field(default=0, eq=False)


@attrs.frozen
class UnloadModel:
    """Drop a model from a replica, to make room for ``successor``.

    ``takes_s`` is how long it is expected to take until that one is there.
    """

    replica: str
    model: str
    successor: str = ''
    takes_s: float = attrs.field(default=0, eq=False)


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


def incoming_model(order: ModelOrder) -> str:
    """Name the model that an order brings, or makes room for; may be none."""
    if isinstance(order, LoadModel):
        return order.model
    return order.successor if isinstance(order, UnloadModel) else ''


@attrs.frozen
class EngineView:
    """A replica as the orders are planned.

    ``running`` counts requests by target; ``accepts_orders`` tells whether it
    may be given an order now, ``is_reachable`` whether its copies count;
    ``evicting_model`` names the model that is being unloaded, ``loading_model``
    the model that is on its way, ``successor`` the one for which room has been
    or is being made. ``is_overdue`` is set where a closed replica should have
    been open by now. ``last_use`` tells when targets arrived or were last seen
    to run here, in seconds; those in ``just_arrived`` have not had time to
    serve yet.
    """

    name: str
    holdings: Holdings
    running: Mapping[Target, int] = attrs.field(factory=dict)
    accepts_orders: bool = True
    is_reachable: bool = True
    loading_model: str = ''
    evicting_model: str = ''
    successor: str = ''
    is_overdue: bool = False
    last_use: Mapping[Target, float] = attrs.field(factory=dict)
    just_arrived: Collection[Target] = ()

    @property
    def takes_orders_soon(self) -> bool:
        """Whether it can be given an order now, or in a moment."""
        return self.is_reachable and not self.is_overdue

    @property
    def droppable(self) -> list[str]:
        """The models that may make room: they have had time to serve."""
        return [
            model
            for model in self.holdings.models
            if model != self.evicting_model
            and (model, '') not in self.just_arrived
        ]

    @property
    def adapter_places_used(self) -> int:
        """Adapters that are here or on their way."""
        held = sum(map(len, self.holdings.models.values()))
        return held + len(self.holdings.arriving)

    @property
    def runs(self) -> int:
        """Count all requests that run here."""
        return sum(self.running.values())

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
        if self.loading_model:
            held.setdefault(self.loading_model, frozenset())
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
class ModelDemand:
    """Requests and prompt tokens a second for one model.

    ``urgent`` requests want their first token sooner than a load takes,
    ``tolerant`` ones can wait for one. ``was_urgent`` stays set once an urgent
    request has come. ``adapted`` are those of all that ask for an adapter.
    """

    urgent: float = 0
    tolerant: float = 0
    tokens: float = 0
    was_urgent: bool = False
    adapted: float = 0

    @property
    def rate(self) -> float:
        """All requests a second."""
        return self.urgent + self.tolerant

    def plus(self, other: 'ModelDemand') -> 'ModelDemand':
        """Return the sum of two gateways' demand."""
        return ModelDemand(
            self.urgent + other.urgent,
            self.tolerant + other.tolerant,
            self.tokens + other.tokens,
            self.was_urgent or other.was_urgent,
            self.adapted + other.adapted,
        )


@attrs.frozen
class Demand:
    """What callers ask for, by model.

    A model that nobody has asked for is not named. ``waiting`` counts
    requests, by target, that wait since their target is nowhere, or were
    refused for that and will be back. ``unserved_s`` tells for how many seconds
    none of them has been served.
    """

    models: Mapping[str, ModelDemand] = attrs.field(factory=dict)
    waiting: Mapping[Target, int] = attrs.field(factory=dict)
    unserved_s: Mapping[Target, float] = attrs.field(factory=dict)

    def for_model(self, model: str) -> ModelDemand:
        """Return the demand for a model, which may be none."""
        return self.models.get(model, NO_DEMAND)

    def unserved_by_model(self) -> dict[str, float]:
        """Return for how long each model has not been served, in seconds."""
        ages: dict[str, float] = {}
        for (model, _), age_s in self.unserved_s.items():
            ages[model] = max(age_s, ages.get(model, 0))
        return ages

    def waiting_by_model(self) -> dict[str, int]:
        """Count the waiting requests of each model, whatever the adapter."""
        counts: dict[str, int] = {}
        for (model, _), count in self.waiting.items():
            counts[model] = counts.get(model, 0) + count
        return counts


NO_DEMAND = ModelDemand()
