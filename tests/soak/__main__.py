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
    """Run seeds, ``at_once`` in parallel; return how many had violations."""
    slots = asyncio.Semaphore(at_once)

    async def run_one(seed: int) -> bool:
        async with slots:
            with tempfile.TemporaryDirectory() as folder:
                result = await run_soak(Path(folder), seed, options)
        click.echo(
            f'seed {seed}: {result.request_count} requests, {dict(result.statuses)},'
            f' {sum(result.fault_counts.values())} faults,'
            f' hostile: {dict(result.hostile_statuses)},'
            f' {len(result.violations)} violations'
        )
        for violation in result.violations[:20]:
            click.echo(f'  {violation}')
        if result.violations:
            result.write_log(keep, seed)
        return bool(result.violations)

    return sum(await asyncio.gather(*(run_one(seed) for seed in seeds)))


@click.command()
@click.option('--first', default=1, help='The first seed.')
@click.option('--seeds', default=10, help='Number of seeds.')
@click.option(
    '--at-once', default=1, help='Number of seeds that run in parallel.'
)
@click.option('--size', default=1, help='Factor of the default size.')
@click.option(
    '--workspaces/--no-workspaces',
    default=None,
    help='Whether requests need keys; by default, the seed decides.',
)
@click.option(
    '--keep',
    default=Path('build/soak'),
    type=click.Path(path_type=Path),
    help='Folder for the logs of seeds with violations.',
)
def main(
    first: int,
    seeds: int,
    at_once: int,
    size: int,
    workspaces: bool | None,
    keep: Path,
) -> None:
    """Run seeds and print their violations."""
    options = Options(has_workspaces=workspaces).scale(size)
    broken = asyncio.run(
        run_seeds(range(first, first + seeds), at_once, options, keep)
    )
    click.echo(f'{broken} of {seeds} seeds had violations')
    sys.exit(broken > 0)


if __name__ == '__main__':
    main()
