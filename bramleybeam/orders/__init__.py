"""Planning of the orders that load and unload models and adapters.

``plan_orders`` compares what the replicas of a service hold with the demand
and returns the orders to send now.
"""

from bramleybeam.orders._balance import PREFILL_TOKENS_PER_S
from bramleybeam.orders._messages import (
    NO_DEMAND,
    Demand,
    EngineView,
    LoadAdapter,
    LoadModel,
    ModelDemand,
    ModelOrder,
    PinnedTarget,
    Target,
    UnloadAdapter,
    UnloadModel,
    incoming_model,
)
from bramleybeam.orders._plan import plan_orders
from bramleybeam.orders._samples import has_enough_samples

__all__ = [
    'NO_DEMAND',
    'PREFILL_TOKENS_PER_S',
    'Demand',
    'EngineView',
    'LoadAdapter',
    'LoadModel',
    'ModelDemand',
    'ModelOrder',
    'PinnedTarget',
    'Target',
    'UnloadAdapter',
    'UnloadModel',
    'has_enough_samples',
    'incoming_model',
    'plan_orders',
]
