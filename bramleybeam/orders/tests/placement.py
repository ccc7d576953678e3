"""Test data: a small model service, its replicas and its demand."""

from bramleybeam.catalog import EngineSpec, Holdings, ModelSpec
from bramleybeam.orders import Demand, EngineView, ModelDemand

MODELS = ('m1', 'm2', 'm3', 'm4', 'm5')
SPEC = EngineSpec(
    slots=4,
    cache_tokens=1000,
    memory_mb=215,
    adapter_places=2,
    loads_per_s=2,
    models={
        name: ModelSpec(name, 70, 2.4, 1.6, 1.2, adapters=4, adapter_mb=1)
        for name in MODELS
    },
)


def make_demand(waiting=(), **rates):
    """Return urgent demand with 1,000 prompt tokens for each request.

    ``rates`` maps models to requests per second. ``waiting`` lists targets; one
    request waits for each.
    """
    models = {
        name: ModelDemand(urgent=rate, tokens=1000 * rate, was_urgent=True)
        for name, rate in rates.items()
    }
    return Demand(models, {tuple(target): 1 for target in waiting})


def make_engine(name, *models, **fields):
    """Return a replica that holds models, given as ``m1`` or ``m1/a1``.

    ``cached`` has the fields of ``Holdings`` for the weights that its host
    caches; all other keywords are fields of ``EngineView``.
    """
    adapters_by_model = {}
    for model in models:
        base, _, adapter = model.partition('/')
        adapters_by_model.setdefault(base, set())
        if adapter:
            adapters_by_model[base].add(adapter)
    models_held = {
        base: frozenset(names) for base, names in adapters_by_model.items()
    }
    holdings = Holdings(0, models_held, **fields.pop('cached', {}))
    return EngineView(name, holdings, **fields)
