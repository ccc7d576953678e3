"""The tables that a gateway sums with those of its neighbours in the tree."""

from collections.abc import Collection, Mapping

from bramleybeam.catalog import ReplicaState
from bramleybeam.gateway._cluster_state import ClusterState
from bramleybeam.gateway._departures import Departure
from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._neighbour_pacer import NeighbourPacer
from bramleybeam.gateway._peer_messages import (
    ObservedStoreState,
    ParentUpdate,
    SubtreeReport,
)
from bramleybeam.gateway._placement import PlacementVersion, ReplicaPlacement
from bramleybeam.gateway._suspect_report import SuspectReport


class NeighbourTables:
    """Merges what neighbours report, and makes what is sent to them.

    Arguments ``now`` are in seconds.
    """

    def __init__(self, cluster_state: ClusterState) -> None:
        """Store the tables to merge into."""
        self._directory = cluster_state.directory
        self._loads = cluster_state.loads
        self._demand = cluster_state.demand
        self._failures = cluster_state.failures
        self._pauses = cluster_state.pauses
        self._suspects = cluster_state.suspects

    def forget(self, address: str) -> None:
        """Drop what was received from a gateway that is no neighbour now."""
        self._loads.forget(address)
        self._failures.forget(address)
        self._demand.forget(address)
        self._suspects.forget(address)
        self._directory.keys.forget(address)

    def merge_report(
        self,
        report: SubtreeReport,
        child: str,
        now: float,
        expires_at: float,
    ) -> bool:
        """Merge a child's report, which is valid until ``expires_at``.

        Returns whether the numbers of waiting requests have changed.
        """
        self._loads.update_remote(child, report.loads, expires_at)
        self._failures.update_remote(child, report.outcomes, expires_at)
        self._directory.reachability.update_remote(report.unreachable)
        self.learn_departures(report.departures)
        self._pauses.learn(report.pauses, now)
        self.learn_suspects(report.suspects, child)
        self._note_store_state(report.store)
        self._directory.keys.learn(report.keys, child)
        return self._demand.update_remote(child, report.demand, expires_at)

    def merge_update(
        self,
        update: ParentUpdate,
        parent: str,
        now: float,
        expires_at: float,
    ) -> None:
        """Merge a parent's update, except for its placement rows."""
        self.learn_departures(update.departures)
        self._pauses.learn(update.pauses, now)
        self.learn_suspects(update.suspects, parent)
        self._note_store_state(update.store)
        self._directory.keys.learn(update.keys, parent)
        if update.loads is not None:
            self._loads.update_remote(parent, update.loads, expires_at)
            self._failures.update_remote(parent, update.outcomes, expires_at)
        if _lists_more(update.delta.rows, self._directory):
            self._directory.freshness.request_read()

    def make_report(
        self,
        pacer: NeighbourPacer,
        depth: int,
        unreachable: Collection[str],
        now: float,
    ) -> SubtreeReport:
        """Return the report for the parent with the pacer ``pacer``.

        ``depth`` is the number of levels below this gateway, ``unreachable``
        the replicas that gateways below it can't reach.
        """
        parent = pacer.address
        directory = self._directory
        return SubtreeReport(
            pacer.period_s,
            depth,
            directory.placement.version,
            observe_store(directory),
            self._loads.report_for(parent, now, with_targets=True),
            self._demand.report_for(now, parent),
            sorted({*directory.reachability.list_backing_off(), *unreachable}),
            directory.departures.list_recent(),
            self._pauses.list_requested(now),
            self._failures.report_for(parent, now),
            self._suspects.report_for(parent),
            directory.keys.make_report(parent),
        )

    def make_update(
        self,
        pacer: NeighbourPacer,
        version: PlacementVersion,
        order_ages: Mapping[str, float] | None,
        now: float,
    ) -> ParentUpdate:
        """Return the tables for the child with the pacer ``pacer``.

        ``version`` is the placement version that the child has; its rows are
        sent apart. ``order_ages`` are the planner's orders, ``None`` from any
        other gateway.
        """
        return ParentUpdate(
            pacer.period_s,
            self._directory.placement.delta_since(version, 0),
            observe_store(self._directory),
            self._loads.report_for(pacer.address, now),
            order_ages,
            self._directory.departures.list_recent(),
            self._pauses.list_requested(now),
            self._failures.report_for(pacer.address, now),
            self._suspects.report_for(pacer.address),
            self._directory.keys.make_report(pacer.address),
        )

    def learn_suspects(self, report: SuspectReport, sender: str) -> None:
        """Record what a neighbour knows of requests that crash replicas."""
        if report:
            self._suspects.learn(report, sender)

    def learn_departures(self, departures: Mapping[str, Departure]) -> None:
        """Record departures that a neighbour knows of.

        The store is read without delay if a replica that is listed here was
        found missing there, because only the store tells whether it is gone.
        """
        is_contradicted = any(
            self._contradicts(name, departure)
            for name, departure in departures.items()
            if departure.is_gone
        )
        self._directory.departures.learn(departures)
        if is_contradicted:
            self._directory.freshness.request_read()

    def _contradicts(self, name: str, departure: Departure) -> bool:
        """Whether a departure is new and its replica is listed as ready."""
        replica = self._directory.replicas.get(name)
        return (
            replica is not None
            and replica.started_ms == departure.started_ms
            and replica.state == ReplicaState.READY
            and self._directory.departures.find(replica) is None
        )

    def _note_store_state(self, observed: ObservedStoreState) -> None:
        self._directory.freshness.note_peer_revision(observed.revision)
        self._directory.note_peer_planner(observed.planner)
        self._directory.freshness.note_peer_version(observed.version)


def observe_store(directory: Directory) -> ObservedStoreState:
    """Return the newest state of the store that this gateway knows of."""
    return ObservedStoreState(
        directory.freshness.revision,
        directory.newest_planner,
        directory.freshness.newest_version,
    )


def _lists_more(
    rows: Mapping[str, ReplicaPlacement], directory: Directory
) -> bool:
    """Whether the planner knows a start of a replica that is missing here."""
    for name, row in rows.items():
        replica = directory.replicas.get(name)
        if replica is None or replica.started_ms < row.started_ms:
            return True
    return False
