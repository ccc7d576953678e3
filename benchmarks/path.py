"""What the path adds: entry and agent against the engine stand-in alone.

Runs real processes on loopback and prints latencies, processor time by
request and by token, and the steady cost of an idle entry and agent::

    python -m benchmarks.path
"""

import asyncio
import tempfile
from pathlib import Path
from typing import Final

import click
import psutil

from benchmarks.load import LoadPlan, Tally, run_load, summarize
from bramleybeam.operators import format_table
from tests.documents import make_document
from tests.processes import ProcessCluster

RATE: Final = 20.0
SECONDS: Final = 20.0
IDLE_S: Final = 20.0
MODEL: Final = 'drafter-a'
_MICROSECONDS: Final = 1_000_000
_MEGABYTE: Final = 1 << 20
_PERCENT: Final = 100


def read_cpu(cluster: ProcessCluster, prefix: str) -> float:
    """Return the processor time of some processes, in seconds."""
    total = 0.0
    for name, running in cluster.running.items():
        if name.startswith(prefix):
            times = psutil.Process(running.process.pid).cpu_times()
            total += times.user + times.system
    return total


async def measure_load(cluster: ProcessCluster) -> None:
    """Print latencies and processor time under load."""
    rows = []
    entry = cluster.urls['entry-0']
    holder = await find_holder(cluster)
    for name, url in (('direct', cluster.urls[holder]), ('path', entry)):
        before = [read_cpu(cluster, prefix) for prefix in ('entry', 'agent')]
        tally = await run_load(LoadPlan(url, (MODEL,), RATE, SECONDS))
        after = [read_cpu(cluster, prefix) for prefix in ('entry', 'agent')]
        rows += [(name, *row) for row in summarize(tally)]
        if name == 'path':
            print_cpu(tally, before, after)
        click.echo(f'{name}: sent {tally.sent}, whole {tally.whole}')
    click.echo(format_table(('', '', 'p50', 'p95', 'p99'), rows))


def print_cpu(tally: Tally, before: list[float], after: list[float]) -> None:
    """Print microseconds by token and by request."""
    for role, begun, ended in zip(
        ('entry', 'agent'), before, after, strict=True
    ):
        spent = (ended - begun) * _MICROSECONDS
        click.echo(
            f'{role}: {spent / tally.sent:.0f} us a request of '
            f'{tally.tokens / tally.sent:.0f} tokens, '
            f'{spent / tally.tokens:.0f} us a token, all included',
        )


async def measure_idle(cluster: ProcessCluster) -> None:
    """Print the steady cost of control without requests."""
    before = {name: read_cpu(cluster, name) for name in cluster.running}
    status = await cluster.status('entry-0')
    await asyncio.sleep(IDLE_S)
    later = await cluster.status('entry-0')
    rows = []
    for name in ('entry-0', 'entry-1', 'agent-engine-1', 'agent-book-1'):
        process = psutil.Process(cluster.running[name].process.pid)
        share = (read_cpu(cluster, name) - before[name]) / IDLE_S * _PERCENT
        resident = process.memory_info().rss / _MEGABYTE
        rows.append((name, f'{share:.2f}', f'{resident:.0f}'))
    click.echo(format_table(('idle', '% of a core', 'MB'), rows))
    sent, received = (
        (after - begun) / IDLE_S
        for begun, after in zip(status['bytes'], later['bytes'], strict=True)
    )
    calls = (later['keyvalue_calls'] - status['keyvalue_calls']) / IDLE_S
    click.echo(
        f'entry-0 on {len(later["revisions"]) - 1} connections: '
        f'{sent:.0f} B/s out, {received:.0f} B/s in, '
        f'{calls:.2f} key-value calls a second',
    )


async def find_holder(cluster: ProcessCluster) -> str:
    """Name an engine that holds the model."""
    status = await cluster.status('entry-0')
    for upstream in status['upstreams']:
        if f'{MODEL}:ready' in upstream['models']:
            return str(upstream['name'])
    raise RuntimeError(f'no engine holds {MODEL}')


async def run() -> None:
    """Run both measurements."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = ProcessCluster(Path(folder), make_document())
        cluster.engine_step_s = 0.008
        try:
            await cluster.start()
            await measure_idle(cluster)
            await measure_load(cluster)
        finally:
            await cluster.close()


if __name__ == '__main__':
    asyncio.run(run())
