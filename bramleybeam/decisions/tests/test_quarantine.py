"""Tests of suspicion and quarantine after crashes."""

import pytest

from bramleybeam.decisions import SuspectTable, Suspicion
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
