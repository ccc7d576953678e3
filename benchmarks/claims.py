"""Measures the key-value writes for claims of requests with a key::

python -m benchmarks.claims
"""

import asyncio
import tempfile
import time
from pathlib import Path
from typing import Final

import click

from bramleybeam.operators import format_table
from tests.calls import post
from tests.documents import make_document
from tests.processes import ProcessCluster

ENTRIES: Final = 3
RATES_PER_S: Final = (10, 40, 120)
DURATION_S: Final = 10.0


async def measure(cluster: ProcessCluster, rate: int) -> tuple[object, ...]:
    """Post at a rate per second; return a row of rates and counts.

    The row has the requests per second, the requests that succeeded, the
    claim writes per second and the records per write.
    """
    before = [await cluster.status(name) for name in cluster.entries]
    started_at = time.perf_counter()
    tasks = []
    for number in range(int(rate * DURATION_S)):
        due_at = started_at + number / rate
        await asyncio.sleep(max(0, due_at - time.perf_counter()))
        url = cluster.urls[f'entry-{number % ENTRIES}']
        key = f'claims-{rate}-{number}'
        tasks.append(asyncio.create_task(post(cluster.session, url, key)))
    answers = await asyncio.gather(*tasks)
    await asyncio.sleep(1)
    elapsed_s = time.perf_counter() - started_at - 1
    after = [await cluster.status(name) for name in cluster.entries]
    writes = sum(counters['claim_writes'] for counters in after)
    writes -= sum(counters['claim_writes'] for counters in before)
    records = sum(counters['claims_committed'] for counters in after)
    records -= sum(counters['claims_committed'] for counters in before)
    done = sum(answer.status == 201 for answer in answers)
    return (
        f'{len(answers) / elapsed_s:.0f}',
        done,
        f'{writes / elapsed_s:.1f}',
        f'{records / writes:.2f}',
    )


async def run() -> None:
    """Measure each rate and print a table."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = ProcessCluster(Path(folder), make_document())
        try:
            await cluster.start(entries=ENTRIES)
            rows = [await measure(cluster, rate) for rate in RATES_PER_S]
        finally:
            await cluster.close()
    heading = ('REQUESTS/S', 'DONE', 'WRITES/S', 'RECORDS PER WRITE')
    click.echo(format_table(heading, rows))


if __name__ == '__main__':
    asyncio.run(run())
