"""Seeded arrivals: classes of requests over models whose demand moves."""

import bisect
import math
import random
from collections.abc import Iterator
from typing import Final

import attrs

from bramleybeam.catalog import EngineSpec

_WAVE: Final = 0.15
_WAVE_PERIOD_S: Final = 11.0


@attrs.frozen
class RequestClass:
    """One class of requests; times in seconds, sizes in tokens.

    ``is_moving`` tells whether it asks for the busy models, which change, or
    for the rest of them. ``shared`` are sizes of the shared prompt parts with
    the number of different ones.
    """

    name: str
    per_s: float
    objective_s: float
    deadline_s: float
    longest_gap_s: float
    worth: float
    late_worth: float
    priority: int
    is_moving: bool
    prompt_tokens: float
    output_tokens: float
    shared: tuple[tuple[int, int], ...] = ()
    adapter_share: float = 0


@attrs.frozen
class LoadSpec:
    """A deployment and what is asked of it.

    ``moving`` are the models of which ``len(shares)`` are busy at a time, with
    those shares of the requests; ``shifts`` are the moments at which two of
    them change, ``bursts`` name (from, to, class, factor), ``losses`` name
    (from, for how long) a replica is gone, ``new_planners`` the moments at
    which another gateway becomes the planner.
    """

    engine: EngineSpec
    replicas: int
    store_at_once: int
    tokens_per_event: int
    classes: tuple[RequestClass, ...]
    moving: tuple[str, ...]
    resting: tuple[str, ...]
    shares: tuple[float, ...]
    shifts: tuple[float, ...]
    bursts: tuple[tuple[float, float, str, float], ...] = ()
    losses: tuple[tuple[float, float], ...] = ()
    new_planners: tuple[float, ...] = ()
    length_s: float = 40


@attrs.frozen
class Arrival:
    """One request as its caller sends it first."""

    moment: float
    request_class: RequestClass
    model: str
    adapter: str
    parts: tuple[tuple[str, int], ...]
    output_tokens: int


def draw_arrivals(
    spec: LoadSpec,
    seed: int,
    factor: float = 1,
) -> list[Arrival]:
    """Draw a day's arrivals in order of time; the same for the same seed.

    ``factor`` multiplies all rates.
    """
    rng = random.Random(seed)
    busy = _draw_busy(spec, rng)
    arrivals = [
        arrival
        for one in spec.classes
        for arrival in _draw_class(spec, one, factor, busy, rng)
    ]
    return sorted(arrivals, key=_moment_of)


def place_at_start(spec: LoadSpec) -> list[tuple[str, ...]]:
    """Return what each replica holds before a day: busy models on many.

    Models that are not busy follow, one copy each, as far as there is room.
    """
    names = [*spec.moving, *spec.resting]
    busy = names[: len(spec.shares)]
    places = [[busy[number % len(busy)]] for number in range(spec.replicas)]
    rest = names[len(busy) :]
    largest = max(model.memory_mb for model in spec.engine.models.values())
    others = int(spec.engine.memory_mb // largest) - 1
    for number, model in enumerate(rest[: others * spec.replicas]):
        places[number % spec.replicas].append(model)
    return [tuple(models) for models in places]


def _moment_of(arrival: Arrival) -> float:
    return arrival.moment


def _draw_busy(
    spec: LoadSpec,
    rng: random.Random,
) -> list[tuple[float, tuple[str, ...]]]:
    """Return from when which models are busy, the busiest first."""
    current = list(spec.moving[: len(spec.shares)])
    busy = [(0.0, tuple(current))]
    for moment in spec.shifts:
        others = [name for name in spec.moving if name not in current]
        for place in rng.sample(range(len(current)), 2):
            current[place] = others.pop(rng.randrange(len(others)))
        busy.append((moment, tuple(current)))
    return busy


def _draw_class(
    spec: LoadSpec,
    one: RequestClass,
    factor: float,
    busy: list[tuple[float, tuple[str, ...]]],
    rng: random.Random,
) -> Iterator[Arrival]:
    starts = [moment for moment, _ in busy]
    highest = one.per_s * factor * 4
    moment = 0.0
    while True:
        moment += rng.expovariate(highest)
        if moment >= spec.length_s:
            return
        rate = one.per_s * factor * _shape(spec, one, moment)
        if rng.random() * highest >= rate:
            continue
        model = rng.choice(spec.resting)
        if one.is_moving:
            names = busy[bisect.bisect(starts, moment) - 1][1]
            model = rng.choices(names, spec.shares)[0]
        yield _draw_one(spec, one, moment, model, rng)


def _shape(spec: LoadSpec, one: RequestClass, moment: float) -> float:
    wave = 1 + _WAVE * math.sin(2 * math.pi * moment / _WAVE_PERIOD_S)
    for start, end, name, burst in spec.bursts:
        if name in {'', one.name} and start <= moment < end:
            wave *= burst
    return wave


def _draw_one(
    spec: LoadSpec,
    one: RequestClass,
    moment: float,
    model: str,
    rng: random.Random,
) -> Arrival:
    adapters = spec.engine.models[model].adapter_names
    adapter = ''
    if adapters and rng.random() < one.adapter_share:
        adapter = rng.choice(adapters)
    shared = tuple(
        (f'{one.name}-{size}-{rng.randrange(kinds)}', size)
        for size, kinds in one.shared
    )
    own = max(16, round(_draw_size(one.prompt_tokens, 0.9, rng)))
    return Arrival(
        moment,
        one,
        model,
        adapter,
        (*shared, (f'own-{rng.random()}', own)),
        max(4, round(_draw_size(one.output_tokens, 0.8, rng))),
    )


def _draw_size(mean: float, spread: float, rng: random.Random) -> float:
    size = rng.lognormvariate(math.log(mean) - spread**2 / 2, spread)
    return min(size, 3.4 * mean)
