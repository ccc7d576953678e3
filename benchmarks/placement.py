"""Simulates seeded days of a site in virtual time and prints the results.

The same seeds give the same arrivals, so that two versions of the code can
be compared. ``WORTH`` is the share of all requests' worth that was earned::

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

_CRITICAL_LEVEL = 50
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
    'TARGETS JUDGED',
    'RUN S',
)


@attrs.frozen
class _SimulatedDay:
    result: DayResult
    run_s: float


def _simulate(site: str, factor: float, seed: int) -> _SimulatedDay:
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(_CRITICAL_LEVEL)
    )
    started_at = time.monotonic()
    result = simulate_day(SITES[site], seed, factor)
    return _SimulatedDay(result, time.monotonic() - started_at)


def _make_row(day: _SimulatedDay) -> list[float]:
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
        day.run_s,
    ]


@click.command()
@click.argument('site', type=click.Choice(sorted(SITES)))
@click.option(
    '--days', default=5, help='Number of days; day n has seed n, from 0.'
)
@click.option('--factor', default=1.1, help='Factor on all request rates.')
@click.option('--jobs', default=4, help='Days simulated in parallel.')
def main(site: str, days: int, factor: float, jobs: int) -> None:
    """Simulate days of a site and print a row for each and the means."""
    with ProcessPoolExecutor(jobs) as pool:
        simulated_days = list(
            pool.map(partial(_simulate, site, factor), range(days))
        )
    rows = [_make_row(day) for day in simulated_days]
    means = [statistics.fmean(column) for column in zip(*rows, strict=True)]
    labelled_rows = [*enumerate(rows), ('mean', means)]
    table = [
        (name, *(f'{value:.3g}' for value in row))
        for name, row in labelled_rows
    ]
    click.echo(format_table(_HEADING, table))


if __name__ == '__main__':
    main()
