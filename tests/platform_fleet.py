"""Many gateways between one store and its replicas, on links of a rate."""

import asyncio
import base64
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import attrs

from tests.platform_gateway import GatewayProcess, start_gateway
from tests.platform_links import MachineLink, PeerRelay
from tests.platform_replica import ReplicaStandIn
from tests.platform_site import MODEL, SETTINGS, make_configuration
from tests.platform_store import StoreStandIn

PEERS = 'bramleybeam/peers/'
ZONES = ('zone-a', 'zone-b', 'zone-c', 'zone-d')
BYTES_PER_MBIT = 125_000
_HELD_BY_EACH = 3
_START_AT_ONCE = 4


@attrs.define
class RelayedStore(StoreStandIn):
    """Shows each gateway under its public address."""

    relay: PeerRelay | None = None

    def _commit(self, body: dict):
        for row in body['writes']:
            if row['key'].startswith(PEERS):
                own = row['key'].removeprefix(PEERS)
                content = base64.b64decode(row['value']).decode()
                shown = content.replace(own, self.relay.publish(own))
                row['value'] = base64.b64encode(shown.encode()).decode()
        return super()._commit(body)


@attrs.define(eq=False)
class Fleet:
    """Gateways, each on a link of its own, and what they stand between."""

    folder: Path
    models: tuple[str, ...]
    store: RelayedStore = attrs.field(factory=RelayedStore)
    gateways: list[GatewayProcess] = attrs.field(factory=list)
    replicas: dict = attrs.field(factory=dict)
    links: dict = attrs.field(factory=dict)
    ended: list[GatewayProcess] = attrs.field(factory=list)

    def configure(self, version: int, *more_routes: dict) -> None:
        """Write a configuration with all models, and perhaps more routes."""
        plain = make_configuration(version)
        plain['services'].append({**plain['services'][0], 'name': 'desk'})
        engine = plain['services'][1]['engine']
        engine['models'] = [{**MODEL, 'name': name} for name in self.models]
        plain['routes'] += more_routes
        self.store.put('op/config', plain)

    def list_replica(self, replica: ReplicaStandIn, **changed) -> None:
        """Write a replica's entry."""
        self.store.put(f'servers/{replica.name}', replica.entry(**changed))

    async def start_replicas(self, engines: int, plain: int) -> None:
        """Start replicas, engines with the first models, three each."""
        for number in range(plain):
            await self.add(ReplicaStandIn(f'l{number}', 'ledger'))
        for number in range(engines):
            first = number * _HELD_BY_EACH
            held = self.models[first : first + _HELD_BY_EACH]
            models = dict.fromkeys(held, frozenset())
            await self.add(
                ReplicaStandIn(f'e{number}', 'engine', models=models)
            )

    async def start_gateways(self, rates: list[float]) -> None:
        """Start one gateway for each link, of ``rates`` in bytes a second."""
        for number, rate in enumerate(rates):
            link = MachineLink(rate, self.store.address)
            await link.start()
            self.links[f'127.0.1.{number + 1}'] = link
        self.store.relay = PeerRelay(self.links)
        free = asyncio.Semaphore(_START_AT_ONCE)
        numbers = range(len(rates))
        self.gateways = await asyncio.gather(
            *(self._start_one_of(number, free) for number in numbers)
        )
        await asyncio.gather(*(one.wait_ready() for one in self.gateways))

    async def restart(self, number: int) -> GatewayProcess:
        """Start a gateway again that has ended; it has new ports."""
        self.ended.append(self.gateways[number])
        self.gateways[number] = await self._start(number)
        return self.gateways[number]

    def link_of(self, number: int) -> MachineLink:
        """Return the link of a gateway's machine."""
        return self.links[f'127.0.1.{number + 1}']

    async def ask_for_all_models(self, rng: random.Random) -> None:
        """Ask each gateway once for each model; the callers leave soon."""
        for model in self.models:
            await asyncio.sleep(0)
            for number, gateway in enumerate(self.gateways):
                name = f'{model}-{number}-{rng.randrange(1 << 30)}'
                async with gateway.send(name, '/night/2f', **ask_for(model)):
                    await asyncio.sleep(0)

    async def close(self) -> None:
        """End the gateways, by their ids, and the stand-ins."""
        await asyncio.gather(*(one.kill() for one in self.gateways))
        for link in self.links.values():
            link.close()
        if self.store.relay:
            self.store.relay.close()
        for replica in self.replicas.values():
            await replica.close()
        await self.store.close()

    async def add(self, replica: ReplicaStandIn) -> None:
        """Start a replica and list it."""
        await replica.start()
        replica.on_models = self.list_replica
        self.replicas[replica.name] = replica
        self.list_replica(replica)

    async def _start_one_of(
        self, number: int, free: asyncio.Semaphore
    ) -> GatewayProcess:
        async with free:
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
        mbps = self.links[host].out.bytes_per_s / BYTES_PER_MBIT
        text = text.replace('[limits]', f'[limits]\nlink-mbps = {mbps:f}')
        settings = self.folder / f'settings-{number}.toml'
        settings.write_text(text)
        return await start_gateway(settings)


def ask_for(model: str) -> dict[str, str]:
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
) -> AsyncIterator[Fleet]:
    """Run a store, replicas, and a gateway on a link of each rate."""
    names = tuple(f'model{number:03d}' for number in range(models))
    fleet = Fleet(folder, names)
    await fleet.store.start()
    try:
        fleet.configure(1)
        await fleet.start_replicas(engines, plain)
        await fleet.start_gateways(rates)
        yield fleet
    finally:
        await fleet.close()
