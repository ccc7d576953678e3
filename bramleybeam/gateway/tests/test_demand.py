"""Rates of demand: they rise in seconds and fall slowly."""

import pytest

from bramleybeam.gateway._demand import DemandTable


def offer(table, start, seconds, per_s, *, is_latency_tolerant=False):
    """Count evenly spaced requests; return the moment of the last."""
    for number in range(int(seconds * per_s)):
        moment = start + number / per_s
        table.note_request(
            ('m1', ''), 1000, moment, is_latency_tolerant=is_latency_tolerant
        )
    return start + seconds


@pytest.mark.parametrize(
    ('is_latency_tolerant', 'least_share'),
    [(False, 0.6), (True, 0.2)],
)
def test_rate_two_seconds_after_demand_came(is_latency_tolerant, least_share):
    table = DemandTable()
    end = offer(table, 100, 2, 10, is_latency_tolerant=is_latency_tolerant)
    rate = table.total(end).for_model('m1').rate
    assert least_share * 10 <= rate <= 1.2 * 10


def test_rate_falls_slowly_after_demand_went():
    table = DemandTable()
    end = offer(table, 100, 20, 10)
    assert table.total(end + 4).for_model('m1').urgent > 4


def test_adapters_are_counted():
    table = DemandTable()
    table.note_request(('m1', 'a1'), 10, 100, is_latency_tolerant=False)
    table.note_request(('m1', ''), 10, 100, is_latency_tolerant=False)
    demand = table.total(100).for_model('m1')
    assert 0 < demand.adapted < demand.urgent
