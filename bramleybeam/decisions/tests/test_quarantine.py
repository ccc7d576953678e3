"""Tests of suspicion and quarantine after crashes."""

import pytest

from bramleybeam.decisions import (
    Crash,
    SeesOwnRequests,
    SuspectTable,
    Suspicion,
)
from bramleybeam.decisions._crash_evidence import MAX_TRIALS
from bramleybeam.decisions._quarantine import QUARANTINE_S


@pytest.mark.parametrize(
    ('crashes', 'expected'),
    [
        ([], Suspicion.NONE),
        ([('p',)], Suspicion.ALONE),
        ([('p', 'q')], Suspicion.ALONE),
        ([('p', 'q'), ('p',)], Suspicion.QUARANTINED),
        ([('p', 'q'), ('p', 'r')], Suspicion.ALONE),
        ([('p', 'q'), ('q',)], Suspicion.ALONE),
        ([('p', 'q'), ('p',), ('p', 'r')], Suspicion.QUARANTINED),
    ],
)
def test_suspicion_after_crashes(crashes, expected):
    """Only a second crash with no other request in flight quarantines."""
    table = SuspectTable()
    for in_flight in crashes:
        table.note_crash(in_flight, now=0)
    assert table.suspicion_of('p', now=1) == expected


def test_finish_clears_suspicion_but_not_quarantine():
    """A quarantine ends only when its time is over."""
    table = SuspectTable()
    table.note_crash(('p', 'q'), now=0)
    table.clear('q')
    assert table.suspicion_of('q', now=1) == Suspicion.NONE
    table.note_crash(('p',), now=1)
    table.clear('p')
    assert table.suspicion_of('p', now=2) == Suspicion.QUARANTINED
    assert table.suspicion_of('p', now=2 + QUARANTINE_S) == Suspicion.NONE


def test_table_size_is_limited():
    """Suspects beyond the limit evict the oldest ones."""
    table = SuspectTable()
    table.note_crash((f'f{index}' for index in range(6000)), now=0)
    assert len(table) == 5000


def crash(name, sent_at, at):
    """Return a crash ``name`` that interrupted a request sent before."""
    return Crash(name, sent_at, at)


@pytest.mark.parametrize(
    ('crashes', 'expected'),
    [
        ([('a', 0, 1)], Suspicion.ALONE),
        ([('a', 0, 1), ('b', 2, 3)], Suspicion.ALONE),
        ([('a', 0, 1), ('b', 1, 2), ('c', 2, 3)], Suspicion.QUARANTINED),
        # The same crash reported by two hosts counts once.
        ([('a', 0, 1), ('b', 2, 3), ('b', 2, 3)], Suspicion.ALONE),
        # Many upstreams that crash at the same moment may have another cause.
        ([('a', 0, 1), ('b', 0, 1.1), ('c', 0, 1.2)], Suspicion.ALONE),
        (
            [('a', 0, 1), ('b', 0, 1.1), ('c', 0, 1.2), ('d', 2, 3)],
            Suspicion.ALONE,
        ),
        (
            [(name, 0, 1) for name in 'abcd'] + [('e', 2, 3)],
            Suspicion.QUARANTINED,
        ),
    ],
)
def test_suspicion_by_independent_crashes(crashes, expected):
    """A host that sees only its own requests counts independent crashes."""
    table = SuspectTable(SeesOwnRequests())
    for row in crashes:
        table.add('p', crash(*row), now=4)
    assert table.suspicion_of('p', now=5) == expected


def quarantine(table, key='p', at=0):
    """Record three independent crashes of one suspect."""
    for number in range(3):
        sent_at = at + number
        row = crash(f'{key}{number}', sent_at, sent_at + 0.5)
        table.add(key, row, now=sent_at + 0.5)


def test_finish_lifts_a_quarantine_by_counted_crashes():
    """Reports of the same crashes, which arrive later, change nothing."""
    table = SuspectTable(SeesOwnRequests())
    quarantine(table)
    assert table.clear('p', now=4) == {'p0', 'p1', 'p2'}
    assert table.suspicion_of('p', now=4) == Suspicion.NONE
    quarantine(table)
    assert table.suspicion_of('p', now=4) == Suspicion.NONE


def test_trials_are_few_and_one_at_a_time():
    table = SuspectTable(SeesOwnRequests())
    quarantine(table)
    now = 3.0
    trials = 0
    for _ in range(2000):
        now += 10
        if table.take_trial('p', now, is_ambiguous=False):
            assert not table.take_trial('p', now, is_ambiguous=False)
            trials += 1
            table.add('p', crash(f't{trials}', now, now + 1), now + 1)
    assert trials == MAX_TRIALS


def test_flood_of_suspects_does_not_evict_a_quarantined_one():
    table = SuspectTable(SeesOwnRequests())
    quarantine(table)
    for number in range(6000):
        table.add(f'f{number}', crash('x', 4, 5), now=5)
    assert len(table) == 5000
    assert table.suspicion_of('p', now=6) == Suspicion.QUARANTINED


def test_suspect_of_rare_crashes_is_tried_again():
    """The time between the crashes that confirm it does not count as trials."""
    table = SuspectTable(SeesOwnRequests())
    for number in range(3):
        at = number * 200
        table.add('p', crash(f'c{number}', at, at + 1), now=at + 1)
    assert table.suspicion_of('p', now=402) == Suspicion.QUARANTINED
    assert table.take_trial('p', 530, is_ambiguous=False)


def test_what_is_kept_of_one_suspect_is_limited():
    """A part of all prompts is in flight at each crash, and cleared again."""
    table = SuspectTable(SeesOwnRequests())
    for number in range(500):
        table.add('p', crash(f'c{number}', number, number + 0.5), now=number)
        table.clear('p', now=number + 0.6)
    suspect = table.list_changed(0)['p']
    assert len(suspect.cleared) < 50
    assert 'c499' in suspect.cleared
