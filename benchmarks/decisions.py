"""What a decision costs as the system grows::

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


def measure(work: Callable[[], object], repeats: int) -> float:
    """Return the least microseconds that one call takes."""
    best = float('inf')
    for _ in range(_REPEATS):
        begun = time.process_time()
        for _ in range(repeats):
            work()
        best = min(best, (time.process_time() - begun) / repeats)
    return best * _MICROSECONDS


def route(count: int) -> Callable[[], object]:
    """Make a routing decision among some upstreams."""
    rng = random.Random(1)  # noqa: S311
    candidates = [
        Candidate(f'u{index}', index % 40, 48, step_s=0.01)
        for index in range(count)
    ]
    return lambda: choose_upstream(candidates, rng)


def place(upstreams: int, models: int) -> Callable[[], object]:
    """Make a planning round of a shard at rest."""
    known = {
        f'm{index}': Model(f'm{index}', 8000, 'pool') for index in range(models)
    }
    held: list[list[ArtifactState]] = [[] for _ in range(upstreams)]
    for index, name in enumerate(known):
        for copy in range(_COPIES):
            place_at = (index * _COPIES + copy) % upstreams
            held[place_at].append(ArtifactState(name, 'model', 8000, READY))
    snapshot = PlacementSnapshot(
        upstreams=tuple(
            PlacedUpstream(
                f'u{index}',
                'pool',
                80_000,
                48,
                usable=True,
                holdings=tuple(held[index]),
            )
            for index in range(upstreams)
        ),
        models=known,
        home=frozenset(known),
        demand=dict.fromkeys(known, 5.0),
        ready_elsewhere={},
        loads=2,
        moves=1,
    )
    return lambda: plan_placement(snapshot)


def homes(models: int, zones: int) -> Callable[[], object]:
    """Assign homes to all models."""
    known = [Model(f'm{index}', 8000, 'pool') for index in range(models)]
    capacities = {(f'z{index}', 'pool'): 22_000_000 for index in range(zones)}
    return lambda: assign_homes(known, capacities)


@click.command()
def main() -> None:
    """Print the table."""
    rows: list[tuple[object, ...]] = []
    for count in (2, 10, 50, 280):
        rows.append(('route', f'{count} upstreams', measure(route(count), 500)))
    for upstreams, models in ((12, 34), (70, 120), (280, 470)):
        size = f'{upstreams} upstreams, {models} models'
        rows.append(
            ('plan a shard', size, measure(place(upstreams, models), 3))
        )
    for models, zones in ((34, 3), (470, 9)):
        size = f'{models} models, {zones} zones'
        rows.append(('assign homes', size, measure(homes(models, zones), 5)))
    shown = [(name, size, f'{cost:.1f}') for name, size, cost in rows]
    click.echo(format_table(('DECISION', 'SIZE', 'US'), shown))


if __name__ == '__main__':
    main()
