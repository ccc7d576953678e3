"""The parts of a gateway that write records for others to the store."""

from collections.abc import Callable
from typing import Final

from bramleybeam import platform
from bramleybeam.gateway._cluster_state import ClusterState
from bramleybeam.gateway._origin_keeper import OriginKeeper
from bramleybeam.gateway._suspect_keeper import SuspectKeeper
from bramleybeam.timers import TimerService

# Period at which the planner compares its suspects with those in the store.
_SUSPECTS_S: Final = 0.5
# Period at which the origins of streams are written, while that is needed.
_ORIGINS_S: Final = 0.3


class RecordKeepers:
    """Keeps the records of crashing requests and of streams in the store."""

    def __init__(
        self,
        cluster_state: ClusterState,
        store: platform.PlatformStore,
        host: str,
        is_planner: Callable[[], bool],
    ) -> None:
        """Create the keepers; ``host`` is the name of this host."""
        self._suspects = SuspectKeeper(cluster_state, store)
        self._origins = OriginKeeper(
            cluster_state.directory, store, host, is_planner
        )

    def subscribe(self, timers: TimerService) -> None:
        """Start the periodic work."""
        timers.subscribe('suspects', _SUSPECTS_S, self._suspects.keep)
        timers.subscribe('origins', _ORIGINS_S, self._origins.keep)
