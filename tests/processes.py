"""Real processes of a small deployment, each behind a fault proxy."""

import asyncio
import json
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import attrs

from bramleybeam.documents import Document
from bramleybeam.keyvalue.http import HttpKeyValue
from bramleybeam.operators import apply_document
from tests.documents import make_document
from tests.proxy import FaultProxy

START_LIMIT_S = 30
REACH_LIMIT_S = 60


@attrs.define(eq=False)
class Running:
    """A process that the test started, and what it said of itself."""

    name: str
    arguments: tuple[str, ...]
    process: asyncio.subprocess.Process
    output: Path
    said: dict[str, Any] = attrs.field(factory=dict)

    def signal(self, number: int) -> None:
        """Send a signal to this process alone."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def wait(self) -> int:
        """Wait until it has ended."""
        return await self.process.wait()

    async def kill(self) -> None:
        """End it at once."""
        self.signal(signal.SIGKILL)
        await self.wait()


class ProcessCluster:
    """Entries, agents and stand-ins as processes, on loopback.

    Agents are listed by the address of a proxy, and so are upstreams to
    their agents and the key-value service to entries.
    """

    def __init__(self, folder: Path, document: Document) -> None:
        """Store the document; ``start`` runs everything."""
        self.document = document
        self.running: dict[str, Running] = {}
        self.proxies: dict[str, FaultProxy] = {}
        self.urls: dict[str, str] = {}
        self.ledger_delay = 0.0
        self.engine_step_s = 0.08
        self._folder = folder
        self.session = aiohttp.ClientSession()

    async def start(self, entries: int = 2) -> None:
        """Start all of the document's upstreams and the entries."""
        await self.start_platform()
        await asyncio.gather(
            *(
                self.start_upstream(upstream.name)
                for upstream in self.document.upstreams
            )
        )
        await asyncio.gather(
            *(self.start_entry(f'entry-{index}') for index in range(entries))
        )
        await self.wait_reachable()

    async def start_platform(self) -> None:
        """Start the platform's stand-ins and apply the document."""
        await asyncio.gather(
            self.start_standin('keyvalue', 'keyvalue'),
            self.start_standin('hosts', 'hosts'),
        )
        await self._proxy('keyvalue', self.urls['keyvalue'])
        store = HttpKeyValue(self.urls['keyvalue'])
        outcome = await apply_document(store, self.document, 0, 'test')
        await store.close()
        assert outcome.is_ok(), outcome

    async def close(self) -> None:
        """End every process that was started."""
        for running in self.running.values():
            running.signal(signal.SIGCONT)
            await running.kill()
        for proxy in self.proxies.values():
            await proxy.close()
        await self.session.close()

    async def start_standin(self, name: str, *arguments: str) -> Running:
        """Start a stand-in and note its address."""
        command = ('-m', 'bramleybeam.standins', *arguments)
        running = await self._spawn(name, command)
        url = running.said['url']
        self.urls[name] = url
        return running

    async def start_upstream(self, name: str) -> None:
        """Start the stand-in of an upstream and its agent."""
        upstream = self.document.upstreams_by_name[name]
        arguments = ['ledger', '--delay', str(self.ledger_delay)]
        if upstream.kind == 'engine':
            arguments = [
                'engine',
                '--name', name,
                '--capacity-mb', str(upstream.accelerator_mb),
                '--load-s-per-gb', '0.05',
                '--step-s', str(self.engine_step_s),
            ]  # fmt: skip
            if upstream.checks_fencing:
                arguments.append('--checks-fencing')
        await self.start_standin(name, *arguments)
        proxy = await self._proxy(name, self.urls[name])
        await self.start_agent(name, proxy.url)

    async def start_agent(
        self,
        upstream: str,
        upstream_url: str,
        *,
        proxied: bool = True,
    ) -> None:
        """Start the agent of an upstream and list it by its proxy."""
        name = f'agent-{upstream}'
        zone = self._zone_of(upstream)
        settings = (
            f'name = "{name}"\nzone = "{zone}"\nregion = "test"\n'
            f'upstream = "{upstream}"\nupstream_url = "{upstream_url}"\n'
            'shutdown_s = 30\n'
        )
        running = await self._spawn_daemon('agent', name, settings)
        address = running.said['address']
        if not proxied:
            await self.list_host(name, 'agent', address, zone, upstream)
            return
        proxy = self.proxies.get(name)
        if proxy is None:
            proxy = await self._proxy(name, running.said['address'])
        proxy.target = running.said['address']
        await self.list_host(name, 'agent', proxy.address, zone, upstream)

    async def start_entry(self, name: str) -> None:
        """Start an entry."""
        keyvalue = self.proxies['keyvalue']
        settings = (
            f'name = "{name}"\nzone = "east"\nregion = "test"\n'
            f'keyvalue_url = "{keyvalue.url}"\n'
            f'hosts_url = "{self.urls["hosts"]}"\n'
            'readiness_lead_s = 0.5\nshutdown_s = 30\nseed = 7\n'
        )
        running = await self._spawn_daemon('entry', name, settings)
        self.urls[name] = running.said['callers']
        self.urls[f'{name}/operators'] = running.said['operators']
        await self.list_host(name, 'entry', running.said['address'], 'east')

    async def start_again(self, name: str) -> None:
        """Start a process that has ended in its place."""
        if name.startswith('entry'):
            await self.start_entry(name)
        elif name.startswith('agent'):
            upstream = name.removeprefix('agent-')
            await self.start_agent(upstream, self.proxies[upstream].url)
        else:
            target = self.proxies[name].target
            await self.start_standin(name, 'ledger', '--listen', target)

    async def list_host(
        self,
        name: str,
        role: str,
        address: str,
        zone: str,
        upstream: str = '',
        state: str = 'live',
    ) -> None:
        """Put a process on the platform's list."""
        body = {
            'name': name,
            'role': role,
            'address': address,
            'zone': zone,
            'upstream': upstream,
            'state': state,
        }
        async with self.session.put(
            f'{self.urls["hosts"]}/v1/hosts', json=body
        ) as response:
            assert response.status == 200

    async def status(self, entry: str) -> dict[str, Any]:
        """Ask an entry how things stand."""
        url = self.urls[f'{entry}/operators']
        async with self.session.get(f'{url}/status') as response:
            return await response.json()

    async def wait_reachable(self, limit: float = REACH_LIMIT_S) -> None:
        """Wait until every entry reaches every model and upstream."""
        async with asyncio.timeout(limit):
            for name in self.entries:
                while not _is_whole(await self.status(name), self.document):
                    await asyncio.sleep(0.1)

    @property
    def entries(self) -> list[str]:
        """Names of the entries that were started."""
        return [name for name in self.running if name.startswith('entry')]

    async def _proxy(self, name: str, url: str) -> FaultProxy:
        address = url.removeprefix('http://')
        proxy = await FaultProxy(address).start()
        self.proxies[name] = proxy
        return proxy

    async def _spawn_daemon(
        self,
        role: str,
        name: str,
        settings: str,
    ) -> Running:
        path = self._folder / f'{name}.toml'
        path.write_text(settings)
        command = ('-m', 'bramleybeam', role, '--settings', str(path))
        return await self._spawn(name, command)

    async def _spawn(self, name: str, command: tuple[str, ...]) -> Running:
        output = self._folder / f'{name}.log'
        with output.open('ab') as sink:
            begin = output.stat().st_size
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *command,
                stdout=sink,
                stderr=sink,
            )
        running = Running(name, command, process, output)
        self.running[name] = running
        async with asyncio.timeout(START_LIMIT_S):
            while not running.said:
                await asyncio.sleep(0.05)
                assert process.returncode is None, output.read_text()
                running.said = _find_announcement(output, begin)
        return running

    def _zone_of(self, upstream: str) -> str:
        names = [one.name for one in self.document.upstreams]
        return ('east', 'west')[names.index(upstream) % 2]


@asynccontextmanager
async def run_processes(
    folder: Path,
    *,
    entries: int = 2,
    ledger_delay: float = 0,
) -> AsyncIterator[ProcessCluster]:
    """Run a small deployment for the length of a block."""
    cluster = ProcessCluster(folder, make_document())
    cluster.ledger_delay = ledger_delay
    try:
        await cluster.start(entries)
        yield cluster
    finally:
        await cluster.close()


def _find_announcement(output: Path, begin: int) -> dict[str, Any]:
    for line in output.read_bytes()[begin:].decode().splitlines():
        if line.startswith('http'):
            return {'url': line}
        if '_started' in line:
            return json.loads(line)
    return {}


def _is_whole(status: dict[str, Any], document: Document) -> bool:
    usable = [one for one in status['upstreams'] if one['usable']]
    is_complete = len(usable) >= len(document.upstreams)
    return status['revision'] > 0 and not status['unreachable'] and is_complete
