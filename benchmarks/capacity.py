"""Measures how the control cost of an idle system grows with its size.

Starts entries and agents as processes in several numbers, samples each system
for ``SAMPLE_S`` seconds, fits the costs by least squares as linear functions
of the numbers, and prints samples and fits as tables::

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

# Pairs of numbers of entries and agents.
SIZES: Final = ((2, 8), (2, 24), (2, 64), (4, 24), (8, 24))
SAMPLE_S: Final = 20.0
_CONCURRENT_STARTS: Final = 6
_PERCENT: Final = 100
_MIB_BYTES: Final = 1 << 20


@attrs.frozen
class Sample:
    """The costs of a system of one size.

    Costs of an entry are the maximum over all entries, except for the calls,
    which are the mean. Processor time is in percent of one core.
    """

    entries: int
    agents: int
    entry_cpu_percent: float
    entry_mib: float
    entry_sent_bytes_per_s: float
    entry_received_bytes_per_s: float
    entry_keyvalue_calls_per_s: float
    plan_ms: float
    agent_cpu_percent: float
    agent_mib: float


def make_large_document(agents: int) -> Document:
    """Return a document with 20 models and an engine for each agent."""
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


async def start_cluster(cluster: ProcessCluster, entries: int) -> None:
    """Start a cluster whose engines share a process; wait until reachable."""
    cluster.session.connector._limit = 0  # type: ignore[union-attr] # noqa: SLF001
    await cluster.start_platform()
    document = cluster.document
    running = await cluster.start_standin(
        'engines', 'engines', '--count', str(len(document.upstreams))
    )
    urls = running.announcement['url'].split()
    start_slots = asyncio.Semaphore(_CONCURRENT_STARTS)

    async def start_agent(name: str, url: str) -> None:
        async with start_slots:
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


def read_cpu_s(cluster: ProcessCluster, name: str) -> float:
    """Return the processor time of a process in seconds."""
    times = psutil.Process(cluster.running[name].process.pid).cpu_times()
    return times.user + times.system


def read_resident_mib(cluster: ProcessCluster, name: str) -> float:
    """Return the resident memory of a process in MiB."""
    process = psutil.Process(cluster.running[name].process.pid)
    return process.memory_info().rss / _MIB_BYTES


async def measure_size(entries: int, agents: int) -> Sample:
    """Start a system of a size and return its costs."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = ProcessCluster(Path(folder), make_large_document(agents))
        try:
            await start_cluster(cluster, entries)
            await asyncio.sleep(3)
            return await _take_sample(cluster, entries, agents)
        finally:
            await cluster.close()


async def _take_sample(
    cluster: ProcessCluster, entries: int, agents: int
) -> Sample:
    names = [f'entry-{index}' for index in range(entries)]
    sampled_names = [*names, 'agent-engine-1']
    cpu_before_s = {name: read_cpu_s(cluster, name) for name in sampled_names}
    first_statuses = [await cluster.status(name) for name in names]
    await asyncio.sleep(SAMPLE_S)
    cpu_after_s = {name: read_cpu_s(cluster, name) for name in sampled_names}
    last_statuses = [await cluster.status(name) for name in names]
    cpu_percent = {
        name: (cpu_after_s[name] - cpu_before_s[name]) / SAMPLE_S * _PERCENT
        for name in sampled_names
    }
    return Sample(
        entries=entries,
        agents=agents,
        entry_cpu_percent=max(cpu_percent[name] for name in names),
        entry_mib=max(read_resident_mib(cluster, name) for name in names),
        entry_sent_bytes_per_s=_max_bytes_per_s(
            first_statuses, last_statuses, 0
        ),
        entry_received_bytes_per_s=_max_bytes_per_s(
            first_statuses, last_statuses, 1
        ),
        entry_keyvalue_calls_per_s=sum(
            later['keyvalue_calls'] - earlier['keyvalue_calls']
            for earlier, later in zip(
                first_statuses, last_statuses, strict=True
            )
        ) / SAMPLE_S / entries,
        plan_ms=max(later['plan_ms'] for later in last_statuses),
        agent_cpu_percent=cpu_percent['agent-engine-1'],
        agent_mib=read_resident_mib(cluster, 'agent-engine-1'),
    )  # fmt: skip


def _max_bytes_per_s(
    first_statuses: list[dict[str, Any]],
    last_statuses: list[dict[str, Any]],
    index: int,
) -> float:
    return max(
        (later['bytes'][index] - earlier['bytes'][index]) / SAMPLE_S
        for earlier, later in zip(first_statuses, last_statuses, strict=True)
    )


def fit_costs(rows: list[Sample]) -> list[tuple[str, str, str, str]]:
    """Fit each cost as a constant plus a slope per agent and per entry.

    Returns rows of the cost's name and the three coefficients.
    """
    sizes = np.array([[1, row.agents, row.entries] for row in rows])
    fits = []
    for field in attrs.fields(Sample)[2:]:
        measured = np.array([getattr(row, field.name) for row in rows])
        coefficients = np.linalg.lstsq(sizes, measured, rcond=None)[0]
        fits.append(
            (
                field.name,
                *(f'{coefficient:.4f}' for coefficient in coefficients),
            )
        )
    return fits


async def run() -> None:
    """Measure every size and print the samples and fits."""
    rows = []
    for entries, agents in SIZES:
        row = await measure_size(entries, agents)
        rows.append(row)
        click.echo(f'{row}')
    names = [field.name for field in attrs.fields(Sample)]
    table_rows = [
        tuple(round(value, 2) for value in attrs.astuple(row)) for row in rows
    ]
    click.echo(format_table(names, table_rows))
    heading = ('COST', 'CONSTANT', 'PER AGENT', 'PER ENTRY')
    click.echo(format_table(heading, fit_costs(rows)))


if __name__ == '__main__':
    asyncio.run(run())
