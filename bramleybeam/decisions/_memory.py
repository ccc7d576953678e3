"""The accelerator memory ledger: what may still be loaded.

The ledger counts what is resident, what was ordered and is not yet known to
be there, and what is being unloaded. An artifact leaves the ledger only when
the engine's own state shows that it is gone and no order for it is open.
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
    """An immutable ledger of one accelerator; memory in MB.

    Example::

        ledger = MemoryLedger(capacity_mb=80_000)
        outcome = ledger.reserve(ArtifactState('m', 'model', 9_000, 'loading'))
    """

    capacity_mb: int
    holdings: Mapping[str, ArtifactState] = attrs.field(factory=dict)

    @property
    def used_mb(self) -> int:
        """Memory that is or may be in use."""
        return sum(holding.memory_mb for holding in self.holdings.values())

    @property
    def free_mb(self) -> int:
        """Memory that is surely free."""
        return self.capacity_mb - self.used_mb

    def reserve(self, artifact: ArtifactState) -> Result['MemoryLedger', str]:
        """Set memory aside for a load before it is ordered."""
        if artifact.name in self.holdings:
            return Error(f'{artifact.name} is already in the ledger')
        if artifact.memory_mb > self.free_mb:
            return Error(
                f'{artifact.name} needs {artifact.memory_mb} MB and '
                f'{self.free_mb} MB are free; unload something first',
            )
        return Ok(self._put(attrs.evolve(artifact, state=LOADING)))

    def mark(self, name: str, state: str) -> 'MemoryLedger':
        """Change the state of a holding; unknown names are left out."""
        holding = self.holdings.get(name)
        if holding is None:
            return self
        return self._put(attrs.evolve(holding, state=state))

    def observe(
        self,
        seen: Iterable[ArtifactState],
        open_orders: Iterable[str],
    ) -> 'MemoryLedger':
        """Take in the engine's own state.

        What the engine shows is in the ledger, whoever ordered it. What it
        does not show is dropped unless an order for it is still open.
        """
        open_names = frozenset(open_orders)
        shown = {artifact.name: artifact for artifact in seen}
        holdings = {
            name: self._merge(holding, shown.get(name))
            for name, holding in self.holdings.items()
            if name in shown or name in open_names
        }
        for name, artifact in shown.items():
            holdings.setdefault(name, artifact)
        return attrs.evolve(self, holdings=holdings)

    def _merge(
        self,
        holding: ArtifactState,
        shown: ArtifactState | None,
    ) -> ArtifactState:
        if shown is None or holding.state in {DRAINING, UNLOADING}:
            return holding
        memory_mb = max(holding.memory_mb, shown.memory_mb)
        return attrs.evolve(holding, state=shown.state, memory_mb=memory_mb)

    def _put(self, artifact: ArtifactState) -> 'MemoryLedger':
        return attrs.evolve(
            self,
            holdings={**self.holdings, artifact.name: artifact},
        )
