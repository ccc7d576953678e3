"""What this entry knows of each upstream."""

import asyncio
import time
from collections.abc import Iterator
from typing import Final

import attrs

from bramleybeam.decisions import READY, Candidate
from bramleybeam.documents import ConfigurationKeeper
from bramleybeam.links import Link
from bramleybeam.messages import ArtifactState, Load, Report

_SMOOTHING: Final = 0.1


@attrs.define(eq=False)
class UpstreamView:
    """An upstream by its last report and this entry's own requests."""

    name: str
    zone: str
    link: Link | None = None
    report: Report | None = None
    received_at: float = 0
    own: int = 0
    own_at_report: int = 0
    listed_leaving: bool = False
    held_off_until: float = 0
    service_s: float = 0

    @property
    def is_open(self) -> bool:
        """Whether requests can reach it and it is healthy."""
        link_open = self.link is not None and self.link.is_open
        return link_open and self.report is not None and self.report.healthy

    @property
    def artifacts(self) -> tuple[ArtifactState, ...]:
        """Models and adapters there, by the last report."""
        return self.report.artifacts if self.report else ()

    def serves(self, service: str) -> bool:
        """Whether it is a replica of a plain service."""
        if self.report is None or self.report.kind != 'service':
            return False
        return self.report.pool == service

    @property
    def leaving(self) -> bool:
        """Whether any sign says that it takes no new work."""
        said_by_agent = self.link is not None and self.link.leaving
        reported = self.report is not None and self.report.leaving
        return self.listed_leaving or said_by_agent or reported

    def note_service(self, elapsed: float) -> None:
        """Take in how long a whole request took there, in seconds."""
        known = self.service_s or elapsed
        self.service_s = known + _SMOOTHING * (elapsed - known)

    @property
    def in_flight(self) -> int:
        """Own requests plus others' by the last report."""
        if self.report is None:
            return self.own
        others = max(0, self.report.in_flight - self.own_at_report)
        return self.own + others

    def state_of(self, name: str) -> str:
        """State of a model or adapter there; empty when it is not there."""
        for artifact in self.artifacts:
            if artifact.name == name:
                return artifact.state
        return ''


class Directory:
    """All upstreams that this entry has heard of."""

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
        """Return the view of an upstream, making it on first use."""
        view = self._views.get(name)
        if view is None:
            view = UpstreamView(name, zone)
            self._views[name] = view
        return view

    def take_report(self, link: Link, report: Report) -> None:
        """Take in a report of the agent at the other end of a link."""
        view = self.view(report.upstream, report.zone)
        view.zone = report.zone
        view.link = link
        view.report = report
        view.received_at = time.monotonic()
        view.own_at_report = view.own
        self.signal()

    def take_load(self, link: Link, load: Load) -> None:
        """Take in the load of the upstream at the other end of a link."""
        for view in self._views.values():
            if view.link is link and view.report is not None:
                view.report = attrs.evolve(
                    view.report,
                    in_flight=load.in_flight,
                    step_s=load.step_s,
                    first_token_s=load.first_token_s,
                    running=load.running,
                )
                view.received_at = time.monotonic()
                view.own_at_report = view.own
                self.signal()

    def lose_link(self, link: Link) -> None:
        """Take requests away from an upstream that cannot be reached."""
        for view in self._views.values():
            if view.link is link:
                view.link = None

    def signal(self) -> None:
        """Wake those who wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout: float) -> None:
        """Wait for the next report, at most ``timeout`` seconds."""
        try:
            async with asyncio.timeout(timeout):
                await self._changed.wait()
        except TimeoutError:
            return

    def is_usable(self, view: UpstreamView) -> bool:
        """Whether new work may be given to an upstream."""
        document = self._keeper.document
        drained = document.drained if document else ()
        return view.is_open and not view.leaving and view.name not in drained

    def candidates(self, base_model: str, target: str) -> list[Candidate]:
        """Return the usable upstreams that hold a model."""
        now = time.monotonic()
        return [
            self._candidate(view, target)
            for view in self._views.values()
            if self.is_usable(view)
            and now >= view.held_off_until
            and view.state_of(base_model) == READY
        ]

    def service_candidates(self, service: str) -> list[Candidate]:
        """Return the usable replicas of a plain service."""
        now = time.monotonic()
        return [
            self._candidate(view, '')
            for view in self._views.values()
            if self.is_usable(view)
            and now >= view.held_off_until
            and view.serves(service)
        ]

    def ready_models(self) -> frozenset[str]:
        """Return the models that have a ready copy somewhere."""
        return frozenset(
            artifact.name
            for view in self._views.values()
            if self.is_usable(view)
            for artifact in view.artifacts
            if artifact.state == READY
        )

    def _candidate(self, view: UpstreamView, target: str) -> Candidate:
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
