"""Small operators' documents for tests."""

import attrs

from bramleybeam.documents import (
    Adapter,
    Deployment,
    Document,
    Model,
    Upstream,
    WorkClass,
)

CLASSES = (
    WorkClass(
        'question', answer_within_s=1, longest_wait_s=10, idempotent=True
    ),
    WorkClass(
        'posting', answer_within_s=2, longest_wait_s=10, idempotent=False
    ),
)


def make_document(**changes: object) -> Document:
    """Return a document with three engines, three models and a ledger service.

    It also has one adapter. ``changes`` replace fields of the document.
    """
    document = Document(
        deployment=Deployment(
            'test',
            moves_per_hour=3600,
            loads_per_second=50,
            loads_at_once=8,
        ),
        classes=CLASSES,
        models=(
            Model('drafter-a', 1000, 'drafting', 'question'),
            Model('drafter-b', 1000, 'drafting', 'question'),
            Model('poster', 800, 'drafting', 'posting'),
        ),
        adapters=(Adapter('council-a', 'drafter-a', 50, 'question'),),
        upstreams=(
            Upstream('engine-1', 'drafting', accelerator_mb=2500),
            Upstream('engine-2', 'drafting', accelerator_mb=2500),
            Upstream('engine-3', 'drafting', accelerator_mb=2500),
            Upstream('book-1', 'ledger', 'service'),
        ),
    )
    return attrs.evolve(document, **changes)
