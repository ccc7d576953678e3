"""Runs several gateways, each on a link of a given rate, with one store."""

import asyncio
import base64
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import attrs

from tests.platform_gateway import GatewayProcess, start_gateway
from tests.platform_links import DatagramRelay, HostLink
from tests.platform_replica import ReplicaStandIn
from tests.platform_site import MODEL, SETTINGS, make_configuration
from tests.platform_store import StoreStandIn

# Prefix of the keys under which gateways write their addresses.
PEERS = 'bramleybeam/peers/'
# Availability zones of the gateways, assigned in turn.
ZONES = ('zone-a', 'zone-b', 'zone-c', 'zone-d')
BYTES_PER_MBIT = 125_000
_MODELS_PER_ENGINE = 3
# Gateway processes that start at the same time.
_MAX_CONCURRENT_STARTS = 4


@attrs.define
class RelayedStore(StoreStandIn):
    """Replaces the address in a gateway's entry by its relayed one."""

    relay: DatagramRelay | None = None

    def _commit(self, body: dict):
        for row in body['writes']:
            if row['key'].startswith(PEERS):
                gateway_address = row['key'].removeprefix(PEERS)
                content = base64.b64decode(row['value']).decode()
                published = content.replace(
                    gateway_address, self.relay.publish(gateway_address)
                )
                row['value'] = base64.b64encode(published.encode()).decode()
        return super()._commit(body)


@attrs.define(eq=False)
class Fleet:
    """Gateways, each with its own link, and their store and replicas.

    ``bounds`` are fields added to the bounds of the gateways' settings.
    ``tenants`` is the list of workspaces in the configuration; without it,
    requests need no keys.
    """

    folder: Path
    models: tuple[str, ...]
    bounds: dict[str, str] = attrs.field(factory=dict)
    tenants: list[dict] | None = None
    store: RelayedStore = attrs.field(factory=RelayedStore)
    gateways: list[GatewayProcess] = attrs.field(factory=list)
    replicas: dict = attrs.field(factory=dict)
    links: dict = attrs.field(factory=dict)
    exited: list[GatewayProcess] = attrs.field(factory=list)

    def configure(self, version: int, *more_routes: dict) -> None:
        """Write a configuration with all models and ``more_routes``."""
        configuration = make_configuration(version)
        configuration['services'].append(
            {**configuration['services'][0], 'name': 'desk'}
        )
        engine = configuration['services'][1]['engine']
        engine['models'] = [{**MODEL, 'name': name} for name in self.models]
        configuration['routes'] += more_routes
        if self.tenants is not None:
            configuration['tenants'] = self.tenants
        self.store.put('op/config', configuration)

    def write_entry(self, replica: ReplicaStandIn, **changed) -> None:
        """Write a replica's entry to the store."""
        self.store.put(f'servers/{replica.name}', replica.entry(**changed))

    async def start_replicas(self, engines: int, plain: int) -> None:
        """Start plain replicas, and engines with three models each."""
        for number in range(plain):
            await self.add(ReplicaStandIn(f'l{number}', 'ledger'))
        for number in range(engines):
            first = number * _MODELS_PER_ENGINE
            model_names = self.models[first : first + _MODELS_PER_ENGINE]
            models = dict.fromkeys(model_names, frozenset())
            await self.add(
                ReplicaStandIn(f'e{number}', 'engine', models=models)
            )

    async def start_gateways(self, rates: list[float]) -> None:
        """Start one gateway for each link rate, in bytes per second."""
        for number, rate in enumerate(rates):
            link = HostLink(rate, self.store.address)
            await link.start()
            self.links[f'127.0.1.{number + 1}'] = link
        self.store.relay = DatagramRelay(self.links)
        start_slots = asyncio.Semaphore(_MAX_CONCURRENT_STARTS)
        numbers = range(len(rates))
        self.gateways = await asyncio.gather(
            *(self._start_limited(number, start_slots) for number in numbers)
        )
        await asyncio.gather(
            *(process.wait_ready() for process in self.gateways)
        )

    async def restart(self, number: int) -> GatewayProcess:
        """Start an exited gateway again, on new ports, and return it."""
        self.exited.append(self.gateways[number])
        self.gateways[number] = await self._start(number)
        return self.gateways[number]

    def link_of(self, number: int) -> HostLink:
        """Return the link of a gateway's host."""
        return self.links[f'127.0.1.{number + 1}']

    async def request_all_models(self, rng: random.Random) -> None:
        """Request each model at each gateway; callers disconnect early."""
        for model in self.models:
            await asyncio.sleep(0)
            for number, gateway in enumerate(self.gateways):
                name = f'{model}-{number}-{rng.randrange(1 << 30)}'
                async with gateway.send(
                    name, '/night/2f', **model_headers(model)
                ):
                    await asyncio.sleep(0)

    async def close(self) -> None:
        """Kill the gateway processes and stop the stand-ins."""
        await asyncio.gather(*(process.kill() for process in self.gateways))
        for link in self.links.values():
            link.close()
        if self.store.relay:
            self.store.relay.close()
        for replica in self.replicas.values():
            await replica.close()
        await self.store.close()

    async def add(self, replica: ReplicaStandIn) -> None:
        """Start a replica and write its entry to the store."""
        await replica.start()
        replica.on_models_changed = self.write_entry
        self.replicas[replica.name] = replica
        self.write_entry(replica)

    async def _start_limited(
        self, number: int, start_slots: asyncio.Semaphore
    ) -> GatewayProcess:
        async with start_slots:
            return await self._start(number)

    async def _start(self, number: int) -> GatewayProcess:
        host = f'127.0.1.{number + 1}'
        zone = ZONES[number % len(ZONES)]
        text = SETTINGS.format(store=self.links[host].store_address)
        text = text.replace('"front-1"', f'"front-{number}"')
        text = text.replace('"zone-a"', f'"{zone}"')
        text = text.replace(
            'ip-address = "127.0.0.1"', f'ip-address = "{host}"'
        )
        mbps = self.links[host].outbound.bytes_per_s / BYTES_PER_MBIT
        text = text.replace('[limits]', f'[limits]\nlink-mbps = {mbps:f}')
        added = ''.join(f'{key} = {self.bounds[key]}\n' for key in self.bounds)
        text = text.replace('[bounds]\n', f'[bounds]\n{added}')
        settings = self.folder / f'settings-{number}.toml'
        settings.write_text(text)
        return await start_gateway(settings)


def model_headers(model: str) -> dict[str, str]:
    """Return the headers of a request for a model."""
    return {
        'Bramleybeam_Model': model,
        'Bramleybeam_Token_Counts': '1400,80',
        'Bramleybeam_Prompt_Prefix': 'aa:300,bb:1100',
    }


@asynccontextmanager
async def run_fleet(
    folder: Path,
    rates: list[float],
    *,
    models: int,
    engines: int,
    plain: int = 4,
    bounds: dict[str, str] | None = None,
    tenants: list[dict] | None = None,
) -> AsyncIterator[Fleet]:
    """Run a store, replicas, and one gateway for each link rate.

    Rates are in bytes per second. ``engines`` and ``plain`` are the numbers of
    replicas of the model service and of the plain service; ``bounds`` and
    ``tenants`` are those of the ``Fleet``.
    """
    names = tuple(f'model{number:03d}' for number in range(models))
    fleet = Fleet(folder, names, bounds or {}, tenants)
    await fleet.store.start()
    try:
        fleet.configure(1)
        await fleet.start_replicas(engines, plain)
        await fleet.start_gateways(rates)
        yield fleet
    finally:
        await fleet.close()
