"""Counters, gauges and latency histograms of a gateway, for Prometheus."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from bramleybeam.catalog import RoutingConfiguration
from bramleybeam.gateway._cluster_state import ClusterState
from bramleybeam.gateway._job import Job
from bramleybeam.gateway._lateness import find_lateness
from bramleybeam.relay import CallerBudget

# Path at which the metrics are served.
METRICS_PATH: Final = '/metrics'
# Upper bounds of the buckets, in seconds.
_LATENCY_BUCKETS_S: Final = (
    0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0, 16.0,
)  # fmt: skip


# Age that stands for none, since gauges have no infinite value.
_MAX_AGE_S: Final = 1e9


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
        self.read_quotas: Callable[[], dict[str, dict[str, float]]] = dict
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
        self._held = Gauge(
            'bramleybeam_gateway_held_bytes',
            'Bytes held for callers, by what they are held for.',
            registry=registry,
        )
        self._closed = Counter(
            'bramleybeam_gateway_callers_closed_total',
            'Connections of callers closed by the byte budget, by reason.',
            registry=registry,
        )
        self._callers: CallerBudget | None = None
        self._state = Gauge(
            'bramleybeam_gateway_state',
            'State by name: ages in seconds, numbers of replicas, 0 or 1.',
            registry=registry,
        )

        self._quotas = Gauge(
            'bramleybeam_gateway_quota',
            'Amounts of quotas by workspace and by what became of them.',
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

    def watch_callers(self, callers: CallerBudget) -> None:
        """Show what is held for callers, and whose connections were closed."""
        self._callers = callers

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self._read_budget()
        for name, number in self._read_state().items():
            self._state.set({'name': name}, float(number))
        for workspace, amounts in self.read_quotas().items():
            for kind, amount in amounts.items():
                labels = {'workspace': workspace, 'amount': kind}
                self._quotas.set(labels, float(amount))
        content, _headers = render(self._registry, ['text/plain'])
        return bytes(content)

    def _read_budget(self) -> None:
        if self._callers is None:
            return
        for kind, size in self._callers.budget.sum_held().items():
            self._held.set({'kind': kind}, float(size))
        self._held.set({'kind': 'limit'}, self._callers.budget.limit_bytes)
        for reason, count in self._callers.closed.items():
            self._closed.set({'reason': reason}, count)

    def _read_state(self) -> dict[str, float]:
        directory = self._directory
        requested = self._pauses.list_requested(directory.now())
        configuration = directory.configuration
        return {
            'store_age_s': directory.freshness.age_s or 0,
            'planner_age_s': min(directory.placement.age_s, _MAX_AGE_S),
            'is_planner': self._is_planner(),
            'is_ready': directory.is_ready
            and not directory.freshness.is_behind,
            'configuration_version': (
                configuration.version if configuration else 0
            ),
            'replicas': len(directory.replicas),
            'replicas_leaving': len(directory.departures.list_recent()),
            'replicas_paused': len(requested),
            'longest_pause_s': max(requested.values(), default=0),
            'gateways': len(directory.peers),
            'workspaces': _count_workspaces(configuration),
            'keys_current': directory.keys.is_current,
            'key_age_s': min(directory.keys.age_s, _MAX_AGE_S),
            'suspects_quarantined': self._suspects.count_quarantined(),
        }


def _count_workspaces(configuration: RoutingConfiguration | None) -> int:
    if configuration is None or configuration.workspaces is None:
        return 0
    return len(configuration.workspaces.by_name)
