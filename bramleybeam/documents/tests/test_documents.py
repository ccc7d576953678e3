"""Documents: what is refused, and that none older comes back."""

from pathlib import Path

import attrs
import pytest

from bramleybeam.documents import (
    Adapter,
    Applied,
    ConfigurationKeeper,
    Deployment,
    Document,
    Model,
    Upstream,
    WorkClass,
    check_document,
    decode_document,
    encode_applied,
    read_document_file,
)

GOOD = Document(
    deployment=Deployment('d'),
    classes=(WorkClass('c', 1, 10, idempotent=True),),
    models=(Model('m', 10, 'p', 'c'),),
    adapters=(Adapter('a', 'm', 1, 'c'),),
    upstreams=(Upstream('u', 'p', accelerator_mb=20),),
)


def make_text(revision, document=GOOD):
    """Encode a document as some revision."""
    return encode_applied(Applied(revision, document, 'olive', 0, 'nonce'))


@pytest.mark.parametrize(
    ('changes', 'said'),
    [
        ({'models': (Model('m', 10, 'p'), Model('m', 5, 'p'))}, 'named once'),
        ({'adapters': (Adapter('m', 'm', 1),)}, 'named once'),
        ({'adapters': (Adapter('a', 'x', 1),)}, 'a model of this document'),
        ({'models': (Model('m', 10, 'p', 'x'),)}, 'a class of this document'),
        ({'models': (Model('m', 30, 'p'),)}, 'the largest accelerator'),
        (
            {
                'models': (Model('m', 15, 'p'), Model('n', 15, 'p')),
                'adapters': (),
            },
            'so that all stay resident',
        ),
        ({'drained': ('x',)}, 'an upstream of this document'),
        (
            {'classes': (WorkClass('c', 0, 10, idempotent=True),)},
            'a number from',
        ),
        (
            {'upstreams': (Upstream('u', 'p', 'weird', 20),)},
            'one of engine, service',
        ),
    ],
)
def test_problems_name_place_value_and_remedy(changes, said):
    """Each problem is found, and tells what is allowed."""
    problems = check_document(attrs.evolve(GOOD, **changes))
    assert any(said in str(problem) for problem in problems)


def test_a_good_document_has_no_problems():
    """The base of the table above."""
    assert not check_document(GOOD)


@pytest.mark.parametrize('name', ['permit-office', 'feather-guild'])
def test_the_examples_are_valid(name):
    """Both deployments at the brief's sizes."""
    path = Path('examples') / name / 'deployment.toml'
    assert read_document_file(path).is_ok()


@pytest.mark.parametrize(
    'raw',
    [
        {},
        {'deployment': {'name': 'd'}, 'weights': 1},
        {'deployment': {'name': 'd', 'address': '1.2.3.4'}},
        {'deployment': 3},
    ],
)
def test_unknown_and_missing_keys_are_refused(raw):
    """Operators cannot set what is not theirs to set."""
    outcome = decode_document(raw)
    assert outcome.is_error()
    assert all(str(problem) for problem in outcome.error)


@pytest.mark.parametrize(
    ('offered', 'in_force'),
    [([1], 1), ([1, 3, 2], 3), ([3, 3], 3), ([2, 1, 5, 4], 5)],
)
def test_only_newer_revisions_are_taken(offered, in_force):
    """Whatever the order, the highest stays."""
    keeper = ConfigurationKeeper()
    seen = []
    keeper.subscribe(lambda applied: seen.append(applied.revision))
    for revision in offered:
        keeper.offer(make_text(revision), 'test')
    assert keeper.revision == in_force
    assert seen == sorted(set(seen))


def test_a_bad_document_leaves_the_good_one_in_force():
    """A write past ctl cannot take a process out of service."""
    keeper = ConfigurationKeeper()
    keeper.offer(make_text(1), 'test')
    bad = attrs.evolve(GOOD, drained=('nobody',))
    assert not keeper.offer(make_text(2, bad), 'test')
    assert keeper.revision == 1
    assert keeper.refused == 1
