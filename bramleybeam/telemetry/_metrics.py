"""Prometheus metrics of a process."""

from collections.abc import Mapping
from typing import Final

from aioprometheus import Counter, Gauge, Histogram, Registry, render

# Upper bounds of the histogram buckets.
LATENCY_BUCKETS_S: Final = (
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.36, 0.5, 1.0, 2.0, 5.0, 15.0, 60.0,
)  # fmt: skip
TOKEN_GAP_BUCKETS_S: Final = (
    0.002, 0.005, 0.01, 0.02, 0.028, 0.04, 0.08, 0.16, 0.5, 2.0,
)  # fmt: skip


class Metrics:
    """Counters, gauges and histograms in one registry.

    Each role has its own instance, so that several roles that share a Python
    process in the demo have separate metrics.
    """

    def __init__(self, role: str) -> None:
        """Create the registry and its metrics, with the label ``role``."""
        self.registry = Registry()
        labels = {'role': role}
        self.requests = Counter(
            'bramleybeam_requests_total',
            'Requests by class and outcome.',
            const_labels=labels,
            registry=self.registry,
        )
        self.frames = Counter(
            'bramleybeam_frames_dropped_total',
            'Frames that matched no attempt and were dropped.',
            const_labels=labels,
            registry=self.registry,
        )
        self.links = Gauge(
            'bramleybeam_links',
            'Open connections to other processes of the system.',
            const_labels=labels,
            registry=self.registry,
        )
        self.revision = Gauge(
            'bramleybeam_config_revision',
            'Revision of the configuration in force.',
            const_labels=labels,
            registry=self.registry,
        )
        self.moves = Counter(
            'bramleybeam_moves_total',
            'Loads, unloads and shifts of models and adapters.',
            const_labels=labels,
            registry=self.registry,
        )
        self.held = Gauge(
            'bramleybeam_held_bytes',
            'Bytes held for callers, by what they are held for.',
            const_labels=labels,
            registry=self.registry,
        )
        self.closed = Counter(
            'bramleybeam_callers_closed_total',
            'Connections of callers closed by the byte budget, by reason.',
            const_labels=labels,
            registry=self.registry,
        )
        self.first_token = Histogram(
            'bramleybeam_first_token_seconds',
            'Time from request to first token.',
            const_labels=labels,
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.token_gap = Histogram(
            'bramleybeam_token_gap_seconds',
            'Mean time between the tokens of an answer.',
            const_labels=labels,
            registry=self.registry,
            buckets=TOKEN_GAP_BUCKETS_S,
        )

    def set_state(
        self,
        *,
        links: int,
        revision: int,
        moves: int = 0,
        dropped_frames: int = 0,
    ) -> None:
        """Set the metrics that are read from the process at each scrape.

        ``moves`` and ``dropped_frames`` are totals since the start.
        """
        self.links.set({}, links)
        self.revision.set({}, revision)
        self.moves.set({}, moves)
        self.frames.set({}, dropped_frames)

    def show_held(
        self, held: Mapping[str, int], closed: Mapping[str, int]
    ) -> None:
        """Set the bytes held by kind, and the closed connections by reason."""
        for kind, size in held.items():
            self.held.set({'kind': kind}, size)
        for reason, count in closed.items():
            self.closed.set({'reason': reason}, count)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        content, _headers = render(self.registry, ['text/plain'])
        return bytes(content)
