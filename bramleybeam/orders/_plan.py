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
    models.place_waiting()
    waiting = AdapterPlacement(engines, spec, demand, _named(models.orders))
    waiting.place_waiting()
    if not waiting.orders:
        models.add_copies()
    taken = _named(models.orders) | _named(waiting.orders)
    ahead = AdapterPlacement(engines, spec, demand, taken)
    ahead.fetch_ahead()
    return [*models.orders, *waiting.orders, *ahead.orders]


def _named(orders: Sequence[ModelOrder]) -> set[str]:
    return {order.replica for order in orders}
