"""A small model service, its replicas and its demand, for plans of orders."""

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


def ask(waiting=(), **rates):
    """Return demand: requests a second, and targets waited for."""
    models = {
        name: ModelDemand(urgent=rate, tokens=1000 * rate, was_urgent=True)
        for name, rate in rates.items()
    }
    return Demand(models, {tuple(target): 1 for target in waiting})


def make_engine(name, *models, **changed):
    """Return a replica that holds models, given as ``m1`` or ``m1/a1``."""
    held = {}
    for model in models:
        base, _, adapter = model.partition('/')
        held.setdefault(base, set())
        if adapter:
            held[base].add(adapter)
    frozen = {base: frozenset(names) for base, names in held.items()}
    holdings = Holdings(0, frozen, **changed.pop('at_hand', {}))
    return EngineView(name, holdings, **changed)
