"""Tests of the expected wait and of early refusal."""

import pytest

from bramleybeam.decisions import Candidate
from bramleybeam.queueing import (
    ServiceTime,
    cannot_meet_deadline,
    count_places_before,
    expected_wait,
    spread_retry,
)


@pytest.mark.parametrize(
    ('ahead', 'time_left', 'expected'),
    [
        (0, 5, False),
        (100, 5, True),
        (100, 500, False),
        # It would be in time if the upstreams were twice as fast.
        (30, 5, False),
    ],
)
def test_expected_wait_beyond_time_left_misses_deadline(
    ahead, time_left, expected
):
    """Ten requests in flight of two seconds each finish five a second."""
    candidates = [Candidate('u', 10, 10, service_s=2)]
    wait = expected_wait(candidates, ahead)
    assert wait == pytest.approx((ahead + 1) / 5)
    assert cannot_meet_deadline(wait, candidates, time_left) == expected


def test_unknown_wait_does_not_miss_deadline():
    """A process without measurements lets requests wait."""
    assert expected_wait([Candidate('u', 1, 1)], 5) is None
    assert not cannot_meet_deadline(None, [], 0)


def test_places_that_go_to_other_gateways_prolong_the_wait():
    candidates = [Candidate('u', 10, 10, service_s=2)]
    assert expected_wait(candidates, 0, share=0.1) == pytest.approx(2)


def test_refused_callers_do_not_return_together():
    assert [spread_retry(4, drawn) for drawn in (0, 0.5, 1)] == [2, 3, 4]


def test_mean_duration_follows_the_newest_requests():
    mean = ServiceTime()
    mean.note(2, now=1)
    assert mean.mean_s == 2
    for number in range(50):
        mean.note(4, now=2 + number)
    assert mean.mean_s == pytest.approx(4, rel=0.01)
    assert mean.noted_at == 51


@pytest.mark.parametrize(
    ('timely', 'late', 'is_late', 'places'),
    [
        (5, 9, False, 5),
        (5, 9, True, 14),
        # One of four places goes to a late request, however many others wait.
        (50, 1, True, 7),
    ],
)
def test_places_that_others_get_before(timely, late, is_late, places):
    assert count_places_before(timely, late, is_late=is_late) == places
