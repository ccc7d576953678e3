"""Measures propagation of revisions, and key-value calls at a restart.

Starts entries and agents as processes, applies revisions one after another
and polls until every process has the newest in force. Then kills all entries,
starts them again simultaneously and counts the calls to the key-value
service::

    python -m benchmarks.propagation
"""

import asyncio
import tempfile
import time
from pathlib import Path
from typing import Any, Final

import click

from benchmarks.capacity import make_large_document, start_cluster
from bramleybeam.keyvalue.http import HttpKeyValue
from bramleybeam.operators import apply_document, format_table
from tests.processes import ProcessCluster

ENTRIES: Final = 6
AGENTS: Final = 24
REVISIONS: Final = 20
IDLE_S: Final = 20.0
_POLL_S: Final = 0.01
_MILLISECONDS: Final = 1000


async def measure_revisions(cluster: ProcessCluster) -> list[float]:
    """Apply revisions one after another.

    Returns the sorted times in seconds until each was in force everywhere.
    """
    store = HttpKeyValue(cluster.urls['keyvalue'])
    durations_s = []
    for revision in range(1, REVISIONS + 1):
        outcome = await apply_document(
            store, cluster.document, revision, 'bench'
        )
        if outcome.is_error():
            raise RuntimeError(str(outcome))
        started_at = time.perf_counter()
        while not await is_in_force_everywhere(cluster, revision + 1):
            await asyncio.sleep(_POLL_S)
        durations_s.append(time.perf_counter() - started_at)
        await asyncio.sleep(0.3)
    await store.close()
    return sorted(durations_s)


async def is_in_force_everywhere(
    cluster: ProcessCluster, revision: int
) -> bool:
    """Return whether every entry reports the revision for every process."""
    statuses = await asyncio.gather(*map(cluster.status, cluster.entries))
    return all(
        set(status['revisions'].values()) == {revision} for status in statuses
    )


async def measure_restart(cluster: ProcessCluster) -> list[tuple[str, Any]]:
    """Restart all entries simultaneously.

    Returns rows of the time to recover in seconds and of the calls per second
    to the key-value service, during the restart and when idle.
    """
    before = await count_calls(cluster)
    started_at = time.perf_counter()
    names = list(cluster.entries)
    await asyncio.gather(*(cluster.running[name].kill() for name in names))
    await asyncio.gather(*map(cluster.start_entry, names))
    await cluster.wait_reachable()
    elapsed_s = time.perf_counter() - started_at
    after = await count_calls(cluster)
    rows = [('all entries reachable again, s', round(elapsed_s, 2))]
    rows += [
        (
            f'{kind} per second during the restart',
            round((after[kind] - before[kind]) / elapsed_s, 1),
        )
        for kind in after
    ]
    await asyncio.sleep(IDLE_S)
    later = await count_calls(cluster)
    rows += [
        (
            f'{kind} per second when idle',
            round((later[kind] - after[kind]) / IDLE_S, 2),
        )
        for kind in after
    ]
    return rows


async def count_calls(cluster: ProcessCluster) -> dict[str, int]:
    """Return the calls that the key-value stand-in counted, by kind."""
    async with cluster.session.get(
        f'{cluster.urls["keyvalue"]}/counts'
    ) as response:
        return await response.json()  # type: ignore[no-any-return]


async def run() -> None:
    """Run both measurements on a cluster and print a table."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = ProcessCluster(Path(folder), make_large_document(AGENTS))
        try:
            await start_cluster(cluster, ENTRIES)
            durations_s = await measure_revisions(cluster)
            restart_rows = await measure_restart(cluster)
        finally:
            await cluster.close()
    rows: list[tuple[str, Any]] = [
        (
            'median ms until in force everywhere',
            round(durations_s[len(durations_s) // 2] * _MILLISECONDS),
        ),
        ('longest ms', round(durations_s[-1] * _MILLISECONDS)),
    ]
    click.echo(f'{ENTRIES} entries, {AGENTS} agents, {REVISIONS} revisions')
    click.echo(format_table(('measure', 'value'), [*rows, *restart_rows]))


if __name__ == '__main__':
    asyncio.run(run())
