"""What the planner needs of the platform: a lease, and a way to give orders."""

from typing import Protocol

from bramleybeam import platform
from bramleybeam.catalog import Holdings, Replica
from bramleybeam.orders import ModelOrder


class Lease(Protocol):
    """The right to give orders; ``epoch`` is 0 while it isn't held."""

    @property
    def epoch(self) -> int:
        """Return the epoch of the orders."""

    async def keep(self) -> bool:
        """Renew or take it; tells if it was taken now."""

    def give_up(self) -> None:
        """Stop giving orders."""

    async def close(self) -> None:
        """Hand it over for good."""


class OrderSender(Protocol):
    """Takes orders to replicas and reads what they hold."""

    async def send(
        self,
        replica: Replica,
        order: ModelOrder,
        terms: platform.OrderTerms,
    ) -> platform.OrderOutcome:
        """Give one order and tell what became of it."""

    async def read_holdings(self, replica: Replica) -> Holdings | None:
        """Return what a replica holds; ``None`` when it doesn't say."""
