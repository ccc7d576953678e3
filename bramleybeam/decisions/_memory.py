"""Accounts for accelerator memory to decide what may still be loaded.

The ledger counts artifacts that are resident, that were ordered but are not
yet reported by the engine, and that are being unloaded. An artifact is removed
only when the engine no longer reports it and no order for it is open.
"""

from collections.abc import Iterable, Mapping
from typing import Final

import attrs
from expression import Error, Ok, Result

from bramleybeam.messages import ArtifactState

LOADING: Final = 'loading'
READY: Final = 'ready'
DRAINING: Final = 'draining'
UNLOADING: Final = 'unloading'


@attrs.frozen
class MemoryLedger:
    """Immutable memory ledger of one accelerator; memory is in MB.

    Example::

        ledger = MemoryLedger(capacity_mb=80_000)
        outcome = ledger.reserve(ArtifactState('m', 'model', 9_000, 'loading'))
    """

    capacity_mb: int
    holdings: Mapping[str, ArtifactState] = attrs.field(factory=dict)

    @property
    def used_mb(self) -> int:
        """Memory in MB that is or may be in use."""
        return sum(holding.memory_mb for holding in self.holdings.values())

    @property
    def free_mb(self) -> int:
        """Memory in MB that is certainly free."""
        return self.capacity_mb - self.used_mb

    def reserve(self, artifact: ArtifactState) -> Result['MemoryLedger', str]:
        """Return a ledger with memory reserved for a load, or an error text.

        Called before the load is ordered.
        """
        if artifact.name in self.holdings:
            return Error(f'{artifact.name} is already in the ledger')
        if artifact.memory_mb > self.free_mb:
            return Error(
                f'{artifact.name} needs {artifact.memory_mb} MB and '
                f'{self.free_mb} MB are free; unload something first',
            )
        return Ok(self._put(attrs.evolve(artifact, state=LOADING)))

    def set_state(self, name: str, state: str) -> 'MemoryLedger':
        """Return a ledger with a changed state of the artifact ``name``.

        An unknown name is ignored.
        """
        holding = self.holdings.get(name)
        if holding is None:
            return self
        return self._put(attrs.evolve(holding, state=state))

    def observe(
        self,
        artifacts: Iterable[ArtifactState],
        open_orders: Iterable[str],
    ) -> 'MemoryLedger':
        """Return a ledger updated with the engine's reported artifacts.

        Every reported artifact is included, whoever ordered it. An artifact
        that is not reported is removed unless an order for it is still open.
        """
        open_names = frozenset(open_orders)
        reported = {artifact.name: artifact for artifact in artifacts}
        holdings = {
            name: self._merge(holding, reported.get(name))
            for name, holding in self.holdings.items()
            if name in reported or name in open_names
        }
        for name, artifact in reported.items():
            holdings.setdefault(name, artifact)
        return attrs.evolve(self, holdings=holdings)

    def _merge(
        self,
        holding: ArtifactState,
        reported: ArtifactState | None,
    ) -> ArtifactState:
        if reported is None or holding.state in {DRAINING, UNLOADING}:
            return holding
        memory_mb = max(holding.memory_mb, reported.memory_mb)
        return attrs.evolve(holding, state=reported.state, memory_mb=memory_mb)

    def _put(self, artifact: ArtifactState) -> 'MemoryLedger':
        return attrs.evolve(
            self,
            holdings={**self.holdings, artifact.name: artifact},
        )
