"""Checks the parameters of a document and the relations between them.

Names have to be unique, references have to resolve, and the models of a pool
have to fit into the memory of its accelerators.
"""

from collections import Counter
from collections.abc import Iterable, Iterator

from bramleybeam.checks import Problem, check_parameters
from bramleybeam.documents._document import Document


def check_document(document: Document) -> list[Problem]:
    """Return every problem of a document; a valid document has none."""
    return [
        *check_parameters(document),
        *_check_unique_names(document),
        *_check_references(document),
        *_check_capacity(document),
    ]


def _check_unique_names(document: Document) -> Iterator[Problem]:
    target_names = [
        *(model.name for model in document.models),
        *(adapter.name for adapter in document.adapters),
    ]
    yield from _find_duplicates('models and adapters', target_names)
    yield from _find_duplicates(
        'classes',
        (work_class.name for work_class in document.classes),
    )
    yield from _find_duplicates(
        'upstreams',
        (upstream.name for upstream in document.upstreams),
    )


def _find_duplicates(location: str, names: Iterable[str]) -> Iterator[Problem]:
    for name, count in Counter(names).items():
        if count > 1:
            yield Problem(location, name, 'named once', 'Rename one of them.')


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


def _check_capacity(document: Document) -> Iterator[Problem]:
    # Accelerator memory of each pool in MB: the sum, and the largest engine's.
    capacity_mb: Counter[str] = Counter()
    largest_mb: Counter[str] = Counter()
    for upstream in document.upstreams:
        if upstream.kind == 'engine':
            capacity_mb[upstream.pool] += upstream.accelerator_mb
            largest_mb[upstream.pool] = max(
                largest_mb[upstream.pool],
                upstream.accelerator_mb,
            )
    required_mb: Counter[str] = Counter()
    for model in document.models:
        required_mb[model.pool] += model.memory_mb
        if model.memory_mb > largest_mb[model.pool]:
            yield Problem(
                f'{model.name}.memory_mb',
                model.memory_mb,
                f'at most {largest_mb[model.pool]} MB, the largest accelerator',
            )
    for pool, models_mb in required_mb.items():
        if models_mb > capacity_mb[pool]:
            yield Problem(
                f'pool {pool}',
                f'{models_mb} MB of models',
                f'at most {capacity_mb[pool]} MB, so that all stay resident',
                'Add upstreams to the pool or take models out of it.',
            )
