"""What a gateway learns about a replica while a request is sent to it."""

from typing import Final

import attrs
import structlog

from bramleybeam import platform
from bramleybeam.catalog import Replica, Service
from bramleybeam.gateway._answer_watch import AnswerWatch
from bramleybeam.gateway._cluster_state import ClusterState
from bramleybeam.gateway._departures import Departure
from bramleybeam.gateway._job import Job
from bramleybeam.gateway._loads import InFlightRequest
from bramleybeam.gateway._replica_liveness import ReplicaLiveness
from bramleybeam.gateway._stream_origins import StreamOrigin
from bramleybeam.gateway._work import learn_from_answer

# Share of the connections that a replica accepts which all gateways together may
# keep idle, and the largest number of one gateway.
_IDLE_SHARE: Final = 0.5
_MAX_IDLE: Final = 8

_log = structlog.get_logger('replies')


@attrs.frozen
class ReplyObserver:
    """Updates the shared tables from one attempt at a replica.

    ``in_flight`` is the entry of the request in the load table.
    """

    cluster_state: ClusterState
    replica: Replica
    in_flight: InFlightRequest
    job: Job
    liveness: ReplicaLiveness

    def find_obstacle(self) -> str | None:
        """Return why the request may not be sent, ``None`` if it may.

        Since the replica was chosen, it may have begun to leave, the caller's key
        may have been removed, the request may have been found to crash replicas,
        and the reservation of its quota may have expired.
        """
        directory = self.cluster_state.directory
        if not directory.departures.accepts_requests(
            self.replica, is_fresh=directory.freshness.is_fresh
        ):
            return 'the replica is leaving'
        if self.cluster_state.access.find_refusal(self.job):
            return 'the key is not valid any more'
        if self.cluster_state.suspects.find_refusal(self.job):
            return 'the request is quarantined'
        charge = self.job.charge
        if charge is not None and not charge.is_valid:
            return 'the reservation of its quota has expired'
        return None

    def watch_answer(self, sent_at: float) -> AnswerWatch:
        """Return the watch of the answer to this request."""
        return AnswerWatch(self.job, self.replica, self.liveness, sent_at)

    def max_idle_connections(self, service: Service) -> int:
        """Return how many idle connections to the replica may be kept.

        Those of all gateways take only a part of what the replica accepts.
        """
        gateways = max(1, len(self.cluster_state.directory.peers))
        share = service.max_connections * _IDLE_SHARE / gateways
        return max(1, min(_MAX_IDLE, int(share)))

    def note_reply(self, facts: platform.ReplyFacts) -> None:
        """Record that the replica is leaving, or asks for a pause."""
        if facts.is_leaving:
            note_leaving(self.cluster_state, self.replica)
        if facts.is_overloaded:
            self._note_overload(facts.retry_after_s)

    def note_event(self) -> None:
        """Record that the answer has begun; repeats have no effect."""
        self._note_origin()
        now = self.cluster_state.directory.now()
        learn_from_answer(self.cluster_state.costs, self.job, now)
        self.cluster_state.loads.note_prefill_done(
            self.replica.name, self.in_flight
        )

    def _note_origin(self) -> None:
        """Record which software the stream has begun on."""
        if self.job.origin is not None:
            return
        origin = StreamOrigin(
            self.replica.service, self.replica.software_version
        )
        self.job.origin = origin
        self.cluster_state.directory.origins.note_begun(
            self.job.stream_id, origin
        )

    def _note_overload(self, retry_after_s: float | None) -> None:
        pause_s = self.cluster_state.pauses.note_refusal(
            self.replica.incarnation,
            retry_after_s,
            self.cluster_state.directory.now(),
        )
        if retry_after_s is not None:
            _log.info(
                'replica_paused',
                replica=self.replica.name,
                request=self.job.facts.request_id,
                retry_after_s=retry_after_s,
                pause_s=round(pause_s, 3),
            )


def note_leaving(cluster_state: ClusterState, replica: Replica) -> None:
    """Record that a replica has stated in a reply that it is leaving."""
    departures = cluster_state.directory.departures
    if departures.find(replica) == Departure(replica.started_ms):
        return
    _log.info('replica_states_departure', replica=replica.name)
    departures.learn({replica.name: Departure(replica.started_ms)})
