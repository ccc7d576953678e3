"""Plans the orders to send now to the replicas of one service."""

from collections.abc import Sequence

from bramleybeam.catalog import EngineSpec
from bramleybeam.orders._adapters import AdapterPlacement
from bramleybeam.orders._costs import PlacementCosts, find_holders
from bramleybeam.orders._messages import Demand, EngineView, ModelOrder
from bramleybeam.orders._models import ModelPlacement


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
    ``store_loads`` is how many loads from the weight store may begin now.
    """
    holders = find_holders(engines)
    adapters = AdapterPlacement(engines, spec, demand, holders)
    adapters.place_waiting()
    models = ModelPlacement(
        engines,
        spec,
        PlacementCosts(engines, spec, demand, holders),
        store_loads,
    )
    models.exclude_replicas({order.replica for order in adapters.orders})
    models.load_successors()
    models.place()
    adapters.prefetch({order.replica for order in models.orders})
    return [*models.orders, *adapters.orders]
