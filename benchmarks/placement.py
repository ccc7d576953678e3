"""Plays seeded days of a site in virtual time; prints the worth earned.

The same seeds give the same arrivals, so that two versions of the code can
be compared on them::

    python -m benchmarks.placement permits --days 10 --factor 1.1
"""

import statistics
import time
from concurrent.futures import ProcessPoolExecutor
from functools import partial

import attrs
import click
import structlog

from bramleybeam.operators import format_table
from bramleybeam.simulation import SITES, DayResult, simulate_day

_SILENT_LEVEL = 50
_HEADING = (
    'SEED',
    'WORTH',
    *(request_class.name.upper() for request_class in SITES['permits'].classes),
    'WORST 4 S',
    'LATE',
    'REFUSED',
    'FAILED',
    'STORE LOADS',
    'ORDERS',
    'NEVER SERVED',
    'JUDGED',
    'SECONDS',
)


@attrs.frozen
class _Day:
    result: DayResult
    seconds: float


def _play(site: str, factor: float, seed: int) -> _Day:
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(_SILENT_LEVEL)
    )
    began = time.monotonic()
    result = simulate_day(SITES[site], seed, factor)
    return _Day(result, time.monotonic() - began)


def _make_row(day: _Day) -> list[float]:
    result = day.result
    return [
        result.value_share(),
        *(
            result.value_share(request_class.name)
            for request_class in SITES['permits'].classes
        ),
        result.worst_window(),
        result.count('late'),
        result.count('refused'),
        result.count('failed'),
        result.store_loads,
        result.orders_sent,
        len(result.never_served()),
        len(result.assessed_targets()),
        day.seconds,
    ]


@click.command()
@click.argument('site', type=click.Choice(sorted(SITES)))
@click.option('--days', default=5, help='Seeds 0, 1, 2 ...')
@click.option('--factor', default=1.1, help='Multiplies all rates.')
@click.option('--jobs', default=4, help='Days at a time.')
def main(site: str, days: int, factor: float, jobs: int) -> None:
    """Play days of a site and print a row for each, and the means."""
    with ProcessPoolExecutor(jobs) as pool:
        played = list(pool.map(partial(_play, site, factor), range(days)))
    rows = [_make_row(day) for day in played]
    means = [statistics.fmean(column) for column in zip(*rows, strict=True)]
    named = [*enumerate(rows), ('mean', means)]
    table = [
        (name, *(f'{figure:.3g}' for figure in row)) for name, row in named
    ]
    click.echo(format_table(_HEADING, table))


if __name__ == '__main__':
    main()
