"""Tests of the places that tolerant requests leave to urgent ones."""

import pytest

from bramleybeam.queueing import UrgentWork, tolerant_places


@pytest.mark.parametrize(
    ('slots', 'places'), [(1, 1), (2, 1), (6, 5), (32, 27), (64, 54)]
)
def test_at_least_one_place_is_free_and_one_is_used(slots, places):
    assert tolerant_places(slots) == places


def test_requests_are_tolerant_only_beside_recent_urgent_ones():
    work = UrgentWork()
    assert not work.is_tolerant(10, 0)
    work.note(10, 0)
    assert not work.is_tolerant(10, 0)
    work.note(0.5, 1)
    work.note(10, 1)
    assert work.is_tolerant(10, 5)
    assert not work.is_tolerant(1.5, 5)
    assert not work.is_tolerant(10, 7)


def test_shortest_target_of_late_is_replaced_when_it_is_old():
    work = UrgentWork()
    work.note(0.1, 0)
    work.note(0.5, 6)
    assert not work.is_tolerant(1, 6)
    assert work.is_tolerant(10, 6)
