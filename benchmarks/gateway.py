"""Processor time of a gateway for a request and for an event of a stream.

``python -m benchmarks.gateway``: one gateway process between the stand-ins of
the tests; the figures are of that process alone, read from the kernel.
"""

import asyncio
import tempfile
from pathlib import Path
from types import MappingProxyType
from typing import Final

import click
import psutil

from tests.platform_site import Site, run_site

REQUESTS: Final = 600
STREAMS: Final = 60
EVENTS: Final = 200
AT_ONCE: Final = 4
ASK: Final = MappingProxyType(
    {
        'Bramleybeam_Model': 'm1',
        'Bramleybeam_Token_Counts': '100,8',
        'Bramleybeam_Prompt_Prefix': 'aa:60,bb:40',
    }
)


def read_processor_us(pid: int) -> float:
    """Return the processor time of a process in microseconds."""
    times = psutil.Process(pid).cpu_times()
    return (times.user + times.system) * 1_000_000


async def ask_many(site: Site, count: int, path: str, headers: dict) -> float:
    """Return the gateway's processor time for each of ``count`` requests."""
    pid = site.gateway.process.pid
    before = read_processor_us(pid)
    for _ in range(count // AT_ONCE):
        answers = await asyncio.gather(
            *(site.ask(path, **headers) for _ in range(AT_ONCE)),
        )
        assert all(answer.status == 200 for answer in answers)
    return (read_processor_us(pid) - before) / count


async def measure(folder: Path) -> None:
    """Print the figures of one run."""
    async with run_site(folder) as site:
        for replica in site.replicas.values():
            replica.pause_s = 0
        await ask_many(site, AT_ONCE, '/look/2f', {})
        plain = await ask_many(site, REQUESTS, '/look/2f', {})
        short = await ask_many(site, STREAMS, '/ask/2f', ASK)
        few = site.replicas['e1'].events
        for replica in site.replicas.values():
            replica.events = EVENTS
            replica.pause_s = 0.002
        long = await ask_many(site, STREAMS, '/ask/2f', ASK)
        idle_from = read_processor_us(site.gateway.process.pid)
        await asyncio.sleep(5)
        idle = read_processor_us(site.gateway.process.pid) - idle_from
        memory = psutil.Process(site.gateway.process.pid).memory_info().rss
    click.echo(f'us a plain request, with its connection: {plain:.0f}')
    click.echo(f'us a stream of {few} events: {short:.0f}')
    click.echo(f'us an event: {(long - short) / (EVENTS - few):.0f}')
    click.echo(f'idle, % of a core: {idle / 50_000:.2f}')
    click.echo(f'MB: {memory / 1_000_000:.0f}')


if __name__ == '__main__':
    with tempfile.TemporaryDirectory() as name:
        asyncio.run(measure(Path(name)))
