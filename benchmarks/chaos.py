"""Injects a seeded mix of faults into a cluster and prints the counts::

python -m benchmarks.chaos --seed 7 --seconds 120
"""

import asyncio
import sys
import tempfile
from pathlib import Path

import click

from bramleybeam.operators import format_table
from tests.chaos import Chaos, Findings
from tests.documents import make_document
from tests.processes import ProcessCluster


async def run(seed: int, seconds: float) -> Findings:
    """Run the faults of a seed for some seconds and return the findings."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = ProcessCluster(Path(folder), make_document())
        cluster.ledger_delay = 0.2
        cluster.engine_step_s = 0.03
        try:
            await cluster.start()
            return await Chaos(cluster, seed).run(seconds)
        finally:
            await cluster.close()


@click.command()
@click.option('--seed', default=1)
@click.option('--seconds', default=90.0)
def main(seed: int, seconds: float) -> None:
    """Print counts and violations; exit with status 1 on any violation."""
    findings = asyncio.run(run(seed, seconds))
    click.echo(format_table((f'seed {seed}', 'count'), findings.rows()))
    for violation in findings.violations:
        click.echo(violation)
    sys.exit(bool(findings.violations))


if __name__ == '__main__':
    main()
