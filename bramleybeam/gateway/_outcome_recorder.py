"""Records in the shared tables how attempts at replicas ended."""

from http import HTTPStatus

from bramleybeam.catalog import Replica
from bramleybeam.gateway import _outcomes as outcomes
from bramleybeam.gateway._choose import Chooser
from bramleybeam.gateway._cluster_state import ClusterState
from bramleybeam.gateway._crash_detector import CrashDetector
from bramleybeam.gateway._job import Job
from bramleybeam.gateway._work import learn_from_answer


class OutcomeRecorder:
    """Updates what later choices of a replica are based on."""

    def __init__(
        self,
        cluster_state: ClusterState,
        chooser: Chooser,
        crashes: CrashDetector,
    ) -> None:
        """Store the tables and the chooser that learns of missing targets."""
        self._directory = cluster_state.directory
        self._demand = cluster_state.demand
        self._costs = cluster_state.costs
        self._failures = cluster_state.failures
        self._suspects = cluster_state.suspects
        self._crashes = crashes
        self._chooser = chooser

    def note(
        self, job: Job, replica: Replica, outcome: outcomes.Outcome
    ) -> None:
        """Record the outcome of an attempt.

        A replica on which it failed is tried again only if there is no other.
        """
        job.is_trial = False
        if isinstance(outcome, outcomes.Delivered):
            self._note_delivered(job, replica, outcome)
            return
        job.excluded_replicas.add(replica.name)
        match outcome:
            case outcomes.NotArrived(is_unreachable=True):
                self._directory.reachability.note_unreachable(replica.name)
            case outcomes.Lost(is_broken_off=is_broken_off):
                self._note_run(replica, has_failed=True)
                if is_broken_off:
                    self._crashes.note_lost(job, replica)
            case outcomes.FailedReply(status=status):
                # At the deadline of its caller, a sound replica fails too.
                if status != HTTPStatus.GATEWAY_TIMEOUT:
                    self._note_run(replica, has_failed=True)
            case outcomes.NotRun(is_missing=True):
                self._chooser.note_missing(replica, job)

    def _note_delivered(
        self, job: Job, replica: Replica, outcome: outcomes.Delivered
    ) -> None:
        if HTTPStatus.OK <= outcome.status < HTTPStatus.MULTIPLE_CHOICES:
            self._suspects.note_sound(job)
        learn_from_answer(self._costs, job, self._directory.now())
        self._note_run(replica, has_failed=False)
        self._directory.reachability.note_reachable(replica.name)
        self._demand.pending.note_served(job.target, self._directory.now())

    def _note_run(self, replica: Replica, *, has_failed: bool) -> None:
        now = self._directory.now()
        self._failures.note(replica.name, now, has_failed=has_failed)
