"""What the parts of a gateway share: beliefs, work in flight and demand."""

from collections.abc import Callable

import attrs

from bramleybeam.gateway._demand import DemandTable
from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._loads import LoadTable


@attrs.frozen
class ClusterState:
    """The tables that requests and orders are decided from."""

    directory: Directory
    loads: LoadTable
    demand: DemandTable


def make_cluster_state(clock: Callable[[], float]) -> ClusterState:
    """Start without any knowledge; ``clock`` gives seconds."""
    return ClusterState(Directory(clock), LoadTable(), DemandTable())
