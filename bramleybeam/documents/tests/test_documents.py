"""Documents: which are refused, and that revisions never decrease."""

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

VALID = Document(
    deployment=Deployment('d'),
    classes=(WorkClass('c', 1, 10, idempotent=True),),
    models=(Model('m', 10, 'p', 'c'),),
    adapters=(Adapter('a', 'm', 1, 'c'),),
    upstreams=(Upstream('u', 'p', accelerator_mb=20),),
)


def make_text(revision, document=VALID):
    """Return the encoded text of a document with a given revision."""
    return encode_applied(Applied(revision, document, 'olive', 0, 'nonce'))


@pytest.mark.parametrize(
    ('changes', 'expected_text'),
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
def test_problems_name_what_is_allowed(changes, expected_text):
    """Each invalid document yields a problem that names what is allowed."""
    problems = check_document(attrs.evolve(VALID, **changes))
    assert any(expected_text in str(problem) for problem in problems)


def test_valid_document_has_no_problems():
    """The document that the invalid ones above are derived from is valid."""
    assert not check_document(VALID)


@pytest.mark.parametrize('name', ['permit-office', 'feather-guild'])
def test_example_documents_are_valid(name):
    """Both example deployments, at their full size, pass the checks."""
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
    """Operators cannot set weights or addresses, or leave out a section."""
    outcome = decode_document(raw)
    assert outcome.is_error()
    assert all(str(problem) for problem in outcome.error)


@pytest.mark.parametrize(
    ('offered_revisions', 'in_force'),
    [([1], 1), ([1, 3, 2], 3), ([3, 3], 3), ([2, 1, 5, 4], 5)],
)
def test_only_newer_revisions_come_into_force(offered_revisions, in_force):
    """The highest revision stays in force, in whatever order they arrive."""
    keeper = ConfigurationKeeper()
    notified = []
    keeper.subscribe(lambda applied: notified.append(applied.revision))
    for revision in offered_revisions:
        keeper.offer(make_text(revision), 'test')
    assert keeper.revision == in_force
    assert notified == sorted(set(notified))


def test_invalid_document_leaves_the_valid_one_in_force():
    """A write that bypasses ctl cannot take a process out of service."""
    keeper = ConfigurationKeeper()
    keeper.offer(make_text(1), 'test')
    invalid = attrs.evolve(VALID, drained=('nobody',))
    assert not keeper.offer(make_text(2, invalid), 'test')
    assert keeper.revision == 1
    assert keeper.refused_count == 1
