"""What requests wait for: kept until it is served, whoever asks."""

import pytest

from bramleybeam.gateway._pending_demand import (
    PendingDemand,
    PendingDemandTable,
)

MODEL = ('m1', '')


@pytest.fixture
def table():
    return PendingDemandTable()


def test_refused_request_counts_until_it_may_be_back(table):
    table.begin(MODEL, 10)
    table.end(MODEL)
    table.note_refused(MODEL, 12, retry_after_s=3)
    assert table.total(15).waiting == {MODEL: 1}
    assert not table.total(16).waiting


def test_want_does_not_fade_because_its_callers_were_refused(table):
    for moment in (10, 18, 26):
        table.begin(MODEL, moment)
        table.end(MODEL)
        table.note_refused(MODEL, moment + 6, retry_after_s=0.1)
        assert not table.total(moment + 7).waiting
    table.begin(MODEL, 34)
    assert table.total(35) == PendingDemand({MODEL: 1}, {MODEL: 25})


def test_served_target_is_wanted_anew(table):
    table.begin(MODEL, 10)
    table.begin(MODEL, 11)
    table.end(MODEL)
    table.note_served(MODEL, 13)
    assert table.total(14) == PendingDemand({MODEL: 1}, {MODEL: 1})
    table.end(MODEL)
    table.note_served(MODEL, 15)
    assert table.total(15) == PendingDemand()


def test_want_of_long_ago_is_forgotten(table):
    table.begin(MODEL, 10)
    table.end(MODEL)
    table.begin(MODEL, 60)
    assert table.total(60).unserved_s == {MODEL: 50}
    table.end(MODEL)
    table.total(80)
    table.begin(MODEL, 81)
    assert table.total(81).unserved_s == {MODEL: 0}


def test_oldest_of_what_children_tell_counts(table):
    table.begin(MODEL, 10)
    table.update_remote(
        'c1', PendingDemand({MODEL: 2}, {MODEL: 7}), expires_at=20
    )
    table.update_remote(
        'c2', PendingDemand({MODEL: 1}, {MODEL: 1}), expires_at=12
    )
    assert table.total(11) == PendingDemand({MODEL: 4}, {MODEL: 7})
    assert table.total(11, excluded_child='c1') == PendingDemand(
        {MODEL: 2}, {MODEL: 1}
    )
    assert table.total(13) == PendingDemand({MODEL: 3}, {MODEL: 7})
