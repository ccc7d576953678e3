"""Starts the entries, agents and stand-ins of a deployment on loopback."""

import asyncio
from collections.abc import Callable
from typing import Final

import attrs

from bramleybeam.agent import MAX_IN_FLIGHT, AgentDaemon
from bramleybeam.decisions import EstimatePolicy, Policy
from bramleybeam.documents import Document, Upstream
from bramleybeam.entry import EntryDaemon
from bramleybeam.keyvalue.http import HttpKeyValue
from bramleybeam.operators import apply_document
from bramleybeam.settings import AgentSettings, EntrySettings, TlsSettings
from bramleybeam.standins import (
    EngineSettings,
    EngineStandIn,
    HostListStandIn,
    HostRecord,
    KeyValueStandIn,
    LedgerStandIn,
    WeightStoreStandIn,
    make_engine_app,
)
from bramleybeam.telemetry import TracingSettings
from bramleybeam.web import HttpServer

_DEFAULT_ENTRIES: Final = 2
_POLL_S: Final = 0.05


@attrs.frozen
class DemoOptions:
    """Options of a demo cluster.

    ``time_scale`` multiplies the durations of the stand-ins; values below 1
    make them faster. ``load_scale`` replaces it for the loading of models
    unless it is 0. ``load_scale``, ``max_batch``, ``max_in_flight`` and
    ``policy`` are meant for benchmarks and tests.
    """

    region: str = 'demo'
    zones: tuple[str, ...] = ('zone-a',)
    listen: str = '127.0.0.1:0'
    entries: int = _DEFAULT_ENTRIES
    time_scale: float = 1.0
    readiness_lead_s: float = 0.1
    load_scale: float = 0
    max_batch: int = 32
    max_in_flight: int = MAX_IN_FLIGHT
    policy: Callable[[], Policy] = EstimatePolicy
    caller_keys: tuple[str, ...] = ()
    operator_keys: tuple[str, ...] = ()
    tracing: TracingSettings = attrs.field(factory=TracingSettings)
    tls: TlsSettings = attrs.field(factory=TlsSettings)
    caller_tls: TlsSettings = attrs.field(factory=TlsSettings)


class DemoCluster:
    """Entries, agents and stand-ins of one document, in one event loop.

    Upstreams are assigned to the zones round-robin, in the order of the
    document. Processes receive nothing but their settings; the planners'
    orders load the models.
    """

    def __init__(self, document: Document, options: DemoOptions) -> None:
        """Create the stand-ins; ``start`` starts all processes."""
        self.document = document
        self.options = options
        self.keyvalue = KeyValueStandIn()
        self.hosts = HostListStandIn()
        self.weights = WeightStoreStandIn(
            document.deployment.loads_per_second,
            document.deployment.loads_at_once,
            document.deployment.adapters_in_transit,
            options.load_scale or options.time_scale,
        )
        self.engines: dict[str, EngineStandIn] = {}
        self.ledgers: dict[str, LedgerStandIn] = {}
        self.agents: dict[str, AgentDaemon] = {}
        self.entries: list[EntryDaemon] = []
        self._servers: list[HttpServer] = []
        self._keyvalue_url = ''
        self._hosts_url = ''

    @property
    def urls(self) -> list[str]:
        """Return the URLs of the entries, for callers."""
        return [entry.url for entry in self.entries]

    async def start(self) -> None:
        """Apply the document as revision 1 and start all processes."""
        self._keyvalue_url = (await self._serve(self.keyvalue.make_app())).url
        self._hosts_url = (await self._serve(self.hosts.make_app())).url
        store = HttpKeyValue(self._keyvalue_url)
        outcome = await apply_document(store, self.document, 0, 'demo')
        await store.close()
        if outcome.is_error():
            raise RuntimeError(str(outcome))
        for index, upstream in enumerate(self.document.upstreams):
            zone = self.options.zones[index % len(self.options.zones)]
            await self.start_upstream(upstream, zone)
        for index in range(self.options.entries):
            await self.start_entry(index)

    async def close(self) -> None:
        """Close the entries, then agents, engines and servers."""
        await asyncio.gather(*(entry.close() for entry in self.entries))
        await asyncio.gather(*(agent.close() for agent in self.agents.values()))
        await asyncio.gather(
            *(engine.close() for engine in self.engines.values())
        )
        await asyncio.gather(*(server.close() for server in self._servers))

    async def start_upstream(self, upstream: Upstream, zone: str) -> None:
        """Start an upstream's stand-in and its agent in a zone."""
        server = await self._start_standin(upstream)
        agent = AgentDaemon(
            AgentSettings(
                name=f'agent-{upstream.name}',
                zone=zone,
                region=self.options.region,
                upstream=upstream.name,
                upstream_url=server.url,
                tls=self.options.tls,
                tracing=self.options.tracing,
            ),
            self.options.max_in_flight,
        )
        await agent.start()
        self.agents[upstream.name] = agent
        self.hosts.put(
            HostRecord(
                agent.settings.name,
                'agent',
                agent.address,
                zone,
                upstream.name,
            ),
        )

    async def start_entry(self, index: int) -> EntryDaemon:
        """Start an entry and return it; entry 0 listens on ``listen``."""
        zone = self.options.zones[index % len(self.options.zones)]
        listen = '127.0.0.1:0' if index else self.options.listen
        entry = EntryDaemon(
            EntrySettings(
                name=f'entry-{index}',
                zone=zone,
                region=self.options.region,
                keyvalue_url=self._keyvalue_url,
                hosts_url=self._hosts_url,
                listen=listen,
                readiness_lead_s=self.options.readiness_lead_s,
                seed=index + 1,
                caller_keys=self.options.caller_keys,
                operator_keys=self.options.operator_keys,
                tracing=self.options.tracing,
                tls=self.options.tls,
                caller_tls=self.options.caller_tls,
            ),
            self.options.policy(),
        )
        await entry.start()
        self.entries.append(entry)
        self.hosts.put(
            HostRecord(entry.settings.name, 'entry', entry.address, zone),
        )
        return entry

    async def wait_reachable(self, timeout: float) -> None:
        """Wait until every entry can reach every model and service.

        Raises ``TimeoutError`` after ``timeout`` seconds.
        """
        required_models = {model.name for model in self.document.models}
        async with asyncio.timeout(timeout):
            for entry in self.entries:
                while not required_models <= entry.directory.ready_models():
                    await asyncio.sleep(_POLL_S)
                for service in self.document.services:
                    while not entry.directory.service_candidates(service):
                        await asyncio.sleep(_POLL_S)

    async def _start_standin(self, upstream: Upstream) -> HttpServer:
        if upstream.kind == 'service':
            ledger = LedgerStandIn()
            self.ledgers[upstream.name] = ledger
            return await self._serve(ledger.make_app())
        engine = EngineStandIn(
            _scale_settings(upstream, self.options),
            self.weights,
        )
        engine.start()
        self.engines[upstream.name] = engine
        return await self._serve(make_engine_app(engine))

    async def _serve(self, app: object) -> HttpServer:
        server = HttpServer(app, '127.0.0.1:0')  # type: ignore[arg-type]
        await server.start()
        self._servers.append(server)
        return server


def _scale_settings(upstream: Upstream, options: DemoOptions) -> EngineSettings:
    defaults = EngineSettings()
    time_scale = options.time_scale
    load_scale = options.load_scale or time_scale
    return EngineSettings(
        name=upstream.name,
        capacity_mb=upstream.accelerator_mb,
        checks_fencing=upstream.checks_fencing,
        step_s=defaults.step_s * time_scale,
        step_per_sequence_s=defaults.step_per_sequence_s * time_scale,
        prefill_per_token_s=defaults.prefill_per_token_s * time_scale,
        max_batch=options.max_batch,
        load_s_per_gb=defaults.load_s_per_gb * load_scale,
        unload_s=defaults.unload_s * time_scale,
    )
