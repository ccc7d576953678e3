"""Tables that the parts of a gateway share."""

import random
from collections.abc import Callable
from functools import partial

import attrs

from bramleybeam.costs import CostModel, WorkBacklogs
from bramleybeam.gateway._access import KeyChecker
from bramleybeam.gateway._demand import DemandTable
from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._failures import FailureTable
from bramleybeam.gateway._follower_pace import DEFAULT_PACE, FollowerPace
from bramleybeam.gateway._loads import LoadTable
from bramleybeam.gateway._suspects import CrashSuspects
from bramleybeam.limits import PauseTable
from bramleybeam.workspaces import KeyAge


@attrs.frozen
class ClusterState:
    """The tables that routing and placement decisions are based on.

    ``directory`` holds what the store and the planner publish, ``loads`` the
    requests in flight, ``demand`` the request rates by model, ``pauses``
    the replicas that have asked for a pause, ``suspects`` the requests that may
    crash replicas, and ``failures`` the shares of the requests that fail at each
    replica. ``costs`` is what requests cost the replicas, and ``backlogs`` the
    work that these have left. ``access`` checks callers' keys.
    """

    directory: Directory
    loads: LoadTable
    demand: DemandTable
    pauses: PauseTable
    suspects: CrashSuspects
    failures: FailureTable = attrs.field(factory=FailureTable)
    costs: CostModel = attrs.field(factory=CostModel)
    backlogs: WorkBacklogs = attrs.field(factory=WorkBacklogs)
    access: KeyChecker = attrs.field(init=False)

    @access.default
    def _make_access(self) -> KeyChecker:
        return KeyChecker(self.directory)


def make_cluster_state(
    clock: Callable[[], float],
    rng: random.Random | None = None,
    pace: FollowerPace = DEFAULT_PACE,
    keys: KeyAge | None = None,
    boot_clock: Callable[[], float] | None = None,
) -> ClusterState:
    """Return empty tables.

    ``clock`` returns seconds, ``rng`` draws pauses, and ``pace`` is how often
    the changes in the store are read. ``keys`` is the age of callers' keys.
    ``boot_clock`` includes suspension of the host; ``clock`` by default.
    """
    directory = Directory(clock, pace, keys, boot_clock)
    suspects = CrashSuspects(clock)
    directory.stored_suspects.on_read.append(
        partial(suspects.learn, source='store')
    )
    return ClusterState(
        directory,
        LoadTable(),
        DemandTable(),
        PauseTable(rng or random.Random()),
        suspects,
    )
