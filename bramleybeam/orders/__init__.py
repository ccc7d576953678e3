"""Orders for models and adapters: what replicas are told to hold."""

from bramleybeam.orders._balance import PREFILL_TOKENS_PER_S
from bramleybeam.orders._judged import is_asked_through
from bramleybeam.orders._messages import (
    NO_DEMAND,
    Demand,
    EngineView,
    LoadAdapter,
    LoadModel,
    ModelDemand,
    ModelOrder,
    Target,
    UnloadAdapter,
    UnloadModel,
    coming_model,
)
from bramleybeam.orders._plan import plan_orders

__all__ = [
    'NO_DEMAND',
    'PREFILL_TOKENS_PER_S',
    'Demand',
    'EngineView',
    'LoadAdapter',
    'LoadModel',
    'ModelDemand',
    'ModelOrder',
    'Target',
    'UnloadAdapter',
    'UnloadModel',
    'coming_model',
    'is_asked_through',
    'plan_orders',
]
