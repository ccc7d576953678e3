"""How many writes the claims of keyed requests cost the service::

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
RATES: Final = (10, 40, 120)
SECONDS: Final = 10.0


async def measure(cluster: ProcessCluster, rate: int) -> tuple[object, ...]:
    """Post at a rate and count writes and records."""
    before = [await cluster.status(name) for name in cluster.entries]
    begun = time.perf_counter()
    sending = []
    for number in range(int(rate * SECONDS)):
        due = begun + number / rate
        await asyncio.sleep(max(0, due - time.perf_counter()))
        url = cluster.urls[f'entry-{number % ENTRIES}']
        key = f'claims-{rate}-{number}'
        sending.append(asyncio.create_task(post(cluster.session, url, key)))
    answers = await asyncio.gather(*sending)
    await asyncio.sleep(1)
    took = time.perf_counter() - begun - 1
    after = [await cluster.status(name) for name in cluster.entries]
    writes = sum(one['claim_writes'] for one in after)
    writes -= sum(one['claim_writes'] for one in before)
    records = sum(one['claims_committed'] for one in after)
    records -= sum(one['claims_committed'] for one in before)
    done = sum(answer.status == 201 for answer in answers)
    return (
        f'{len(answers) / took:.0f}',
        done,
        f'{writes / took:.1f}',
        f'{records / writes:.2f}',
    )


async def run() -> None:
    """Measure each rate and print a table."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = ProcessCluster(Path(folder), make_document())
        try:
            await cluster.start(entries=ENTRIES)
            rows = [await measure(cluster, rate) for rate in RATES]
        finally:
            await cluster.close()
    heading = ('REQUESTS/S', 'DONE', 'WRITES/S', 'RECORDS A WRITE')
    click.echo(format_table(heading, rows))


if __name__ == '__main__':
    asyncio.run(run())
