"""Measures a gateway's processor time per request and per stream event.

``python -m benchmarks.gateway`` runs a gateway process with the stand-ins of
the tests for its store and replicas. The results cover the gateway process
alone and are read from the operating system.
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
LONG_EVENTS: Final = 200
CONCURRENT_REQUESTS: Final = 4
INFERENCE_HEADERS: Final = MappingProxyType(
    {
        'Bramleybeam_Model': 'm1',
        'Bramleybeam_Token_Counts': '100,8',
        'Bramleybeam_Prompt_Prefix': 'aa:60,bb:40',
    }
)


def read_cpu_us(pid: int) -> float:
    """Return the processor time of a process in microseconds."""
    times = psutil.Process(pid).cpu_times()
    return (times.user + times.system) * 1_000_000


async def measure_requests(
    site: Site, count: int, path: str, headers: dict
) -> float:
    """Send ``count`` requests, ``CONCURRENT_REQUESTS`` at a time.

    Returns the gateway's processor time per request in microseconds.
    """
    pid = site.gateway.process.pid
    cpu_before_us = read_cpu_us(pid)
    for _ in range(count // CONCURRENT_REQUESTS):
        answers = await asyncio.gather(
            *(site.ask(path, **headers) for _ in range(CONCURRENT_REQUESTS)),
        )
        assert all(answer.status == 200 for answer in answers)
    return (read_cpu_us(pid) - cpu_before_us) / count


async def measure(folder: Path) -> None:
    """Run a gateway and print its processor time and memory."""
    async with run_site(folder) as site:
        for replica in site.replicas.values():
            replica.pause_s = 0
        await measure_requests(site, CONCURRENT_REQUESTS, '/look/2f', {})
        plain_us = await measure_requests(site, REQUESTS, '/look/2f', {})
        short_us = await measure_requests(
            site, STREAMS, '/ask/2f', INFERENCE_HEADERS
        )
        short_events = site.replicas['e1'].events
        for replica in site.replicas.values():
            replica.events = LONG_EVENTS
            replica.pause_s = 0.002
        long_us = await measure_requests(
            site, STREAMS, '/ask/2f', INFERENCE_HEADERS
        )
        idle_start_us = read_cpu_us(site.gateway.process.pid)
        await asyncio.sleep(5)
        idle_us = read_cpu_us(site.gateway.process.pid) - idle_start_us
        resident_bytes = (
            psutil.Process(site.gateway.process.pid).memory_info().rss
        )
    click.echo(
        f'us per plain request, including its connection: {plain_us:.0f}'
    )
    click.echo(f'us per stream of {short_events} events: {short_us:.0f}')
    click.echo(
        'us per event: '
        f'{(long_us - short_us) / (LONG_EVENTS - short_events):.0f}'
    )
    # In 5 s, 50,000 us are one percent of a core.
    click.echo(f'idle, % of a core: {idle_us / 50_000:.2f}')
    click.echo(f'MB: {resident_bytes / 1_000_000:.0f}')


if __name__ == '__main__':
    with tempfile.TemporaryDirectory() as folder_name:
        asyncio.run(measure(Path(folder_name)))
