"""Orders to replicas, and the replica state and demand to plan them from."""

from collections.abc import Collection, Mapping

import attrs

from bramleybeam.catalog import EngineSpec, Holdings

# A model and one of its adapters; the adapter is empty for the base model.
Target = tuple[str, str]


@attrs.frozen
class PinnedTarget:
    """A model and adapter that only replicas of one software version can serve."""

    model: str
    adapter: str
    version: str

    @property
    def target(self) -> Target:
        """The model and adapter, whatever the version."""
        return self.model, self.adapter


@attrs.frozen
class LoadModel:
    """An order to load a model at a replica.

    ``from_store`` is set when the weights come from the weight store, so that
    the load counts against the store's rate. ``takes_s`` is the expected time
    of the load in seconds.
    """

    replica: str
    model: str
    from_store: bool = True
    takes_s: float = attrs.field(default=0, eq=False)


@attrs.frozen
class UnloadModel:
    """An order to unload a model, to free memory for ``successor``.

    ``takes_s`` is the expected time in seconds until the successor is loaded,
    which takes another order.
    """

    replica: str
    model: str
    successor: str = ''
    takes_s: float = attrs.field(default=0, eq=False)


@attrs.frozen
class LoadAdapter:
    """An order to load an adapter of a model that the replica holds."""

    replica: str
    model: str
    adapter: str


@attrs.frozen
class UnloadAdapter:
    """An order to unload an adapter."""

    replica: str
    model: str
    adapter: str


ModelOrder = LoadModel | UnloadModel | LoadAdapter | UnloadAdapter


def incoming_model(order: ModelOrder) -> str:
    """Return the model that an order loads or frees memory for.

    The name is empty for an order that does neither.
    """
    if isinstance(order, LoadModel):
        return order.model
    return order.successor if isinstance(order, UnloadModel) else ''


@attrs.frozen
class EngineView:
    """The state of one replica at the time of planning.

    ``running`` counts running requests by target. ``accepts_orders`` is set
    when the replica can be sent an order now; ``is_reachable`` is set when its
    copies of models count as usable. ``evicting_model`` is the model that is
    being unloaded, ``loading_model`` the model that is being loaded, and
    ``successor`` the next model that the replica is to hold: one that is being
    loaded, or for which memory has been or is being freed. Each name may be
    empty. ``is_overdue`` is set when a replica that does not accept orders was
    expected to accept them by now. ``last_use`` is the time in seconds at which
    each target arrived or was last seen running here. The targets in
    ``just_arrived`` have not had time to serve requests yet. ``software_version``
    is that of the replica's program.
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
    software_version: str = ''

    @property
    def accepts_orders_soon(self) -> bool:
        """Whether the replica accepts orders now or is expected to soon."""
        return self.is_reachable and not self.is_overdue

    @property
    def evictable(self) -> list[str]:
        """The models that may be evicted; excludes those that just arrived."""
        return [
            model
            for model in self.holdings.models
            if model != self.evicting_model
            and (model, '') not in self.just_arrived
        ]

    @property
    def adapter_places_used(self) -> int:
        """The number of adapters that are loaded or being loaded."""
        held = sum(map(len, self.holdings.models.values()))
        return held + len(self.holdings.arriving)

    @property
    def running_count(self) -> int:
        """The number of requests that run at the replica."""
        return sum(self.running.values())

    def count_running(self, model: str) -> int:
        """Return how many requests of a model run at the replica."""
        return sum(
            count
            for target, count in self.running.items()
            if target[0] == model
        )

    def memory_in_use(self, spec: EngineSpec) -> float:
        """Return the memory in MB that loaded and arriving weights take.

        A model that is not in the configuration has an unknown size and
        counts as the replica's whole memory.
        """
        used = 0.0
        held = dict(self.holdings.models)
        if self.loading_model:
            held.setdefault(self.loading_model, frozenset())
        for model, adapters in held.items():
            model_spec = spec.models.get(model)
            if model_spec is None:
                return spec.memory_mb
            used += model_spec.memory_mb + model_spec.adapter_mb * len(adapters)
        for model, _ in self.holdings.arriving:
            model_spec = spec.models.get(model)
            used += model_spec.adapter_mb if model_spec else spec.memory_mb
        return used


@attrs.frozen
class ModelDemand:
    """Rates of requests and prompt tokens for one model, per second.

    ``urgent`` requests need their first token sooner than a load takes,
    ``tolerant`` requests can wait for a load. ``was_urgent`` stays set once an
    urgent request has arrived. ``adapted`` is the rate of the requests, urgent
    or tolerant, that need an adapter.
    """

    urgent: float = 0
    tolerant: float = 0
    tokens: float = 0
    was_urgent: bool = False
    adapted: float = 0

    @property
    def rate(self) -> float:
        """The rate of all requests, per second."""
        return self.urgent + self.tolerant

    def plus(self, other: 'ModelDemand') -> 'ModelDemand':
        """Return the sum of this demand and another gateway's."""
        return ModelDemand(
            self.urgent + other.urgent,
            self.tolerant + other.tolerant,
            self.tokens + other.tokens,
            self.was_urgent or other.was_urgent,
            self.adapted + other.adapted,
        )


@attrs.frozen
class Demand:
    """The demand of all callers.

    ``models`` has no entry for a model without requests. ``waiting`` counts,
    by target, the requests that wait because no replica holds their target,
    and those that were refused for this reason and are expected to be sent
    again. ``unserved_s`` is how many seconds the requests for a target have
    gone unserved. ``pinned`` counts the requests that wait for a target at a
    replica of one software version, to go on with their streams.
    """

    models: Mapping[str, ModelDemand] = attrs.field(factory=dict)
    waiting: Mapping[Target, int] = attrs.field(factory=dict)
    unserved_s: Mapping[Target, float] = attrs.field(factory=dict)
    pinned: Mapping[PinnedTarget, int] = attrs.field(factory=dict)

    def for_model(self, model: str) -> ModelDemand:
        """Return the demand for a model; ``NO_DEMAND`` if it has none."""
        return self.models.get(model, NO_DEMAND)

    def unserved_by_model(self) -> dict[str, float]:
        """Return the longest unserved time of each model, in seconds."""
        ages: dict[str, float] = {}
        for (model, _), age_s in self.unserved_s.items():
            ages[model] = max(age_s, ages.get(model, 0))
        return ages

    def waiting_by_model(self) -> dict[str, int]:
        """Return the waiting requests of each model, over all its adapters."""
        counts: dict[str, int] = {}
        for (model, _), count in self.waiting.items():
            counts[model] = counts.get(model, 0) + count
        return counts


NO_DEMAND = ModelDemand()
