"""Deployments to simulate, with the figures that their operators stated."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

import attrs

from bramleybeam.catalog import EngineSpec, ModelSpec
from bramleybeam.simulation._arrivals import LoadSpec, RequestClass

# Accelerator memory and adapter places of a replica, at all sites.
_MEMORY_MB: Final = 230_000
_ADAPTER_PLACES: Final = 8
# Shares of the requests that the popular models receive, and times in seconds
# at which two of these models are replaced.
_POPULAR_SHARES: Final = (0.42, 0.228, 0.187, 0.165)
_SHIFT_TIMES_S: Final = (1.0, 6.5, 14.0, 19.5, 24.0, 29.5)
# The same for the grown site, which has more replicas, models and adapters.
_GROWN_POPULAR_SHARES: Final = (
    0.17, 0.092, 0.076, 0.067, 0.061, 0.056, 0.053, 0.05, 0.047,
    0.045, 0.043, 0.042, 0.041, 0.04, 0.039, 0.038, 0.037,
)  # fmt: skip
_GROWN_SHIFT_TIMES_S: Final = (
    1.0,
    3.5,
    6.0,
    8.5,
    16.0,
    18.5,
    21.0,
    24.0,
    27.0,
    30.0,
)


def _make_models(count: int, adapters: int) -> dict[str, ModelSpec]:
    """Return models of two sizes by name.

    Each third one is small and has ``adapters`` adapters, the others half.
    """
    models = {}
    for number in range(count):
        name = f'm{number:02}'
        if number % 3:
            models[name] = ModelSpec(
                name, 72_700, 2.4, 1.6, 1.2, adapters // 2, 66
            )
        else:
            models[name] = ModelSpec(name, 65_100, 2.2, 1.4, 1.1, adapters, 12)
    return models


def _make_grown_models(count: int, pool_size: int) -> dict[str, ModelSpec]:
    """Return models by name, with adapters for every second popular one.

    The first ``pool_size`` models form the pool of popular models. Its first
    models have the most adapters.
    """
    models = _make_models(count, 0)
    return {
        name: attrs.evolve(
            model,
            adapters=max(2, 80 // (2 + number)) * (number % 2 == 0),
        )
        if number < pool_size
        else model
        for number, (name, model) in enumerate(models.items())
    }


def _make_engine(
    slots: int,
    cache_tokens: int,
    loads_per_s: float,
    models: dict[str, ModelSpec],
) -> EngineSpec:
    return EngineSpec(
        slots, cache_tokens, _MEMORY_MB, _ADAPTER_PLACES, loads_per_s, models
    )


def _make_site(
    *,
    replicas: int,
    store_concurrency: int,
    engine: EngineSpec,
    classes: tuple[RequestClass, ...],
    tokens_per_event: int,
    pool_size: int = 10,
) -> LoadSpec:
    names = tuple(engine.models)
    return LoadSpec(
        engine=engine,
        replicas=replicas,
        store_concurrency=store_concurrency,
        tokens_per_event=tokens_per_event,
        classes=classes,
        popular_pool=names[:pool_size],
        background_models=names[pool_size:],
        popular_shares=_POPULAR_SHARES,
        shift_times_s=_SHIFT_TIMES_S,
        bursts=((2, 7, 'patient', 2.0), (6, 9, 'short', 1.9)),
        replica_losses=((11, 4), (25, 5)),
    )


def _make_classes(
    requests_per_s: tuple[float, float, float],
    output_tokens: tuple[float, float],
    late_share: float,
    longest_gap_s: float,
) -> tuple[RequestClass, ...]:
    """Return the request classes ``long``, ``patient`` and ``short``.

    ``requests_per_s`` are their rates, and ``output_tokens`` the mean output
    sizes of the first two and of ``short``. A late response earns
    ``late_share`` of the value.
    """
    long_shared = ((210, 3), (140, 63))
    return (
        RequestClass(
            'long', requests_per_s[0], 0.5, 15, longest_gap_s,
            1.9, 1.9 * late_share, 1,
            True, 1110, output_tokens[0], long_shared, 0.1,
        ),
        RequestClass(
            'patient', requests_per_s[1], 2, 20, longest_gap_s,
            1.9, 1.9 * late_share, 1,
            False, 1110, output_tokens[0], ((210, 1), (140, 2)),
        ),
        RequestClass(
            'short', requests_per_s[2], 0.4, 10, longest_gap_s,
            1.4, 1.4 * late_share, 0,
            True, 491, output_tokens[1], ((93, 3), (62, 56)), 0.5,
        ),
    )  # fmt: skip


SITES: Final[Mapping[str, LoadSpec]] = MappingProxyType(
    {
        'permits': _make_site(
            replicas=6,
            store_concurrency=4,
            engine=_make_engine(64, 147_322, 1.8, _make_models(26, 20)),
            classes=_make_classes((22.3, 3.1, 13.3), (172, 70), 0.3, 0.25),
            tokens_per_event=2,
        ),
        'guild': _make_site(
            replicas=9,
            store_concurrency=5,
            engine=_make_engine(48, 120_435, 2.4, _make_models(34, 30)),
            classes=_make_classes((27.9, 3.9, 16.7), (171, 69), 0.5, 0.3),
            tokens_per_event=3,
        ),
        'grown-permits': attrs.evolve(
            _make_site(
                replicas=25,
                store_concurrency=19,
                engine=_make_engine(
                    48, 96_266, 8.5, _make_grown_models(108, 41)
                ),
                classes=_make_classes((111, 15.4, 66.3), (172, 69), 0.3, 0.3),
                tokens_per_event=3,
                pool_size=41,
            ),
            popular_shares=_GROWN_POPULAR_SHARES,
            shift_times_s=_GROWN_SHIFT_TIMES_S,
            replica_losses=((4, 4), (15, 3), (24, 4)),
            duration_s=34,
        ),
    }
)
