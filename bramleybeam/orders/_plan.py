"""Plans the orders to send now to the replicas of one service."""

from collections.abc import Collection, Sequence

import attrs

from bramleybeam.catalog import EngineSpec
from bramleybeam.orders._adapters import AdapterPlacement
from bramleybeam.orders._costs import PlacementCosts, find_holders
from bramleybeam.orders._messages import (
    Demand,
    EngineView,
    LoadAdapter,
    LoadModel,
    ModelOrder,
    Target,
    UnloadAdapter,
    UnloadModel,
    incoming_model,
)
from bramleybeam.orders._models import MAX_TOLERANT_SHARE, ModelPlacement


def plan_orders(
    engines: Sequence[EngineView],
    spec: EngineSpec,
    demand: Demand,
    store_loads: int,
) -> list[ModelOrder]:
    """Return the orders to send now, at most one for each replica.

    Adapters that requests wait for come first, then models, then adapters that
    are prefetched. Adapters precede models because they load in milliseconds,
    and a replica cannot load any during the seconds in which it loads a model.
    ``store_loads`` is how many loads from the weight store may begin now. Targets
    that are needed at replicas of one software version come before all others,
    because no other replica can serve these requests.
    """
    pinned = _plan_pinned(engines, spec, demand, store_loads)
    ordered = {order.replica: order for order in pinned}
    store_loads -= _count_store_loads(pinned)
    remaining = [
        attrs.evolve(
            engine,
            accepts_orders=False,
            successor=incoming_model(ordered[engine.name]),
        )
        if engine.name in ordered
        else engine
        for engine in engines
    ]
    return [*pinned, *_plan_unpinned(remaining, spec, demand, store_loads)]


def _plan_pinned(
    engines: Sequence[EngineView],
    spec: EngineSpec,
    demand: Demand,
    store_loads: int,
) -> list[ModelOrder]:
    """Return the orders for targets that are needed at one software version.

    The replicas of each such version are planned as if they were all. All of them
    may load at the same time, as the callers have a part of their answers.
    """
    orders: list[ModelOrder] = []
    for version in sorted({target.version for target in demand.pinned}):
        waiting = {
            pinned.target: count
            for pinned, count in demand.pinned.items()
            if pinned.version == version
        }
        group = [
            engine for engine in engines if engine.software_version == version
        ]
        planned = _plan_unpinned(
            group,
            spec,
            attrs.evolve(demand, waiting=waiting, unserved_s={}),
            store_loads - _count_store_loads(orders),
            max_tolerant_share=1,
        )
        orders.extend(
            order for order in planned if _is_for(order, waiting.keys())
        )
    return orders


def _is_for(order: ModelOrder, targets: Collection[Target]) -> bool:
    """Whether an order loads one of the targets, or makes room for one.

    Adapters are only unloaded for adapters that are waited for.
    """
    if isinstance(order, UnloadAdapter):
        return True
    if isinstance(order, LoadAdapter):
        return (order.model, order.adapter) in targets
    return incoming_model(order) in {model for model, _ in targets}


def _count_store_loads(orders: Collection[ModelOrder]) -> int:
    """Return how many loads from the weight store orders may lead to."""
    return sum(isinstance(order, LoadModel | UnloadModel) for order in orders)


def _plan_unpinned(
    engines: Sequence[EngineView],
    spec: EngineSpec,
    demand: Demand,
    store_loads: int,
    max_tolerant_share: float = MAX_TOLERANT_SHARE,
) -> list[ModelOrder]:
    """Return the orders for targets that any of the replicas may serve."""
    holders = find_holders(engines)
    adapters = AdapterPlacement(engines, spec, demand, holders)
    adapters.place_waiting()
    models = ModelPlacement(
        engines,
        spec,
        PlacementCosts(engines, spec, demand, holders),
        store_loads,
        max_tolerant_share,
    )
    models.exclude_replicas({order.replica for order in adapters.orders})
    models.load_successors()
    models.place()
    adapters.prefetch({order.replica for order in models.orders})
    return [*models.orders, *adapters.orders]
