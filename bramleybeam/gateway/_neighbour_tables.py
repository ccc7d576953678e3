"""The tables that a gateway sums with those of its neighbours in the tree."""

from collections.abc import Mapping

from bramleybeam.gateway._cluster_state import ClusterState
from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._peer_messages import (
    ObservedStoreState,
    ParentUpdate,
    SubtreeReport,
)
from bramleybeam.gateway._placement import ReplicaPlacement


class NeighbourTables:
    """Merges what neighbours report; arguments ``now`` are in seconds."""

    def __init__(self, cluster_state: ClusterState) -> None:
        """Store the tables to merge into."""
        self._directory = cluster_state.directory
        self._loads = cluster_state.loads
        self._demand = cluster_state.demand
        self._failures = cluster_state.failures
        self._pauses = cluster_state.pauses

    def forget(self, address: str) -> None:
        """Drop what was received from a gateway that is no neighbour now."""
        self._loads.forget(address)
        self._failures.forget(address)
        self._demand.forget(address)

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
        self._directory.departures.learn(report.departures)
        self._pauses.learn(report.pauses, now)
        self._note_store_state(report.store)
        return self._demand.update_remote(child, report.demand, expires_at)

    def merge_update(
        self,
        update: ParentUpdate,
        parent: str,
        now: float,
        expires_at: float,
    ) -> None:
        """Merge a parent's update, except for its placement rows."""
        self._directory.departures.learn(update.departures)
        self._pauses.learn(update.pauses, now)
        self._note_store_state(update.store)
        if update.loads is not None:
            self._loads.update_remote(parent, update.loads, expires_at)
            self._failures.update_remote(parent, update.outcomes, expires_at)
        if _lists_more(update.delta.rows, self._directory):
            self._directory.freshness.request_read()

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
