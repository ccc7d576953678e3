"""A small deployment of real processes with fault proxies in between."""

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
REACHABLE_LIMIT_S = 60


@attrs.define(eq=False)
class RunningProcess:
    """A process that a test started, and the addresses that it announced.

    ``output`` is the file with its standard output and standard error.
    """

    name: str
    arguments: tuple[str, ...]
    process: asyncio.subprocess.Process
    output: Path
    announcement: dict[str, Any] = attrs.field(factory=dict)

    def signal(self, number: int) -> None:
        """Send a signal to the process, unless it has ended."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process has ended and return its exit code."""
        return await self.process.wait()

    async def kill(self) -> None:
        """Send SIGKILL to the process and wait until it has ended."""
        self.signal(signal.SIGKILL)
        await self.wait()


class ProcessCluster:
    """Entries, agents and stand-ins as processes on the loopback interface.

    Fault proxies stand between entries and agents, between agents and their
    upstreams, and between entries and the key-value service. ``ledger_delay``
    is the time in seconds that the ledger takes for a posting, and
    ``entry_settings`` are further lines of the settings of entries.
    """

    def __init__(self, folder: Path, document: Document) -> None:
        """Store the document; ``start`` starts the processes."""
        self.document = document
        self.running: dict[str, RunningProcess] = {}
        self.proxies: dict[str, FaultProxy] = {}
        self.urls: dict[str, str] = {}
        self.ledger_delay = 0.0
        self.engine_step_s = 0.08
        self.entry_settings = ''
        self._folder = folder
        self.session = aiohttp.ClientSession()

    async def start(self, entries: int = 2) -> None:
        """Start the platform, all upstreams of the document and the entries."""
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
        """Start the stand-ins of the platform and apply the document."""
        await asyncio.gather(
            self.start_standin('keyvalue', 'keyvalue'),
            self.start_standin('hosts', 'hosts'),
        )
        await self._start_proxy('keyvalue', self.urls['keyvalue'])
        store = HttpKeyValue(self.urls['keyvalue'])
        outcome = await apply_document(store, self.document, 0, 'test')
        await store.close()
        assert outcome.is_ok(), outcome

    async def close(self) -> None:
        """Kill every process that was started and close the proxies."""
        for running in self.running.values():
            running.signal(signal.SIGCONT)
            await running.kill()
        for proxy in self.proxies.values():
            await proxy.close()
        await self.session.close()

    async def start_standin(self, name: str, *arguments: str) -> RunningProcess:
        """Start a stand-in and store its URL."""
        command = ('-m', 'bramleybeam.standins', *arguments)
        running = await self._spawn(name, command)
        url = running.announcement['url']
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
        proxy = await self._start_proxy(name, self.urls[name])
        await self.start_agent(name, proxy.url)

    async def start_agent(
        self,
        upstream: str,
        upstream_url: str,
        *,
        proxied: bool = True,
    ) -> None:
        """Start the agent of an upstream and register it with the platform.

        It is registered under the address of its proxy, or under its own if
        ``proxied`` is false.
        """
        name = f'agent-{upstream}'
        zone = self._choose_zone(upstream)
        settings = (
            f'name = "{name}"\nzone = "{zone}"\nregion = "test"\n'
            f'upstream = "{upstream}"\nupstream_url = "{upstream_url}"\n'
            'shutdown_s = 30\n'
        )
        running = await self._spawn_daemon('agent', name, settings)
        address = running.announcement['address']
        if not proxied:
            await self.register_host(name, 'agent', address, zone, upstream)
            return
        proxy = self.proxies.get(name)
        if proxy is None:
            proxy = await self._start_proxy(
                name, running.announcement['address']
            )
        proxy.target = running.announcement['address']
        await self.register_host(name, 'agent', proxy.address, zone, upstream)

    async def start_entry(self, name: str) -> None:
        """Start an entry and register it with the platform."""
        keyvalue = self.proxies['keyvalue']
        settings = (
            f'name = "{name}"\nzone = "east"\nregion = "test"\n'
            f'keyvalue_url = "{keyvalue.url}"\n'
            f'hosts_url = "{self.urls["hosts"]}"\n'
            'readiness_lead_s = 0.5\nshutdown_s = 30\nseed = 7\n'
            f'{self.entry_settings}'
        )
        running = await self._spawn_daemon('entry', name, settings)
        self.urls[name] = running.announcement['callers']
        self.urls[f'{name}/operators'] = running.announcement['operators']
        await self.register_host(
            name, 'entry', running.announcement['address'], 'east'
        )

    async def restart(self, name: str) -> None:
        """Replace an entry, an agent or a ledger that has ended."""
        if name.startswith('entry'):
            await self.start_entry(name)
        elif name.startswith('agent'):
            upstream = name.removeprefix('agent-')
            await self.start_agent(upstream, self.proxies[upstream].url)
        else:
            target = self.proxies[name].target
            await self.start_standin(name, 'ledger', '--listen', target)

    async def register_host(
        self,
        name: str,
        role: str,
        address: str,
        zone: str,
        upstream: str = '',
        state: str = 'live',
    ) -> None:
        """Set the record of a process in the platform's list of hosts."""
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
        """Return the status that an entry reports to operators."""
        url = self.urls[f'{entry}/operators']
        async with self.session.get(f'{url}/status') as response:
            return await response.json()

    async def wait_reachable(self, limit: float = REACHABLE_LIMIT_S) -> None:
        """Wait until every entry reaches every model and upstream.

        ``limit`` is in seconds; then a ``TimeoutError`` is raised.
        """
        async with asyncio.timeout(limit):
            for name in self.entries:
                while not _reaches_everything(
                    await self.status(name), self.document
                ):
                    await asyncio.sleep(0.1)

    @property
    def entries(self) -> list[str]:
        """Return the names of the entries that were started."""
        return [name for name in self.running if name.startswith('entry')]

    async def _start_proxy(self, name: str, url: str) -> FaultProxy:
        address = url.removeprefix('http://')
        proxy = await FaultProxy(address).start()
        self.proxies[name] = proxy
        return proxy

    async def _spawn_daemon(
        self,
        role: str,
        name: str,
        settings: str,
    ) -> RunningProcess:
        path = self._folder / f'{name}.toml'
        path.write_text(settings)
        command = ('-m', 'bramleybeam', role, '--settings', str(path))
        return await self._spawn(name, command)

    async def _spawn(
        self, name: str, command: tuple[str, ...]
    ) -> RunningProcess:
        output = self._folder / f'{name}.log'
        with output.open('ab') as log_file:
            start_offset = output.stat().st_size
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *command,
                stdout=log_file,
                stderr=log_file,
            )
        running = RunningProcess(name, command, process, output)
        self.running[name] = running
        async with asyncio.timeout(START_LIMIT_S):
            while not running.announcement:
                await asyncio.sleep(0.05)
                assert process.returncode is None, output.read_text()
                running.announcement = _find_announcement(output, start_offset)
        return running

    def _choose_zone(self, upstream: str) -> str:
        names = [declared.name for declared in self.document.upstreams]
        return ('east', 'west')[names.index(upstream) % 2]


@asynccontextmanager
async def run_processes(
    folder: Path,
    *,
    entries: int = 2,
    ledger_delay: float = 0,
    entry_settings: str = '',
) -> AsyncIterator[ProcessCluster]:
    """Run a small deployment; close it at the end of the ``async with``."""
    cluster = ProcessCluster(folder, make_document())
    cluster.ledger_delay = ledger_delay
    cluster.entry_settings = entry_settings
    try:
        await cluster.start(entries)
        yield cluster
    finally:
        await cluster.close()


def _find_announcement(output: Path, start_offset: int) -> dict[str, Any]:
    for line in output.read_bytes()[start_offset:].decode().splitlines():
        if line.startswith('http'):
            return {'url': line}
        if '_started' in line:
            return json.loads(line)
    return {}


def _reaches_everything(status: dict[str, Any], document: Document) -> bool:
    usable = [row for row in status['upstreams'] if row['usable']]
    is_complete = len(usable) >= len(document.upstreams)
    return status['revision'] > 0 and not status['unreachable'] and is_complete
