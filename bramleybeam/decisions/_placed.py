"""What a planning round of a shard sees, and the orders that it plans."""

from collections.abc import Mapping

import attrs

from bramleybeam.decisions._memory import READY
from bramleybeam.documents import Model
from bramleybeam.messages import ArtifactState


@attrs.frozen
class PlacedUpstream:
    """An upstream of the shard, from its last report; memory in MB."""

    name: str
    pool: str
    capacity_mb: int
    limit: int
    usable: bool
    holdings: tuple[ArtifactState, ...] = ()

    @property
    def free_mb(self) -> int:
        """Memory that is surely free."""
        return self.capacity_mb - sum(one.memory_mb for one in self.holdings)

    @property
    def adapters_mb(self) -> int:
        """Memory of adapters, which make room when a model needs it."""
        return sum(
            one.memory_mb for one in self.holdings if one.kind == 'adapter'
        )

    def holds(self, name: str) -> bool:
        """Whether it has the artifact in any state."""
        return any(one.name == name for one in self.holdings)

    def has_ready(self, name: str) -> bool:
        """Whether the artifact can take requests."""
        return any(
            one.name == name and one.state == READY for one in self.holdings
        )


@attrs.frozen
class PlacementSnapshot:
    """All that a planning round sees.

    ``demand`` is the mean number of requests in flight for each model in
    this shard; ``home`` the models that this shard keeps reachable;
    ``ready_elsewhere`` counts ready copies in other shards. ``loads`` and
    ``moves`` bound how many loads, and how many of them that are not needed
    for reachability, may begin now.
    """

    upstreams: tuple[PlacedUpstream, ...]
    models: Mapping[str, Model]
    home: frozenset[str]
    demand: Mapping[str, float]
    ready_elsewhere: Mapping[str, int]
    loads: int
    moves: int


@attrs.frozen
class PlannedOrder:
    """An order to give, with the reason shown by ``ctl explain``."""

    upstream: str
    action: str
    model: str
    reason: str
    memory_mb: int = 0
    is_move: bool = False
