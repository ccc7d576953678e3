"""The entry process: builds, starts and stops its parts."""

import asyncio
import random
import time
from typing import Final

import structlog

from bramleybeam.claims import ClaimRouter
from bramleybeam.decisions import Policy
from bramleybeam.documents import ConfigurationKeeper
from bramleybeam.entry._caller_http import make_caller_app
from bramleybeam.entry._chooser import UpstreamChooser
from bramleybeam.entry._configuration import ConfigurationWatcher
from bramleybeam.entry._connections import REFRESH_PERIOD_S, Connections
from bramleybeam.entry._directory import Directory
from bramleybeam.entry._dispatcher import Dispatcher
from bramleybeam.entry._duplicates import DuplicateFilter
from bramleybeam.entry._filters import (
    AdmissionFilter,
    CallerAuthenticator,
    RequestClassifier,
)
from bramleybeam.entry._host_list import HostList
from bramleybeam.entry._hourly_report import (
    HOURLY_REPORT_PERIOD_S,
    HourlyReport,
)
from bramleybeam.entry._memory_limits import make_caller_limits
from bramleybeam.entry._operator_http import make_operator_app
from bramleybeam.entry._pipeline import Pipeline
from bramleybeam.entry._planner import LEASE_PERIOD_S, PLAN_PERIOD_S, Planner
from bramleybeam.entry._quarantine import Quarantine
from bramleybeam.entry._statistics import RequestStatistics
from bramleybeam.gossip import ConfigurationGossip
from bramleybeam.identity import make_identity
from bramleybeam.keyvalue.http import HttpKeyValue
from bramleybeam.links import Call, Link, LinkServer, Reply
from bramleybeam.messages import Topic
from bramleybeam.settings import EntrySettings
from bramleybeam.telemetry import Metrics, Tracing
from bramleybeam.timers import TaskSet, TimerService
from bramleybeam.trust import KEY_CHECK_PERIOD_S, TrustStore
from bramleybeam.web import HttpServer

_DRAIN_POLL_S: Final = 0.05
_log = structlog.get_logger('entry')


class EntryDaemon:
    """Serves callers' requests and may also plan shards."""

    def __init__(
        self,
        settings: EntrySettings,
        policy: Policy | None = None,
    ) -> None:
        """Build the parts; ``start`` opens the ports.

        ``policy`` replaces the default policy in benchmarks, which compare it
        with simpler ones.
        """
        self.settings = settings
        rng = random.Random(settings.seed or None)  # noqa: S311
        self.keeper = ConfigurationKeeper()
        self.identity = make_identity(
            settings.name,
            'entry',
            settings.zone,
            settings.peer_key,
        )
        self.metrics = Metrics('entry')
        self.tracing = Tracing(settings.name, settings.tracing)
        self.timers = TimerService(rng)
        self.store = HttpKeyValue(settings.keyvalue_url)
        self.hosts = HostList(settings.hosts_url)
        self._trust = TrustStore(settings.tls)
        self._caller_trust = TrustStore(settings.caller_tls)
        self.directory = Directory(settings.zone, self.keeper)
        self.connections = Connections(
            self.identity,
            self.directory,
            self.hosts,
            self._trust.make_client_context(),
        )
        gossip = ConfigurationGossip(
            self.keeper,
            self.identity,
            lambda: self.connections.links,
        )
        self.connections.on_notice = gossip.handle_notice
        self.connections.on_heartbeat = gossip.compare_revisions
        self.connections.on_opened = gossip.compare_revisions
        self.planner = Planner(
            self.store,
            self.identity,
            self.keeper,
            self.directory,
            self.hosts,
        )
        self.statistics = RequestStatistics(self.metrics)
        self._hourly_report = HourlyReport(
            self.identity.incarnation,
            self.store,
            self.keeper,
            self.statistics,
            self.planner,
        )
        self.quarantine = Quarantine(self.connections)
        self.connections.on_crash = self.quarantine.handle_notice
        self.dispatcher = Dispatcher(
            self.directory,
            self.connections,
            self.quarantine,
            UpstreamChooser(self.directory, rng, policy),
            rng,
        )
        self.admission = AdmissionFilter()
        self.claims = ClaimRouter(
            self.store,
            settings.name,
            self.hosts.live_entries,
            self._call_committer,
        )
        self._duplicates = DuplicateFilter(self.claims)
        self._tasks = TaskSet()
        self.connections.on_call = self._answer_call
        self.pipeline = Pipeline(
            (
                CallerAuthenticator(settings.caller_keys),
                RequestClassifier(self.keeper),
                self.admission,
                self.quarantine,
                self._duplicates,
            ),
            self.dispatcher,
            self._duplicates,
            self.statistics,
            self.tracing,
        )
        self._server = LinkServer(
            settings.peer_listen,
            self.identity,
            self.connections,
            self._trust.make_server_context(),
        )
        self.caller_limits = make_caller_limits(settings)
        self._caller_web = HttpServer(
            make_caller_app(self),
            settings.listen,
            self._caller_trust.make_server_context(),
            self.caller_limits,
        )
        self._operator_web = HttpServer(
            make_operator_app(self),
            settings.operator_listen,
        )
        self._watch_task: asyncio.Task[None] | None = None

    @property
    def url(self) -> str:
        """URL for callers."""
        return self._caller_web.url

    @property
    def operator_url(self) -> str:
        """URL for operators."""
        return self._operator_web.url

    @property
    def address(self) -> str:
        """Address at which other processes of the system connect."""
        return self._server.address

    @property
    def is_ready(self) -> bool:
        """Whether the entry is configured and not shutting down."""
        return self.keeper.revision > 0 and not self.identity.leaving

    async def start(self) -> None:
        """Open the ports, watch the configuration and start the timers."""
        await self._server.start()
        self._watch_task = asyncio.create_task(
            ConfigurationWatcher(self.keeper, self.store).watch(),
        )
        await self.connections.refresh()
        self.timers.subscribe(
            'hosts', REFRESH_PERIOD_S, self.connections.refresh
        )
        self.timers.subscribe(
            'leases', LEASE_PERIOD_S, self.planner.renew_leases
        )
        self.timers.subscribe('plan', PLAN_PERIOD_S, self.planner.plan)
        self.timers.subscribe(
            'journal', HOURLY_REPORT_PERIOD_S, self._hourly_report.write
        )
        self.timers.subscribe('keys', KEY_CHECK_PERIOD_S, self._trust.refresh)
        self.timers.subscribe(
            'keys', KEY_CHECK_PERIOD_S, self._caller_trust.refresh
        )
        await self._caller_web.start()
        await self._operator_web.start()
        _log.info(
            'entry_started',
            callers=self.url,
            operators=self.operator_url,
            address=self.address,
        )

    async def shut_down(self) -> None:
        """Shut down gracefully within the configured time.

        Reports as not ready first and keeps serving while the balancer
        notices. Then refuses new requests, waits for those in flight, writes
        the hourly report and closes.
        """
        deadline_at = time.monotonic() + self.settings.shutdown_s
        self.identity.leaving = True
        await self.planner.release()
        await asyncio.sleep(self.settings.readiness_lead_s)
        self.admission.is_closed = True
        while self.pipeline.in_flight and time.monotonic() < deadline_at:
            await asyncio.sleep(_DRAIN_POLL_S)
        await self._hourly_report.write()
        await self.close()

    async def close(self) -> None:
        """Close all parts without waiting for requests in flight."""
        await self.timers.close()
        if self._watch_task is not None:
            self._watch_task.cancel()
        await self._caller_web.close(grace=1)
        await self._operator_web.close()
        await self._close_parts()

    async def _close_parts(self) -> None:
        await self.connections.close()
        await self._server.close()
        await self._tasks.close()
        await self._duplicates.close()
        await self.claims.close()
        await self.store.close()
        await self.hosts.close()
        self.tracing.close()

    async def _call_committer(self, process: str, body: bytes) -> Reply:
        return await self.connections.call(process, Topic.CLAIM, body)

    def _answer_call(self, link: Link, call: Call) -> None:
        if call.topic == Topic.CLAIM:
            coroutine = self.claims.answer(link, call.call_id, call.body)
            self._tasks.spawn(coroutine)
            return
        reason = f'unknown topic {call.topic}; upgrade the entry'
        link.send(Reply(call.call_id, ok=False, body=reason.encode()))
