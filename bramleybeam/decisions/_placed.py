"""Input and output of a planning round of a shard."""

from collections.abc import Mapping

import attrs

from bramleybeam.decisions._memory import READY
from bramleybeam.documents import Model
from bramleybeam.messages import ArtifactState


@attrs.frozen
class PlacedUpstream:
    """An upstream of the shard, from its last report; memory in MB.

    ``limit`` is the number of requests that it runs concurrently. Only a
    ``usable`` upstream may get orders, and only its copies count.
    """

    name: str
    pool: str
    capacity_mb: int
    limit: int
    usable: bool
    holdings: tuple[ArtifactState, ...] = ()

    @property
    def free_mb(self) -> int:
        """Memory in MB that is certainly free."""
        return self.capacity_mb - sum(
            artifact.memory_mb for artifact in self.holdings
        )

    @property
    def adapters_mb(self) -> int:
        """Memory in MB of adapters, which can be evicted for a model."""
        return sum(
            artifact.memory_mb
            for artifact in self.holdings
            if artifact.kind == 'adapter'
        )

    def holds(self, name: str) -> bool:
        """Whether the upstream has the artifact, in any state."""
        return any(artifact.name == name for artifact in self.holdings)

    def has_ready(self, name: str) -> bool:
        """Whether the upstream has the artifact ready for requests."""
        return any(
            artifact.name == name and artifact.state == READY
            for artifact in self.holdings
        )


@attrs.frozen
class PlacementSnapshot:
    """Input of a planning round.

    ``demand`` is the mean number of requests in flight for each model in
    this shard, ``home`` the models that this shard keeps reachable, and
    ``ready_elsewhere`` the number of ready copies in other shards. ``loads``
    limits the loads that may start now; ``moves`` limits those among them
    that are not needed for reachability.
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
    """An order to send, with the reason that ``ctl explain`` shows.

    ``is_move`` is set if the order is not needed for reachability.
    """

    upstream: str
    action: str
    model: str
    reason: str
    memory_mb: int = 0
    is_move: bool = False
