"""Plans the orders that are due now, for the replicas of one service."""

from collections.abc import Sequence

from bramleybeam.catalog import EngineSpec
from bramleybeam.orders._adapters import AdapterPlacement
from bramleybeam.orders._messages import Demand, EngineView, ModelOrder
from bramleybeam.orders._models import ModelPlacement


def plan_orders(
    engines: Sequence[EngineView],
    spec: EngineSpec,
    demand: Demand,
    store_loads: int,
) -> list[ModelOrder]:
    """Plan at most one order a replica, what requests wait for first.

    ``store_loads`` is how many loads from the weight store may begin now.
    """
    models = ModelPlacement(engines, spec, demand, store_loads)
    models.finish_swaps()
    models.place()
    taken = {order.replica for order in models.orders}
    adapters = AdapterPlacement(engines, spec, demand, taken)
    adapters.place_waiting()
    adapters.fetch_ahead()
    return [*models.orders, *adapters.orders]
