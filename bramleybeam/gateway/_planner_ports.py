"""The planner's interfaces to the platform: a lease and a sender of orders."""

from typing import Protocol

from bramleybeam import platform
from bramleybeam.catalog import Holdings, HostSettings, Replica
from bramleybeam.orders import ModelOrder


class Lease(Protocol):
    """The right to send orders; ``epoch`` is 0 while it isn't held."""

    @property
    def epoch(self) -> int:
        """Return the epoch to send with orders."""

    @property
    def is_cut_off(self) -> bool:
        """Whether the lease is held and the store does not answer."""

    async def keep(self) -> bool:
        """Renew the lease, or try to take it; return whether it was taken."""

    def apply_settings(self, settings: HostSettings) -> None:
        """Apply changed settings from the next use on."""

    def give_up(self) -> None:
        """Give up the lease without releasing it in the store."""

    async def close(self) -> None:
        """Release the lease and never take it again."""


class OrderSender(Protocol):
    """Sends orders to replicas and reads their holdings."""

    async def send(
        self,
        replica: Replica,
        order: ModelOrder,
        terms: platform.OrderTerms,
    ) -> platform.OrderOutcome:
        """Send an order and return its outcome."""

    async def read_holdings(self, replica: Replica) -> Holdings | None:
        """Return a replica's holdings; ``None`` if it does not report them."""
