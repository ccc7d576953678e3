"""Measures the processor time of decisions at several system sizes::

python -m benchmarks.decisions
"""

import random
import time
from collections.abc import Callable
from typing import Final

import click

from bramleybeam.decisions import (
    READY,
    Candidate,
    PlacedUpstream,
    PlacementSnapshot,
    assign_homes,
    choose_upstream,
    plan_placement,
)
from bramleybeam.documents import Model
from bramleybeam.messages import ArtifactState
from bramleybeam.operators import format_table

_MICROSECONDS: Final = 1_000_000
_REPEATS: Final = 5
_COPIES: Final = 3


def measure(call: Callable[[], object], repeats: int) -> float:
    """Return the processor time of a call in microseconds.

    It is the least of ``_REPEATS`` means, each over ``repeats`` calls.
    """
    shortest_s = float('inf')
    for _ in range(_REPEATS):
        started_at = time.process_time()
        for _ in range(repeats):
            call()
        shortest_s = min(
            shortest_s, (time.process_time() - started_at) / repeats
        )
    return shortest_s * _MICROSECONDS


def make_routing(count: int) -> Callable[[], object]:
    """Return a function that chooses among ``count`` upstreams."""
    rng = random.Random(1)  # noqa: S311
    candidates = [
        Candidate(f'u{index}', index % 40, 48, step_s=0.01)
        for index in range(count)
    ]
    return lambda: choose_upstream(candidates, rng)


def make_planning(upstreams: int, models: int) -> Callable[[], object]:
    """Return a function that plans a shard which needs no changes.

    Each model is ready on ``_COPIES`` upstreams.
    """
    models_by_name = {
        f'm{index}': Model(f'm{index}', 8000, 'pool') for index in range(models)
    }
    holdings_by_upstream: list[list[ArtifactState]] = [
        [] for _ in range(upstreams)
    ]
    for index, name in enumerate(models_by_name):
        for copy in range(_COPIES):
            upstream_index = (index * _COPIES + copy) % upstreams
            holdings_by_upstream[upstream_index].append(
                ArtifactState(name, 'model', 8000, READY)
            )
    snapshot = PlacementSnapshot(
        upstreams=tuple(
            PlacedUpstream(
                f'u{index}',
                'pool',
                80_000,
                48,
                usable=True,
                holdings=tuple(holdings_by_upstream[index]),
            )
            for index in range(upstreams)
        ),
        models=models_by_name,
        home=frozenset(models_by_name),
        demand=dict.fromkeys(models_by_name, 5.0),
        ready_elsewhere={},
        loads=2,
        moves=1,
    )
    return lambda: plan_placement(snapshot)


def make_home_assignment(models: int, zones: int) -> Callable[[], object]:
    """Return a function that assigns all models to home zones."""
    all_models = [Model(f'm{index}', 8000, 'pool') for index in range(models)]
    capacities = {(f'z{index}', 'pool'): 22_000_000 for index in range(zones)}
    return lambda: assign_homes(all_models, capacities)


@click.command()
def main() -> None:
    """Print a table of the decisions, sizes and microseconds."""
    rows: list[tuple[object, ...]] = []
    for count in (2, 10, 50, 280):
        rows.append(
            ('route', f'{count} upstreams', measure(make_routing(count), 500))
        )
    for upstreams, models in ((12, 34), (70, 120), (280, 470)):
        size = f'{upstreams} upstreams, {models} models'
        rows.append(
            ('plan a shard', size, measure(make_planning(upstreams, models), 3))
        )
    for models, zones in ((34, 3), (470, 9)):
        size = f'{models} models, {zones} zones'
        rows.append(
            (
                'assign homes',
                size,
                measure(make_home_assignment(models, zones), 5),
            )
        )
    table_rows = [
        (name, size, f'{duration_us:.1f}') for name, size, duration_us in rows
    ]
    click.echo(format_table(('DECISION', 'SIZE', 'US'), table_rows))


if __name__ == '__main__':
    main()
