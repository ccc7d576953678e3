"""Tables that the parts of a gateway share."""

from collections.abc import Callable

import attrs

from bramleybeam.gateway._demand import DemandTable
from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._loads import LoadTable


@attrs.frozen
class ClusterState:
    """The tables that routing and placement decisions are based on.

    ``directory`` holds what the store and the planner publish, ``loads`` the
    requests in flight and ``demand`` the request rates by model.
    """

    directory: Directory
    loads: LoadTable
    demand: DemandTable


def make_cluster_state(clock: Callable[[], float]) -> ClusterState:
    """Return empty tables; ``clock`` returns seconds."""
    return ClusterState(Directory(clock), LoadTable(), DemandTable())
