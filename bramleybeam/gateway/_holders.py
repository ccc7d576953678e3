"""Finds the replicas to which a request could be sent."""

from collections.abc import Sequence
from typing import Final

from bramleybeam.catalog import Replica
from bramleybeam.gateway._cluster_state import ClusterState
from bramleybeam.gateway._job import Job
from bramleybeam.gateway._pending_demand import PendingTarget
from bramleybeam.orders import PinnedTarget, Target

# Time for which a replica is not asked again for a target that it refused
# because it doesn't hold it.
_MISSING_TARGET_S: Final = 1.0


class HolderFinder:
    """Finds the replicas that hold the target of a request."""

    def __init__(self, cluster_state: ClusterState) -> None:
        """Store the tables to search."""
        self._directory = cluster_state.directory
        self._pauses = cluster_state.pauses
        self._missing_until: dict[tuple[str, Target], float] = {}

    def note_missing(
        self, replica: Replica, target: Target, now: float
    ) -> None:
        """Record that a replica refused a target that it doesn't hold."""
        self._missing_until[replica.name, target] = now + _MISSING_TARGET_S

    def list_holders(self, job: Job) -> list[Replica]:
        """Return the reachable replicas that hold the target of a request."""
        now = self._directory.now()
        is_backing_off = self._directory.reachability.is_backing_off
        return [
            replica
            for replica in self._directory.replicas_of(job.service.name)
            if job.may_go_on_at(replica)
            and self._holds(replica, job.target, now)
            and not is_backing_off(replica.name)
        ]

    def pending_target(self, job: Job) -> PendingTarget:
        """Return what a request without a holder waits for.

        A stream that goes on needs a replica of its version, if there are others.
        """
        versions = {
            replica.software_version
            for replica in self._directory.replicas_of(job.service.name)
        }
        if job.origin is None or len(versions) < 2:
            return job.target
        return PinnedTarget(*job.target, job.origin.version)

    def list_open(self, job: Job, holders: Sequence[Replica]) -> list[Replica]:
        """Return those of the holders to choose from.

        Replicas that have asked for a pause are left out. Those on which an
        attempt of this request failed, and those that have asked other gateways
        for a pause, are left out if there are others.
        """
        now = self._directory.now()
        taking = [
            holder
            for holder in holders
            if not self._pauses.remaining_s(holder.incarnation, now)
        ]
        untried = [
            holder
            for holder in taking
            if holder.name not in job.excluded_replicas
        ]
        preferred = [
            holder
            for holder in untried
            if not self._pauses.is_overloaded(holder.incarnation, now)
        ]
        return preferred or untried or taking

    def shortest_pause_s(self, holders: Sequence[Replica]) -> float:
        """Return the seconds until one of the holders takes requests.

        0 if one takes them now, or if there is no holder.
        """
        now = self._directory.now()
        return min(
            (
                self._pauses.remaining_s(holder.incarnation, now)
                for holder in holders
            ),
            default=0,
        )

    def _holds(self, replica: Replica, target: Target, now: float) -> bool:
        missing_until = self._missing_until.get((replica.name, target))
        if missing_until is not None:
            if now < missing_until:
                return False
            self._missing_until.pop((replica.name, target))
        model, adapter = target
        if not model:
            return True
        replica_placement = self._directory.placement_of(replica)
        adapters = replica_placement.holdings.models.get(model)
        if adapters is None or model == replica_placement.evicting_model:
            return False
        return not adapter or adapter in adapters
