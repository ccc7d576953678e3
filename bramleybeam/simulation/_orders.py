"""Takes a planner's orders to the modelled engines."""

import asyncio
from typing import Final

import attrs

from bramleybeam import platform
from bramleybeam.catalog import Holdings, Replica
from bramleybeam.orders import ModelOrder
from bramleybeam.simulation._engine import EngineModel

# Time until a replica answers a call.
_CALL_S: Final = 0.002
_CONFLICT: Final = 409


class SingleLease:
    """A lease that is always held."""

    epoch = 1

    async def keep(self) -> bool:
        return False

    def give_up(self) -> None:
        """Do nothing: there is no rival."""

    async def close(self) -> None:
        """Do nothing: the day just ends."""


@attrs.define
class EngineOrders:
    """Orders to engines by name; ``orders`` counts them."""

    engines: dict[str, EngineModel]
    orders: int = 0

    async def send(
        self,
        replica: Replica,
        order: ModelOrder,
        terms: platform.OrderTerms,
    ) -> platform.OrderOutcome:
        await asyncio.sleep(_CALL_S)
        self.orders += 1
        if self.engines[replica.name].give(order, terms.sequence):
            return platform.OrderAccepted()
        return platform.OrderRefused(_CONFLICT)

    async def read_holdings(self, replica: Replica) -> Holdings:
        await asyncio.sleep(_CALL_S)
        return self.engines[replica.name].holdings
