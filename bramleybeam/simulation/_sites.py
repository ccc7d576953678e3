"""The deployments that the days are played on, as the users tell them."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

import attrs

from bramleybeam.catalog import EngineSpec, ModelSpec
from bramleybeam.simulation._arrivals import LoadSpec, RequestClass

_MEMORY_MB: Final = 230_000
_ADAPTER_PLACES: Final = 8
_SHARES: Final = (0.42, 0.228, 0.187, 0.165)
_SHIFTS: Final = (1.0, 6.5, 14.0, 19.5, 24.0, 29.5)
_GROWN_SHARES: Final = (
    0.17, 0.092, 0.076, 0.067, 0.061, 0.056, 0.053, 0.05, 0.047,
    0.045, 0.043, 0.042, 0.041, 0.04, 0.039, 0.038, 0.037,
)  # fmt: skip
_GROWN_SHIFTS: Final = (1.0, 3.5, 6.0, 8.5, 16.0, 18.5, 21.0, 24.0, 27.0, 30.0)


def _make_models(count: int, adapters: int) -> dict[str, ModelSpec]:
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


def _make_grown_models(count: int, moving: int) -> dict[str, ModelSpec]:
    """Make models of which each second moving one has adapters."""
    models = _make_models(count, 0)
    return {
        name: attrs.evolve(
            model,
            adapters=max(2, 80 // (2 + number)) * (number % 2 == 0),
        )
        if number < moving
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
    store_at_once: int,
    engine: EngineSpec,
    classes: tuple[RequestClass, ...],
    tokens_per_event: int,
    moving: int = 10,
) -> LoadSpec:
    names = tuple(engine.models)
    return LoadSpec(
        engine=engine,
        replicas=replicas,
        store_at_once=store_at_once,
        tokens_per_event=tokens_per_event,
        classes=classes,
        moving=names[:moving],
        resting=names[moving:],
        shares=_SHARES,
        shifts=_SHIFTS,
        bursts=((2, 7, 'patient', 2.0), (6, 9, 'short', 1.9)),
        losses=((11, 4), (25, 5)),
    )


def _make_classes(
    rates: tuple[float, float, float],
    outputs: tuple[float, float],
    late: float,
    gap_s: float,
) -> tuple[RequestClass, ...]:
    long_shared = ((210, 3), (140, 63))
    return (
        RequestClass(
            'long', rates[0], 0.5, 15, gap_s, 1.9, 1.9 * late, 1,
            True, 1110, outputs[0], long_shared, 0.1,
        ),
        RequestClass(
            'patient', rates[1], 2, 20, gap_s, 1.9, 1.9 * late, 1,
            False, 1110, outputs[0], ((210, 1), (140, 2)),
        ),
        RequestClass(
            'short', rates[2], 0.4, 10, gap_s, 1.4, 1.4 * late, 0,
            True, 491, outputs[1], ((93, 3), (62, 56)), 0.5,
        ),
    )  # fmt: skip


SITES: Final[Mapping[str, LoadSpec]] = MappingProxyType(
    {
        'permits': _make_site(
            replicas=6,
            store_at_once=4,
            engine=_make_engine(64, 147_322, 1.8, _make_models(26, 20)),
            classes=_make_classes((22.3, 3.1, 13.3), (172, 70), 0.3, 0.25),
            tokens_per_event=2,
        ),
        'guild': _make_site(
            replicas=9,
            store_at_once=5,
            engine=_make_engine(48, 120_435, 2.4, _make_models(34, 30)),
            classes=_make_classes((27.9, 3.9, 16.7), (171, 69), 0.5, 0.3),
            tokens_per_event=3,
        ),
        'grown-permits': attrs.evolve(
            _make_site(
                replicas=25,
                store_at_once=19,
                engine=_make_engine(
                    48, 96_266, 8.5, _make_grown_models(108, 41)
                ),
                classes=_make_classes((111, 15.4, 66.3), (172, 69), 0.3, 0.3),
                tokens_per_event=3,
                moving=41,
            ),
            shares=_GROWN_SHARES,
            shifts=_GROWN_SHIFTS,
            losses=((4, 4), (15, 3), (24, 4)),
            length_s=34,
        ),
    }
)
