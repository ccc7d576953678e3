"""The state of each upstream as this entry sees it."""

import asyncio
import time
from collections.abc import Iterator
from typing import Final

import attrs

from bramleybeam.decisions import READY, Candidate
from bramleybeam.documents import ConfigurationKeeper
from bramleybeam.links import Link
from bramleybeam.messages import ArtifactState, Load, Report

# Weight of the newest request in the moving average of service times.
_SERVICE_TIME_SMOOTHING: Final = 0.1


@attrs.define(eq=False)
class UpstreamView:
    """An upstream: its last report and this entry's requests to it.

    Times are monotonic, in seconds. ``local_in_flight`` counts the requests
    of this entry, ``local_at_report`` how many there were when the last
    report arrived. ``service_s`` is the moving average of the seconds that a
    complete request takes; 0 before the first.
    """

    name: str
    zone: str
    link: Link | None = None
    report: Report | None = None
    reported_at: float = 0
    local_in_flight: int = 0
    local_at_report: int = 0
    listed_leaving: bool = False
    backoff_until: float = 0
    service_s: float = 0

    @property
    def is_available(self) -> bool:
        """Whether it is connected and its last report is healthy."""
        is_connected = self.link is not None and self.link.is_open
        return is_connected and self.report is not None and self.report.healthy

    @property
    def artifacts(self) -> tuple[ArtifactState, ...]:
        """Models and adapters that its last report lists."""
        return self.report.artifacts if self.report else ()

    def serves(self, service: str) -> bool:
        """Whether it is a replica of the named plain service."""
        if self.report is None or self.report.kind != 'service':
            return False
        return self.report.pool == service

    @property
    def leaving(self) -> bool:
        """Whether it accepts no new requests.

        The platform's list, the agent's heartbeat or the last report may say
        so.
        """
        announced = self.link is not None and self.link.leaving
        reported = self.report is not None and self.report.leaving
        return self.listed_leaving or announced or reported

    def note_service_time(self, elapsed_s: float) -> None:
        """Update the moving average with the duration of a request."""
        previous = self.service_s or elapsed_s
        self.service_s = previous + _SERVICE_TIME_SMOOTHING * (
            elapsed_s - previous
        )

    @property
    def in_flight(self) -> int:
        """Number of local requests plus those of others by the last report."""
        if self.report is None:
            return self.local_in_flight
        remote = max(0, self.report.in_flight - self.local_at_report)
        return self.local_in_flight + remote

    def state_of(self, name: str) -> str:
        """Return the state of a model or adapter; empty if it is not held."""
        for artifact in self.artifacts:
            if artifact.name == name:
                return artifact.state
        return ''


class Directory:
    """All upstreams that are listed by the platform or sent a report."""

    def __init__(self, zone: str, keeper: ConfigurationKeeper) -> None:
        """Store this entry's zone and the configuration."""
        self._zone = zone
        self._keeper = keeper
        self._views: dict[str, UpstreamView] = {}
        self._changed = asyncio.Event()

    def __iter__(self) -> Iterator[UpstreamView]:
        """Iterate over the views."""
        return iter(tuple(self._views.values()))

    def view(self, name: str, zone: str = '') -> UpstreamView:
        """Return the view of an upstream, creating it on first use."""
        view = self._views.get(name)
        if view is None:
            view = UpstreamView(name, zone)
            self._views[name] = view
        return view

    def update_from_report(self, link: Link, report: Report) -> None:
        """Update an upstream from the report that its agent sent on a link."""
        view = self.view(report.upstream, report.zone)
        view.zone = report.zone
        view.link = link
        view.report = report
        view.reported_at = time.monotonic()
        view.local_at_report = view.local_in_flight
        self.notify_change()

    def update_from_load(self, link: Link, load: Load) -> None:
        """Update the load of the upstream whose agent sent it on a link."""
        for view in self._views.values():
            if view.link is link and view.report is not None:
                view.report = attrs.evolve(
                    view.report,
                    in_flight=load.in_flight,
                    step_s=load.step_s,
                    first_token_s=load.first_token_s,
                    running=load.running,
                )
                view.reported_at = time.monotonic()
                view.local_at_report = view.local_in_flight
                self.notify_change()

    def detach_link(self, link: Link) -> None:
        """Mark upstreams reached over a lost link as disconnected."""
        for view in self._views.values():
            if view.link is link:
                view.link = None

    def notify_change(self) -> None:
        """Wake all tasks in ``wait_for_change``."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait for the next change, for at most ``timeout_s`` seconds."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def is_usable(self, view: UpstreamView) -> bool:
        """Whether an upstream may be sent new requests."""
        document = self._keeper.document
        drained = document.drained if document else ()
        return (
            view.is_available and not view.leaving and view.name not in drained
        )

    def candidates(self, base_model: str, target: str) -> list[Candidate]:
        """Return the usable upstreams on which a model is ready.

        ``target`` is the model or the adapter that the request names.
        """
        now = time.monotonic()
        return [
            self._make_candidate(view, target)
            for view in self._views.values()
            if self.is_usable(view)
            and now >= view.backoff_until
            and view.state_of(base_model) == READY
        ]

    def service_candidates(self, service: str) -> list[Candidate]:
        """Return the usable replicas of a plain service."""
        now = time.monotonic()
        return [
            self._make_candidate(view, '')
            for view in self._views.values()
            if self.is_usable(view)
            and now >= view.backoff_until
            and view.serves(service)
        ]

    def ready_models(self) -> frozenset[str]:
        """Return the models and adapters ready on any usable upstream."""
        return frozenset(
            artifact.name
            for view in self._views.values()
            if self.is_usable(view)
            for artifact in view.artifacts
            if artifact.state == READY
        )

    def _make_candidate(self, view: UpstreamView, target: str) -> Candidate:
        report = view.report
        if report is None:
            raise RuntimeError('only reported upstreams are candidates')
        return Candidate(
            name=view.name,
            in_flight=view.in_flight,
            limit=report.limit,
            adapter_ready=not target or view.state_of(target) == READY,
            zone_distance=int(view.zone != self._zone),
            step_s=report.step_s,
            first_token_s=report.first_token_s,
            service_s=view.service_s,
            reported=report.in_flight,
        )
