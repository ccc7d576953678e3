"""Checks a document as a whole, beyond each parameter's own constraint."""

from collections import Counter
from collections.abc import Iterable, Iterator

from bramleybeam.checks import Problem, check_parameters
from bramleybeam.documents._document import Document


def check_document(document: Document) -> list[Problem]:
    """Return every problem of a document; none means that it may apply."""
    return [
        *check_parameters(document),
        *_check_unique(document),
        *_check_references(document),
        *_check_fits(document),
    ]


def _check_unique(document: Document) -> Iterator[Problem]:
    callable_names = [
        *(model.name for model in document.models),
        *(adapter.name for adapter in document.adapters),
    ]
    yield from _find_repeats('models and adapters', callable_names)
    yield from _find_repeats(
        'classes',
        (work_class.name for work_class in document.classes),
    )
    yield from _find_repeats(
        'upstreams',
        (upstream.name for upstream in document.upstreams),
    )


def _find_repeats(place: str, names: Iterable[str]) -> Iterator[Problem]:
    for name, count in Counter(names).items():
        if count > 1:
            yield Problem(place, name, 'named once', 'Rename one of them.')


def _check_references(document: Document) -> Iterator[Problem]:
    known_classes = {'', *document.classes_by_name}
    for target in document.targets:
        if target.work_class not in known_classes:
            yield Problem(
                f'{target.name}.work_class',
                target.work_class,
                'a class of this document',
            )
    for adapter in document.adapters:
        if adapter.model not in document.models_by_name:
            yield Problem(
                f'{adapter.name}.model',
                adapter.model,
                'a model of this document',
            )
    for name in document.drained:
        if name not in document.upstreams_by_name:
            yield Problem('drained', name, 'an upstream of this document')


def _check_fits(document: Document) -> Iterator[Problem]:
    capacity: Counter[str] = Counter()
    largest: Counter[str] = Counter()
    for upstream in document.upstreams:
        if upstream.kind == 'engine':
            capacity[upstream.pool] += upstream.accelerator_mb
            largest[upstream.pool] = max(
                largest[upstream.pool],
                upstream.accelerator_mb,
            )
    needed: Counter[str] = Counter()
    for model in document.models:
        needed[model.pool] += model.memory_mb
        if model.memory_mb > largest[model.pool]:
            yield Problem(
                f'{model.name}.memory_mb',
                model.memory_mb,
                f'at most {largest[model.pool]} MB, the largest accelerator',
            )
    for pool, amount in needed.items():
        if amount > capacity[pool]:
            yield Problem(
                f'pool {pool}',
                f'{amount} MB of models',
                f'at most {capacity[pool]} MB, so that all stay resident',
                'Add upstreams to the pool or take models out of it.',
            )
