"""Sends the planner's orders to the simulated engines."""

import asyncio
from typing import Final

import attrs

from bramleybeam import platform
from bramleybeam.catalog import Holdings, HostSettings, Replica
from bramleybeam.orders import ModelOrder
from bramleybeam.simulation._engine import EngineModel

# Time until a replica answers a call, in seconds.
_CALL_LATENCY_S: Final = 0.002
_CONFLICT: Final = 409


class AlwaysHeldLease:
    """A planner lease that is always held: there is a single gateway."""

    epoch = 1

    @property
    def is_cut_off(self) -> bool:
        """Whether the store does not answer, which never happens here."""
        return False

    async def keep(self) -> bool:
        """Return ``False``: the lease is never newly acquired."""
        return False

    def apply_settings(self, settings: HostSettings) -> None:
        """Do nothing: the lease depends on no setting."""

    def give_up(self) -> None:
        """Do nothing: no other gateway competes for the lease."""

    async def close(self) -> None:
        """Do nothing: there is no lease in a store to release."""


@attrs.define
class SimulatedOrderSender:
    """Sends orders to engines by name; ``orders_sent`` counts them."""

    engines: dict[str, EngineModel]
    orders_sent: int = 0

    async def send(
        self,
        replica: Replica,
        order: ModelOrder,
        terms: platform.OrderTerms,
    ) -> platform.OrderOutcome:
        """Return whether the engine accepted the order, after a delay."""
        await asyncio.sleep(_CALL_LATENCY_S)
        self.orders_sent += 1
        if self.engines[replica.name].accept_order(order, terms.sequence):
            return platform.OrderAccepted()
        return platform.OrderRefused(_CONFLICT)

    async def read_holdings(self, replica: Replica) -> Holdings:
        """Return the current holdings of an engine, after a delay."""
        await asyncio.sleep(_CALL_LATENCY_S)
        return self.engines[replica.name].holdings
