"""Counters, gauges and latency histograms of a gateway, for Prometheus."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from bramleybeam.gateway._cluster_state import ClusterState
from bramleybeam.gateway._job import Job
from bramleybeam.gateway._lateness import find_lateness

# Path at which the metrics are served.
METRICS_PATH: Final = '/metrics'
# Upper bounds of the buckets, in seconds.
_LATENCY_BUCKETS_S: Final = (
    0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0, 16.0,
)  # fmt: skip


class GatewayMetrics:
    """The metrics of one gateway.

    Gauges are read from the shared tables when the metrics are rendered.
    """

    def __init__(
        self, cluster_state: ClusterState, is_planner: Callable[[], bool]
    ) -> None:
        """Create the metrics; ``is_planner`` returns whether this is one."""
        self._directory = cluster_state.directory
        self._pauses = cluster_state.pauses
        self._suspects = cluster_state.suspects
        self._is_planner = is_planner
        registry = Registry()
        self._registry = registry
        self._requests = Counter(
            'bramleybeam_gateway_requests_total',
            'Requests by route and by status or kind of refusal.',
            registry=registry,
        )
        self._attempts = Counter(
            'bramleybeam_gateway_attempts_total',
            'Attempts at replicas by service and outcome.',
            registry=registry,
        )
        self._first_event = Histogram(
            'bramleybeam_gateway_first_event_seconds',
            'Time from a request to the first event or the whole answer.',
            registry=registry,
            buckets=_LATENCY_BUCKETS_S,
        )
        self._lateness = Counter(
            'bramleybeam_gateway_lateness_total',
            'Answers by route and by where late ones lost most of their time.',
            registry=registry,
        )
        self._store_calls = Counter(
            'bramleybeam_gateway_store_calls_total',
            'Calls to the store by result.',
            registry=registry,
        )
        self._state = Gauge(
            'bramleybeam_gateway_state',
            'State by name: ages in seconds, numbers of replicas, 0 or 1.',
            registry=registry,
        )

    def note_answered(self, job: Job, status: int, now: float) -> None:
        """Count an answer of a replica that was delivered at ``now``."""
        route = {'route': job.route.name}
        self._requests.inc({**route, 'outcome': str(status)})
        first_at = job.first_event_at or now
        self._first_event.observe(route, first_at - job.received_at)
        if status < HTTPStatus.INTERNAL_SERVER_ERROR:
            lateness = find_lateness(job, now)
            self._lateness.inc({**route, 'lateness': str(lateness)})

    def note_refused(self, route: str, kind: str) -> None:
        """Count a request that this gateway refused."""
        self._requests.inc({'route': route, 'outcome': kind})

    def note_attempt(self, service: str, outcome: str) -> None:
        """Count an attempt at a replica of a service."""
        self._attempts.inc({'service': service, 'outcome': outcome})

    def note_store_call(self, *, answered: bool) -> None:
        """Count a call to the store."""
        outcome = 'answered' if answered else 'failed'
        self._store_calls.inc({'outcome': outcome})

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        for name, number in self._read_state().items():
            self._state.set({'name': name}, float(number))
        content, _headers = render(self._registry, ['text/plain'])
        return bytes(content)

    def _read_state(self) -> dict[str, float]:
        directory = self._directory
        requested = self._pauses.list_requested(directory.now())
        configuration = directory.configuration
        return {
            'store_age_s': directory.freshness.age_s or 0,
            'planner_age_s': min(directory.placement.age_s, 1e9),
            'is_planner': self._is_planner(),
            'is_ready': directory.is_ready and not directory.is_lagging,
            'configuration_version': (
                configuration.version if configuration else 0
            ),
            'replicas': len(directory.replicas),
            'replicas_leaving': len(directory.departures.list_recent()),
            'replicas_paused': len(requested),
            'longest_pause_s': max(requested.values(), default=0),
            'gateways': len(directory.peers),
            'suspects_quarantined': self._suspects.count_quarantined(),
        }
