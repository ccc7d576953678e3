"""How long a change takes to be in force everywhere, and a crowd's calls.

Starts real entries and agents, applies revisions one after another and polls
until every process shows the newest; then restarts all entries at once and
counts the key-value service's calls::

    python -m benchmarks.propagation
"""

import asyncio
import tempfile
import time
from pathlib import Path
from typing import Any, Final

import click

from benchmarks.capacity import make_large_document, start
from bramleybeam.keyvalue.http import HttpKeyValue
from bramleybeam.operators import apply_document, format_table
from tests.processes import ProcessCluster

ENTRIES: Final = 6
AGENTS: Final = 24
REVISIONS: Final = 20
CROWD_S: Final = 20.0
_POLL_S: Final = 0.01
_MILLISECONDS: Final = 1000


async def measure_revisions(cluster: ProcessCluster) -> list[float]:
    """Apply revisions and return the seconds until each is everywhere."""
    store = HttpKeyValue(cluster.urls['keyvalue'])
    times = []
    for revision in range(1, REVISIONS + 1):
        outcome = await apply_document(
            store, cluster.document, revision, 'bench'
        )
        if outcome.is_error():
            raise RuntimeError(str(outcome))
        begun = time.perf_counter()
        while not await is_everywhere(cluster, revision + 1):
            await asyncio.sleep(_POLL_S)
        times.append(time.perf_counter() - begun)
        await asyncio.sleep(0.3)
    await store.close()
    return sorted(times)


async def is_everywhere(cluster: ProcessCluster, revision: int) -> bool:
    """Whether every entry sees the revision on every process."""
    statuses = await asyncio.gather(*map(cluster.status, cluster.entries))
    return all(
        set(status['revisions'].values()) == {revision} for status in statuses
    )


async def measure_crowd(cluster: ProcessCluster) -> list[tuple[str, Any]]:
    """Restart all entries at once; return the service's calls a second."""
    before = await count_calls(cluster)
    begun = time.perf_counter()
    names = list(cluster.entries)
    await asyncio.gather(*(cluster.running[name].kill() for name in names))
    await asyncio.gather(*map(cluster.start_entry, names))
    await cluster.wait_reachable()
    took = time.perf_counter() - begun
    after = await count_calls(cluster)
    rows = [('all entries back, s', round(took, 2))]
    rows += [
        (
            f'{kind} a second while they came back',
            round((after[kind] - before[kind]) / took, 1),
        )
        for kind in after
    ]
    await asyncio.sleep(CROWD_S)
    later = await count_calls(cluster)
    rows += [
        (
            f'{kind} a second at rest',
            round((later[kind] - after[kind]) / CROWD_S, 2),
        )
        for kind in after
    ]
    return rows


async def count_calls(cluster: ProcessCluster) -> dict[str, int]:
    """Read the stand-in's own counts."""
    async with cluster.session.get(
        f'{cluster.urls["keyvalue"]}/counts'
    ) as response:
        return await response.json()  # type: ignore[no-any-return]


async def run() -> None:
    """Run both and print tables."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = ProcessCluster(Path(folder), make_large_document(AGENTS))
        try:
            await start(cluster, ENTRIES)
            times = await measure_revisions(cluster)
            crowd = await measure_crowd(cluster)
        finally:
            await cluster.close()
    rows: list[tuple[str, Any]] = [
        (
            'median ms until in force everywhere',
            round(times[len(times) // 2] * _MILLISECONDS),
        ),
        ('longest ms', round(times[-1] * _MILLISECONDS)),
    ]
    click.echo(f'{ENTRIES} entries, {AGENTS} agents, {REVISIONS} revisions')
    click.echo(format_table(('measure', 'value'), [*rows, *crowd]))


if __name__ == '__main__':
    asyncio.run(run())
