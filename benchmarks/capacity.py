"""Slopes of an idle system's control cost against its size.

Starts M entries and N agents as real processes at several sizes, samples each
for a while, fits straight lines, and prints both as tables::

    python -m benchmarks.capacity
"""

import asyncio
import tempfile
from pathlib import Path
from typing import Any, Final

import attrs
import click
import numpy as np
import psutil

from bramleybeam.documents import Deployment, Document, Model, Upstream
from bramleybeam.operators import format_table
from tests.documents import CLASSES
from tests.processes import ProcessCluster

SIZES: Final = ((2, 8), (2, 24), (2, 64), (4, 24), (8, 24))
SAMPLE_S: Final = 20.0
_STARTS_AT_ONCE: Final = 6
_PERCENT: Final = 100
_MEGABYTE: Final = 1 << 20


@attrs.frozen
class Row:
    """One sample; rates are by second, the share is of one core."""

    entries: int
    agents: int
    entry_cpu: float
    entry_mb: float
    entry_out: float
    entry_in: float
    entry_calls: float
    plan_ms: float
    agent_cpu: float
    agent_mb: float


def make_large_document(agents: int) -> Document:
    """Make a document with one engine for each agent."""
    return Document(
        deployment=Deployment(
            'capacity', loads_per_second=200, loads_at_once=50
        ),
        classes=CLASSES,
        models=tuple(
            Model(f'model-{index}', 8000, 'drafting', 'question')
            for index in range(20)
        ),
        upstreams=tuple(
            Upstream(f'engine-{index}', 'drafting', accelerator_mb=80_000)
            for index in range(agents)
        ),
    )


async def start(cluster: ProcessCluster, entries: int) -> None:
    """Start a cluster whose engines share one process."""
    cluster.session.connector._limit = 0  # type: ignore[union-attr] # noqa: SLF001
    await cluster.start_platform()
    document = cluster.document
    running = await cluster.start_standin(
        'engines', 'engines', '--count', str(len(document.upstreams))
    )
    urls = running.announcement['url'].split()
    gate = asyncio.Semaphore(_STARTS_AT_ONCE)

    async def start_agent(name: str, url: str) -> None:
        async with gate:
            await cluster.start_agent(name, url, proxied=False)

    await asyncio.gather(
        *(
            start_agent(upstream.name, url)
            for upstream, url in zip(document.upstreams, urls, strict=True)
        )
    )
    for index in range(entries):
        await cluster.start_entry(f'entry-{index}')
    await cluster.wait_reachable(180)


def read_cpu(cluster: ProcessCluster, name: str) -> float:
    """Return a process's processor time in seconds."""
    times = psutil.Process(cluster.running[name].process.pid).cpu_times()
    return times.user + times.system


def read_mb(cluster: ProcessCluster, name: str) -> float:
    """Return a process's resident memory."""
    process = psutil.Process(cluster.running[name].process.pid)
    return process.memory_info().rss / _MEGABYTE


async def sample(entries: int, agents: int) -> Row:
    """Run one size and sample it."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = ProcessCluster(Path(folder), make_large_document(agents))
        try:
            await start(cluster, entries)
            await asyncio.sleep(3)
            return await _sample(cluster, entries, agents)
        finally:
            await cluster.close()


async def _sample(cluster: ProcessCluster, entries: int, agents: int) -> Row:
    names = [f'entry-{index}' for index in range(entries)]
    watched = [*names, 'agent-engine-1']
    before = {name: read_cpu(cluster, name) for name in watched}
    begun = [await cluster.status(name) for name in names]
    await asyncio.sleep(SAMPLE_S)
    after = {name: read_cpu(cluster, name) for name in watched}
    ended = [await cluster.status(name) for name in names]
    share = {
        name: (after[name] - before[name]) / SAMPLE_S * _PERCENT
        for name in watched
    }
    return Row(
        entries=entries,
        agents=agents,
        entry_cpu=max(share[name] for name in names),
        entry_mb=max(read_mb(cluster, name) for name in names),
        entry_out=_rate(begun, ended, 0),
        entry_in=_rate(begun, ended, 1),
        entry_calls=sum(
            later['keyvalue_calls'] - earlier['keyvalue_calls']
            for earlier, later in zip(begun, ended, strict=True)
        ) / SAMPLE_S / entries,
        plan_ms=max(later['plan_ms'] for later in ended),
        agent_cpu=share['agent-engine-1'],
        agent_mb=read_mb(cluster, 'agent-engine-1'),
    )  # fmt: skip


def _rate(
    begun: list[dict[str, Any]],
    ended: list[dict[str, Any]],
    index: int,
) -> float:
    return max(
        (later['bytes'][index] - earlier['bytes'][index]) / SAMPLE_S
        for earlier, later in zip(begun, ended, strict=True)
    )


def fit(rows: list[Row]) -> list[tuple[str, str, str, str]]:
    """Fit each cost as a constant plus slopes by agent and by entry."""
    sizes = np.array([[1, row.agents, row.entries] for row in rows])
    fits = []
    for field in attrs.fields(Row)[2:]:
        seen = np.array([getattr(row, field.name) for row in rows])
        solved = np.linalg.lstsq(sizes, seen, rcond=None)[0]
        fits.append((field.name, *(f'{one:.4f}' for one in solved)))
    return fits


async def run() -> None:
    """Sample every size and print rows and fits."""
    rows = []
    for entries, agents in SIZES:
        row = await sample(entries, agents)
        rows.append(row)
        click.echo(f'{row}')
    names = [field.name for field in attrs.fields(Row)]
    shown = [
        tuple(round(found, 2) for found in attrs.astuple(row)) for row in rows
    ]
    click.echo(format_table(names, shown))
    heading = ('COST', 'CONSTANT', 'BY AGENT', 'BY ENTRY')
    click.echo(format_table(heading, fit(rows)))


if __name__ == '__main__':
    asyncio.run(run())
