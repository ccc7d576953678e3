"""Rates of demand: they rise within seconds and fall slowly."""

import pytest

from bramleybeam.gateway._demand import DemandTable


def add_requests(table, start, seconds, per_s, *, is_latency_tolerant=False):
    """Record evenly spaced requests; return the end time in seconds."""
    for number in range(int(seconds * per_s)):
        requested_at = start + number / per_s
        table.note_request(
            ('m1', ''),
            1000,
            requested_at,
            is_latency_tolerant=is_latency_tolerant,
        )
    return start + seconds


@pytest.mark.parametrize(
    ('is_latency_tolerant', 'min_share'),
    [(False, 0.6), (True, 0.2)],
)
def test_rate_two_seconds_after_demand_starts(is_latency_tolerant, min_share):
    table = DemandTable()
    end = add_requests(
        table, 100, 2, 10, is_latency_tolerant=is_latency_tolerant
    )
    rate = table.total(end).for_model('m1').rate
    assert min_share * 10 <= rate <= 1.2 * 10


def test_rate_falls_slowly_after_demand_stops():
    table = DemandTable()
    end = add_requests(table, 100, 20, 10)
    assert table.total(end + 4).for_model('m1').urgent > 4


def test_adapter_requests_are_counted():
    table = DemandTable()
    table.note_request(('m1', 'a1'), 10, 100, is_latency_tolerant=False)
    table.note_request(('m1', ''), 10, 100, is_latency_tolerant=False)
    demand = table.total(100).for_model('m1')
    assert 0 < demand.adapted < demand.urgent
