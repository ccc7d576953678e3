"""Measures what entry and agent add to the engine stand-in alone.

Runs processes on loopback and prints latencies, processor time per request
and per token, and the processor time, memory and traffic when idle::

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

RATE_PER_S: Final = 20.0
LOAD_S: Final = 20.0
IDLE_S: Final = 20.0
MODEL: Final = 'drafter-a'
_MICROSECONDS: Final = 1_000_000
_MIB_BYTES: Final = 1 << 20
_PERCENT: Final = 100


def read_cpu_s(cluster: ProcessCluster, prefix: str) -> float:
    """Return the processor time of processes by name prefix, in seconds."""
    total_s = 0.0
    for name, running in cluster.running.items():
        if name.startswith(prefix):
            times = psutil.Process(running.process.pid).cpu_times()
            total_s += times.user + times.system
    return total_s


async def measure_load(cluster: ProcessCluster) -> None:
    """Print latencies with and without the path, and processor time."""
    rows = []
    entry = cluster.urls['entry-0']
    holder = await find_holder(cluster)
    for name, url in (('direct', cluster.urls[holder]), ('path', entry)):
        before = [read_cpu_s(cluster, prefix) for prefix in ('entry', 'agent')]
        tally = await run_load(LoadPlan(url, (MODEL,), RATE_PER_S, LOAD_S))
        after = [read_cpu_s(cluster, prefix) for prefix in ('entry', 'agent')]
        rows += [(name, *row) for row in summarize(tally)]
        if name == 'path':
            print_cpu_costs(tally, before, after)
        click.echo(f'{name}: sent {tally.sent}, completed {tally.completed}')
    click.echo(format_table(('', '', 'p50', 'p95', 'p99'), rows))


def print_cpu_costs(
    tally: Tally, before: list[float], after: list[float]
) -> None:
    """Print the processor time per request and per token by role.

    ``before`` and ``after`` are in seconds: entries, then agents.
    """
    for role, start_s, end_s in zip(
        ('entry', 'agent'), before, after, strict=True
    ):
        spent_us = (end_s - start_s) * _MICROSECONDS
        click.echo(
            f'{role}: {spent_us / tally.sent:.0f} us per request of '
            f'{tally.tokens / tally.sent:.0f} tokens, '
            f'{spent_us / tally.tokens:.0f} us per token, all included',
        )


async def measure_idle(cluster: ProcessCluster) -> None:
    """Print processor time, memory and traffic without requests."""
    before = {name: read_cpu_s(cluster, name) for name in cluster.running}
    status = await cluster.status('entry-0')
    await asyncio.sleep(IDLE_S)
    later_status = await cluster.status('entry-0')
    rows = []
    for name in ('entry-0', 'entry-1', 'agent-engine-1', 'agent-book-1'):
        process = psutil.Process(cluster.running[name].process.pid)
        cpu_percent = (
            (read_cpu_s(cluster, name) - before[name]) / IDLE_S * _PERCENT
        )
        resident_mib = process.memory_info().rss / _MIB_BYTES
        rows.append((name, f'{cpu_percent:.2f}', f'{resident_mib:.0f}'))
    click.echo(format_table(('idle', '% of a core', 'MiB'), rows))
    sent_per_s, received_per_s = (
        (last_bytes - first_bytes) / IDLE_S
        for first_bytes, last_bytes in zip(
            status['bytes'], later_status['bytes'], strict=True
        )
    )
    calls_per_s = (
        later_status['keyvalue_calls'] - status['keyvalue_calls']
    ) / IDLE_S
    click.echo(
        f'entry-0 on {len(later_status["revisions"]) - 1} connections: '
        f'{sent_per_s:.0f} B/s out, {received_per_s:.0f} B/s in, '
        f'{calls_per_s:.2f} key-value calls per second',
    )


async def find_holder(cluster: ProcessCluster) -> str:
    """Return the name of an engine on which the model is ready."""
    status = await cluster.status('entry-0')
    for upstream in status['upstreams']:
        if f'{MODEL}:ready' in upstream['models']:
            return str(upstream['name'])
    raise RuntimeError(f'no engine is ready for {MODEL}')


async def run() -> None:
    """Run the idle and the load measurement on a cluster."""
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
