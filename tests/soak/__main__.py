"""Runs many seeds: ``python -m tests.soak --seeds 50``."""

import asyncio
import sys
import tempfile
from pathlib import Path

import click

from tests.soak import Options, run_soak


async def run_seeds(
    seeds: range, at_once: int, options: Options, keep: Path
) -> int:
    """Run seeds, some at once; return how many broke a promise."""
    free = asyncio.Semaphore(at_once)

    async def run_one(seed: int) -> bool:
        async with free:
            with tempfile.TemporaryDirectory() as folder:
                found = await run_soak(Path(folder), seed, options)
        click.echo(
            f'seed {seed}: {found.asked} asked, {dict(found.statuses)},'
            f' {sum(found.faults.values())} faults,'
            f' {len(found.violations)} violations'
        )
        for violation in found.violations[:20]:
            click.echo(f'  {violation}')
        if found.violations:
            found.keep(keep, seed)
        return bool(found.violations)

    return sum(await asyncio.gather(*(run_one(seed) for seed in seeds)))


@click.command()
@click.option('--first', default=1, help='The first seed.')
@click.option('--seeds', default=10, help='How many seeds.')
@click.option('--at-once', default=1, help='How many of them run at once.')
@click.option('--size', default=1, help='How many times the usual site.')
@click.option(
    '--keep',
    default=Path('build/soak'),
    type=click.Path(path_type=Path),
    help='Where the logs of broken seeds go.',
)
def main(first: int, seeds: int, at_once: int, size: int, keep: Path) -> None:
    """Run seeds and print what they broke."""
    options = Options().enlarge(size)
    broken = asyncio.run(
        run_seeds(range(first, first + seeds), at_once, options, keep)
    )
    click.echo(f'{broken} of {seeds} seeds broke a promise')
    sys.exit(broken > 0)


if __name__ == '__main__':
    main()
