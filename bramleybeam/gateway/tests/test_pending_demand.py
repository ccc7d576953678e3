"""Pending demand: kept until it is served, across requests and refusals."""

import pytest

from bramleybeam.gateway._pending_demand import (
    PendingDemand,
    PendingDemandTable,
)

MODEL = ('m1', '')


@pytest.fixture
def table():
    return PendingDemandTable()


def test_refused_request_counts_until_its_expected_retry(table):
    table.begin(MODEL, 10)
    table.end(MODEL)
    table.note_refused(MODEL, 12, retry_after_s=3)
    assert table.total(15).waiting == {MODEL: 1}
    assert not table.total(16).waiting


def test_unserved_time_is_kept_when_requests_are_refused(table):
    for started_at in (10, 18, 26):
        table.begin(MODEL, started_at)
        table.end(MODEL)
        table.note_refused(MODEL, started_at + 6, retry_after_s=0.1)
        assert not table.total(started_at + 7).waiting
    table.begin(MODEL, 34)
    assert table.total(35) == PendingDemand({MODEL: 1}, {MODEL: 25})


def test_unserved_time_restarts_when_a_request_is_served(table):
    table.begin(MODEL, 10)
    table.begin(MODEL, 11)
    table.end(MODEL)
    table.note_served(MODEL, 13)
    assert table.total(14) == PendingDemand({MODEL: 1}, {MODEL: 1})
    table.end(MODEL)
    table.note_served(MODEL, 15)
    assert table.total(15) == PendingDemand()


def test_unserved_time_is_forgotten_without_requests(table):
    table.begin(MODEL, 10)
    table.end(MODEL)
    table.begin(MODEL, 60)
    assert table.total(60).unserved_s == {MODEL: 50}
    table.end(MODEL)
    table.total(80)
    table.begin(MODEL, 81)
    assert table.total(81).unserved_s == {MODEL: 0}


def test_longest_unserved_time_of_the_children_counts(table):
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
