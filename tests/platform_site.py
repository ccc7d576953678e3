"""Runs a gateway process with stand-ins for the store and the replicas."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import attrs

from tests.platform_gateway import Answer, GatewayProcess, start_gateway
from tests.platform_replica import ReplicaStandIn
from tests.platform_store import StoreStandIn

# Entry of a model in the configuration; it loads in 50 ms.
MODEL = {
    'name': 'm1',
    'weights-mb': 70_000.0,
    'load-s': 0.05,
    'adapters': 2,
    'adapter-mb': 10.0,
}
# Settings file of a gateway, with the store's address to be filled in.
SETTINGS = """
node = "front-1"
zone = "zone-a"
ip-address = "127.0.0.1"
port-range = [0, 0]
unknown-field = "ignored"
[listen-addrs]
front = "127.0.0.1:0"
ready = "127.0.0.1:0"
[limits]
max-fds = 4096
[platform]
address = "{store}"
[bounds]
drain-ms = 2000
grace-period-s = 8
config-apply-ms = 2000
lease-ms = 600
ceiling-window-s = 5
ceiling-over = 1.1
retry-ratio = 0.2
retry-window-s = 10
retry-slack = 50
"""


def make_route(name: str, service: str, kind: str, **changed) -> dict:
    """Return a route with the prefix ``/name/`` at the host of the tests."""
    return {
        'name': name,
        'host': 'desk.example',
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout-ms': 3000,
        'goal-ms': 300,
        'priority': 1,
        'service': service,
        'attempts': 2,
        **changed,
    }


def make_configuration(version: int = 1, **changed) -> dict:
    """Return a configuration that has a route of each kind."""
    models = [{**MODEL, 'name': name} for name in ('m1', 'm2', 'm3', 'm4')]
    engine = {
        'slots': 4,
        'kv-capacity': 1000,
        'weights-mb': 215_000.0,
        'adapter-slots': 4,
        'loads-per-s': 5.0,
        'models': models,
    }
    return {
        'version': version,
        'routes': [
            make_route('post', 'ledger', 'non_idempotent', attempts=1),
            make_route('look', 'ledger', 'idempotent'),
            make_route('ask', 'engine', 'streaming', attempts=1),
            make_route('digest', 'engine', 'streaming', resumable=True),
            {
                **make_route('night', 'engine', 'streaming'),
                'timeout-ms': 20_000,
                'goal-ms': 2000,
            },
        ],
        'services': [
            {'name': 'ledger', 'health-path': '/health', 'max-conns': 9},
            {
                'name': 'engine',
                'health-path': '/health',
                'max-conns': 9,
                'engine': engine,
            },
        ],
        'limits': {
            'header-bytes': 4096,
            'max-body-bytes': 65536,
            'header-timeout-ms': 1000,
            'idle-timeout-ms': 15000,
        },
        **changed,
    }


@attrs.define(eq=False)
class Site:
    """A store, replicas, and a gateway that the test sends requests to."""

    folder: Path
    store: StoreStandIn = attrs.field(factory=StoreStandIn)
    replicas: dict = attrs.field(factory=dict)
    gateway: GatewayProcess | None = None
    settings: str = SETTINGS
    _request_count: int = 0

    async def add_replica(self, replica: ReplicaStandIn) -> ReplicaStandIn:
        """Start a replica, write its entry to the store and return it."""
        await replica.start()
        replica.on_models_changed = self.write_entry
        self.replicas[replica.name] = replica
        self.write_entry(replica)
        return replica

    def write_entry(self, replica: ReplicaStandIn, **changed) -> None:
        """Write a replica's entry to the store."""
        self.store.put(f'servers/{replica.name}', replica.entry(**changed))

    async def start_gateway(self) -> GatewayProcess:
        """Start a gateway and wait until its ports are open."""
        settings = self.folder / 'settings.toml'
        settings.write_text(self.settings.format(store=self.store.address))
        self.gateway = await start_gateway(settings)
        return self.gateway

    async def wait_ready(self) -> None:
        """Wait until the gateway's readiness endpoint returns 200."""
        await self.gateway.wait_ready()

    async def readiness_status(self) -> int:
        """Return the status of the readiness endpoint, 0 if unreachable."""
        return await self.gateway.readiness_status()

    async def wait_for_readiness_status(self, status: int) -> None:
        """Wait until the readiness endpoint returns a status."""
        async with asyncio.timeout(10):
            while await self.readiness_status() != status:
                await asyncio.sleep(0.02)

    async def ask(self, path: str, **headers) -> Answer:
        """Send a request with a new id to the gateway; return its answer."""
        self._request_count += 1
        return await self.ask_with_id(
            f'q-{self._request_count}', path, **headers
        )

    async def ask_with_id(
        self, request_id: str, path: str, method='POST', **headers
    ) -> Answer:
        """Send a request with the given id and return its answer."""
        return await self.gateway.ask_with_id(
            request_id, path, method, **headers
        )

    def runs(self, request_id: str) -> list:
        """Return all runs of a request at all replicas."""
        return [
            run
            for replica in self.replicas.values()
            for run in replica.runs
            if run.request_id == request_id
        ]

    def cancelled(self, request_id: str) -> list:
        """Return the request's id once for each run that was cancelled."""
        return [
            cancelled_id
            for replica in self.replicas.values()
            for cancelled_id in replica.cancelled
            if cancelled_id == request_id
        ]

    async def wait_for_planner(self) -> None:
        """Wait until the gateway is the planner and sends orders."""
        async with asyncio.timeout(20):
            while not self.gateway.events('planner_elected'):
                await asyncio.sleep(0.05)
        await asyncio.sleep(1.5)

    async def close(self) -> None:
        """Kill the gateway process and stop the stand-ins."""
        if self.gateway:
            await self.gateway.kill()
        for replica in self.replicas.values():
            await replica.close()
        await self.store.close()


@asynccontextmanager
async def run_site(
    folder: Path, settings: str = SETTINGS, **configured
) -> AsyncIterator[Site]:
    """Run a store, two replicas of each service, and a gateway.

    ``configured`` replaces parts of the configuration.
    """
    site = Site(folder, settings=settings)
    await site.store.start()
    try:
        site.store.put('op/config', make_configuration(**configured))
        for number in (1, 2):
            await site.add_replica(ReplicaStandIn(f'l{number}', 'ledger'))
        await site.add_replica(
            ReplicaStandIn('e1', 'engine', models={'m1': frozenset()}),
        )
        await site.add_replica(
            ReplicaStandIn('e2', 'engine', models={'m1': frozenset()}),
        )
        await site.start_gateway()
        await site.wait_ready()
        yield site
    finally:
        await site.close()
