"""Simulates queues at the worst load, without loads of models.

Two models that every replica holds, callers with short and with long
objectives, at several times the load that the replicas can serve::

    python -m benchmarks.queueing --seeds 5 --factor 1.0 --factor 1.6
"""

from collections import Counter
from typing import Final

import click

from bramleybeam.catalog import EngineSpec, ModelSpec
from bramleybeam.operators import format_table
from bramleybeam.simulation import (
    DayResult,
    LoadSpec,
    RequestClass,
    simulate_day,
)
from bramleybeam.telemetry import configure_logs

_OUTCOMES: Final = ('in_time', 'late', 'refused', 'failed')


def _make_class(
    name: str,
    requests_per_s: float,
    objective_s: float,
    value: float,
    *,
    is_popular: bool,
) -> RequestClass:
    return RequestClass(
        name, requests_per_s, objective_s, 30 if objective_s > 5 else 15, 0.3,
        value, value * 0.3, 0 if is_popular else 1,
        is_popular, 1110, 120, ((210, 3), (140, 63)),
    )  # fmt: skip


WORST_LOAD: Final = LoadSpec(
    engine=EngineSpec(
        32,
        100_000,
        230_000,
        8,
        2,
        {
            name: ModelSpec(name, 60_000, 2.2, 1.4, 1.1)
            for name in ('m00', 'm01')
        },
    ),
    replicas=3,
    store_concurrency=4,
    tokens_per_event=2,
    classes=(
        _make_class('0.5', 7, 0.5, 3, is_popular=True),
        _make_class('1.0', 5, 1, 2, is_popular=True),
        _make_class('10', 12, 10, 1, is_popular=False),
    ),
    popular_pool=('m00',),
    background_models=('m01',),
    popular_shares=(1.0,),
    shift_times_s=(),
    bursts=((10, 14, '10', 2.5), (22, 25, '0.5', 2.0)),
)


def summarize(
    results: list[DayResult],
) -> list[tuple[str, int, dict[str, float], float]]:
    """Return the class, requests, shares of the outcomes and worth of each."""
    counts: dict[str, Counter[str]] = {}
    for day in results:
        for record in day.requests:
            counts.setdefault(record.request_class, Counter())[
                record.outcome
            ] += 1
    rows = []
    for name, outcomes in counts.items():
        total = outcomes.total()
        shares = {outcome: outcomes[outcome] / total for outcome in _OUTCOMES}
        worth = sum(day.value_share(name) for day in results) / len(results)
        rows.append((name, total, shares, worth))
    return sorted(rows, key=lambda row: float(row[0]))


@click.command()
@click.option('--seeds', default=5)
@click.option('--factor', 'factors', multiple=True, default=(1.0, 1.6))
def main(seeds: int, factors: tuple[float, ...]) -> None:
    """Print the shares of the outcomes by class, and the worth earned."""
    configure_logs('error')
    rows: list[tuple[object, ...]] = []
    for factor in factors:
        results = [
            simulate_day(WORST_LOAD, seed, factor)
            for seed in range(1, seeds + 1)
        ]
        for name, total, shares, worth in summarize(results):
            cells = (f'{shares[outcome]:.3f}' for outcome in _OUTCOMES)
            rows.append((factor, name, total, *cells, f'{worth:.3f}'))
        mean = sum(day.value_share() for day in results) / seeds
        rows.append((factor, 'all', '', '', '', '', '', f'{mean:.3f}'))
    click.echo(
        format_table(('FACTOR', 'OBJECTIVE', 'N', *_OUTCOMES, 'WORTH'), rows)
    )


if __name__ == '__main__':
    main()
