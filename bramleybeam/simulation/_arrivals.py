"""Draws seeded request arrivals for models whose popularity changes."""

import bisect
import math
import random
from collections.abc import Iterator
from typing import Final

import attrs

from bramleybeam.catalog import EngineSpec

# All request rates vary sinusoidally by this share of their mean.
_WAVE_AMPLITUDE: Final = 0.15
_WAVE_PERIOD_S: Final = 11.0


@attrs.frozen
class RequestClass:
    """One class of requests; times in seconds, sizes in tokens.

    A request that is served within ``objective_s``, without a gap between
    events that is longer than ``longest_gap_s``, earns ``value``, and a slower
    one ``late_value``. ``targets_popular`` is whether the class requests the
    popular models, which change, or the background models.
    ``prompt_tokens`` (without shared parts) and ``output_tokens`` are means.
    ``shared_parts`` lists the shared parts of the prompt as (size, number of
    variants). ``adapter_share`` is the probability that a request names an
    adapter, if its model has any.
    """

    name: str
    requests_per_s: float
    objective_s: float
    deadline_s: float
    longest_gap_s: float
    value: float
    late_value: float
    priority: int
    targets_popular: bool
    prompt_tokens: float
    output_tokens: float
    shared_parts: tuple[tuple[int, int], ...] = ()
    adapter_share: float = 0


@attrs.frozen
class LoadSpec:
    """A deployment and its load; times in seconds from the start of the day.

    At any time, ``len(popular_shares)`` models of ``popular_pool`` are
    popular and receive those shares of the requests. Two of them are replaced
    at each of ``shift_times_s``. The weight store serves
    ``store_concurrency`` loads at full speed. An engine sends an event with
    the first token and with every ``tokens_per_event``-th token.

    ``bursts`` are (start, end, class, rate factor), where an empty class
    stands for all classes. ``replica_losses`` are (start, duration) of
    outages of one replica. At each of ``planner_changes_s`` another gateway
    becomes the planner.
    """

    engine: EngineSpec
    replicas: int
    store_concurrency: int
    tokens_per_event: int
    classes: tuple[RequestClass, ...]
    popular_pool: tuple[str, ...]
    background_models: tuple[str, ...]
    popular_shares: tuple[float, ...]
    shift_times_s: tuple[float, ...]
    bursts: tuple[tuple[float, float, str, float], ...] = ()
    replica_losses: tuple[tuple[float, float], ...] = ()
    planner_changes_s: tuple[float, ...] = ()
    duration_s: float = 40


@attrs.frozen
class Arrival:
    """The first attempt of a request.

    ``time_s`` is the time since the start of the day and ``prompt_parts`` are
    the parts of the prompt as (name, tokens).
    """

    time_s: float
    request_class: RequestClass
    model: str
    adapter: str
    prompt_parts: tuple[tuple[str, int], ...]
    output_tokens: int


def draw_arrivals(
    spec: LoadSpec,
    seed: int,
    rate_factor: float = 1,
) -> list[Arrival]:
    """Return the arrivals of a day in order of time.

    The same seed gives the same arrivals. ``rate_factor`` multiplies all
    request rates.
    """
    rng = random.Random(seed)
    popular = _draw_popular_models(spec, rng)
    arrivals = [
        arrival
        for request_class in spec.classes
        for arrival in _draw_class_arrivals(
            spec, request_class, rate_factor, popular, rng
        )
    ]
    return sorted(arrivals, key=_time_of)


def assign_initial_models(spec: LoadSpec) -> list[tuple[str, ...]]:
    """Return the models that each replica holds at the start of the day.

    Each replica holds one popular model. The other models follow with one copy
    each, as far as memory allows.
    """
    names = [*spec.popular_pool, *spec.background_models]
    popular = names[: len(spec.popular_shares)]
    initial_models = [
        [popular[number % len(popular)]] for number in range(spec.replicas)
    ]
    rest = names[len(popular) :]
    largest = max(model.memory_mb for model in spec.engine.models.values())
    more_per_replica = int(spec.engine.memory_mb // largest) - 1
    for number, model in enumerate(rest[: more_per_replica * spec.replicas]):
        initial_models[number % spec.replicas].append(model)
    return [tuple(models) for models in initial_models]


def _time_of(arrival: Arrival) -> float:
    """Return the sort key of arrivals."""
    return arrival.time_s


def _draw_popular_models(
    spec: LoadSpec,
    rng: random.Random,
) -> list[tuple[float, tuple[str, ...]]]:
    """Return the popular models as (start time in seconds, models).

    Models are in the order of ``popular_shares``.
    """
    current = list(spec.popular_pool[: len(spec.popular_shares)])
    popular = [(0.0, tuple(current))]
    for time_s in spec.shift_times_s:
        candidates = [name for name in spec.popular_pool if name not in current]
        for position in rng.sample(range(len(current)), 2):
            current[position] = candidates.pop(rng.randrange(len(candidates)))
        popular.append((time_s, tuple(current)))
    return popular


def _draw_class_arrivals(
    spec: LoadSpec,
    request_class: RequestClass,
    rate_factor: float,
    popular: list[tuple[float, tuple[str, ...]]],
    rng: random.Random,
) -> Iterator[Arrival]:
    """Draw the arrivals of a class as a Poisson process, by thinning.

    Candidates are drawn at 4 times the mean rate, which must not be below the
    highest product of the sinusoidal variation and the bursts.
    """
    starts_s = [time_s for time_s, _ in popular]
    max_rate_per_s = request_class.requests_per_s * rate_factor * 4
    time_s = 0.0
    while True:
        time_s += rng.expovariate(max_rate_per_s)
        if time_s >= spec.duration_s:
            return
        rate_per_s = (
            request_class.requests_per_s
            * rate_factor
            * _rate_multiplier(spec, request_class, time_s)
        )
        if rng.random() * max_rate_per_s >= rate_per_s:
            continue
        model = rng.choice(spec.background_models)
        if request_class.targets_popular:
            names = popular[bisect.bisect(starts_s, time_s) - 1][1]
            model = rng.choices(names, spec.popular_shares)[0]
        yield _draw_arrival(spec, request_class, time_s, model, rng)


def _rate_multiplier(
    spec: LoadSpec, request_class: RequestClass, time_s: float
) -> float:
    """Return the rate at a time relative to the mean rate of the class."""
    multiplier = 1 + _WAVE_AMPLITUDE * math.sin(
        2 * math.pi * time_s / _WAVE_PERIOD_S
    )
    for start, end, name, burst_factor in spec.bursts:
        if name in {'', request_class.name} and start <= time_s < end:
            multiplier *= burst_factor
    return multiplier


def _draw_arrival(
    spec: LoadSpec,
    request_class: RequestClass,
    time_s: float,
    model: str,
    rng: random.Random,
) -> Arrival:
    """Draw the adapter, the prompt and the output size of a request."""
    adapters = spec.engine.models[model].adapter_names
    adapter = ''
    if adapters and rng.random() < request_class.adapter_share:
        adapter = rng.choice(adapters)
    shared_parts = tuple(
        (f'{request_class.name}-{size}-{rng.randrange(variants)}', size)
        for size, variants in request_class.shared_parts
    )
    unique_tokens = max(
        16, round(_draw_size(request_class.prompt_tokens, 0.9, rng))
    )
    return Arrival(
        time_s,
        request_class,
        model,
        adapter,
        (*shared_parts, (f'own-{rng.random()}', unique_tokens)),
        max(4, round(_draw_size(request_class.output_tokens, 0.8, rng))),
    )


def _draw_size(mean: float, sigma: float, rng: random.Random) -> float:
    """Draw from a log-normal distribution, truncated at 3.4 times the mean."""
    size = rng.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)
    return min(size, 3.4 * mean)
