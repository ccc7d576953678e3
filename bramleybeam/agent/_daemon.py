"""The agent process: construction, start and shutdown of its parts."""

import asyncio
import time
from typing import Final

import structlog

from bramleybeam.agent._adapters import AdapterCache
from bramleybeam.agent._attempt_receiver import AttemptReceiver
from bramleybeam.agent._crashes import CrashDetector
from bramleybeam.agent._health import make_health_app
from bramleybeam.agent._orders import OrderExecutor
from bramleybeam.agent._relays import RelayRegistry
from bramleybeam.agent._reporter import (
    LOAD_PERIOD_S,
    MAX_IN_FLIGHT,
    REPORT_PERIOD_S,
    Reporter,
)
from bramleybeam.agent._runner import AttemptRunner
from bramleybeam.agent._upstream import UpstreamClient
from bramleybeam.documents import Applied, ConfigurationKeeper
from bramleybeam.gossip import ConfigurationGossip
from bramleybeam.identity import make_identity
from bramleybeam.links import Link, LinkServer
from bramleybeam.settings import AgentSettings
from bramleybeam.telemetry import Metrics, Tracing
from bramleybeam.timers import TimerService
from bramleybeam.trust import KEY_CHECK_PERIOD_S, TrustStore
from bramleybeam.web import HttpServer

OBSERVE_PERIOD_S: Final = 0.25
# Time between two checks, during shutdown, whether requests are still running,
# and the pause before all connections are closed.
_DRAIN_POLL_S: Final = 0.05
_log = structlog.get_logger('agent')


class AgentDaemon:
    """The agent of one upstream; no other process calls that upstream."""

    def __init__(
        self,
        settings: AgentSettings,
        max_in_flight: int = MAX_IN_FLIGHT,
    ) -> None:
        """Create the parts; ``start`` opens the ports."""
        self.settings = settings
        self.keeper = ConfigurationKeeper()
        self.identity = make_identity(
            settings.name,
            'agent',
            settings.zone,
            settings.peer_key,
        )
        self.metrics = Metrics('agent')
        self.relays = RelayRegistry()
        self._tracing = Tracing(settings.name, settings.tracing)
        self._timers = TimerService()
        self._upstream = UpstreamClient(settings.upstream_url)
        self._reporter = Reporter(
            settings.upstream,
            self.identity,
            self.keeper,
            self.relays,
            self._list_links,
            max_in_flight,
        )
        self.executor = OrderExecutor(
            self._upstream,
            self.relays.is_in_use,
            self._reporter.schedule_report,
        )
        self._receiver = AttemptReceiver(
            self.identity, self.relays, self._reporter
        )
        self._connect_parts()
        self._trust = TrustStore(settings.tls)
        self._server = LinkServer(
            settings.listen,
            self.identity,
            self._receiver,
            self._trust.make_server_context(),
        )
        self._web = HttpServer(make_health_app(self), settings.operator_listen)

    @property
    def address(self) -> str:
        """Address ``IP:PORT`` that entries connect to."""
        return self._server.address

    @property
    def operator_url(self) -> str:
        """URL of the health checks and the metrics."""
        return self._web.url

    @property
    def links(self) -> tuple[Link, ...]:
        """Open links from entries."""
        return tuple(self._receiver.links)

    @property
    def is_service(self) -> bool:
        """Whether the upstream is declared as a service, not an engine."""
        document = self.keeper.document
        if document is None:
            return False
        declared_upstream = document.upstreams_by_name.get(
            self.settings.upstream
        )
        return (
            declared_upstream is not None
            and declared_upstream.kind == 'service'
        )

    @property
    def leaving(self) -> bool:
        """Whether this agent is shutting down and refuses new requests."""
        return self.identity.leaving

    async def start(self) -> None:
        """Open the ports and start the periodic tasks."""
        await self._server.start()
        await self._web.start()
        timers = self._timers
        timers.subscribe('observe', OBSERVE_PERIOD_S, self._observe)
        timers.subscribe('report', REPORT_PERIOD_S, self._reporter.report)
        timers.subscribe('load', LOAD_PERIOD_S, self._reporter.report_load)
        timers.subscribe('keys', KEY_CHECK_PERIOD_S, self._trust.refresh)
        timers.subscribe('sweep', LOAD_PERIOD_S, self._receiver.sweep)
        _log.info(
            'agent_started',
            address=self.address,
            operators=self.operator_url,
        )

    async def shut_down(self) -> None:
        """Refuse new requests, wait for the running ones, then close.

        The wait ends after ``shutdown_s`` seconds of the settings.
        """
        self.identity.leaving = True
        for link in self._receiver.links:
            link.send_heartbeat()
        self._reporter.schedule_report()
        deadline = time.monotonic() + self.settings.shutdown_s
        while self.relays.unfinished and time.monotonic() < deadline:
            await asyncio.sleep(_DRAIN_POLL_S)
        await asyncio.sleep(_DRAIN_POLL_S)
        await self.close()

    async def close(self) -> None:
        """Close immediately, without waiting for running requests."""
        await self._timers.close()
        await self._receiver.close()
        await self.executor.close()
        self._upstream.close()
        await self._server.close()
        await self._web.close()
        self._tracing.close()

    def _connect_parts(self) -> None:
        """Create the parts that need one another, and subscribe to changes."""
        runner = AttemptRunner(
            self._upstream,
            self.executor,
            AdapterCache(self.executor, self.identity.incarnation),
            self.keeper,
            self._tracing,
            CrashDetector(
                self.identity.incarnation,
                self.executor,
                self.relays,
                self._list_links,
            ),
        )
        self._reporter.executor = self.executor
        self._reporter.latency = runner.latency
        gossip = ConfigurationGossip(
            self.keeper,
            self.identity,
            self._list_links,
        )
        self._receiver.connect(runner, self.executor, gossip)
        self.keeper.subscribe(self._on_configuration_changed)

    def _list_links(self) -> tuple[Link, ...]:
        return self.links

    def _on_configuration_changed(self, applied: Applied) -> None:
        declared_upstream = applied.document.upstreams_by_name.get(
            self.settings.upstream
        )
        if declared_upstream is not None:
            self.executor.limit_memory(declared_upstream.accelerator_mb)
        self._reporter.schedule_report()

    async def _observe(self) -> None:
        if self.is_service:
            healthy = await self._upstream.is_healthy()
            self.executor.note_health(healthy=healthy)
        else:
            await self.executor.observe()
