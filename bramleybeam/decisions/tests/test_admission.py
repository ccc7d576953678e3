"""Whose turn it is, and who is refused early."""

import pytest

from bramleybeam.decisions import (
    Candidate,
    QueuedRequest,
    TokenBucket,
    cannot_meet_deadline,
    expected_wait,
    is_next,
    priority_of,
    share_of,
)
from bramleybeam.documents import WorkClass

QUESTION = QueuedRequest(received_at=0, answer_within_s=0.4, longest_wait_s=5)
DIGEST = QueuedRequest(received_at=0, answer_within_s=600, longest_wait_s=7200)


def make_class(within, longest=100):
    """Make a class of work."""
    return WorkClass('c', within, longest, idempotent=True)


@pytest.mark.parametrize(
    ('mine', 'other', 'now', 'expected'),
    [
        (QUESTION, DIGEST, 0, True),
        (DIGEST, QUESTION, 0, False),
        (QueuedRequest(0, 0.4, 5), QueuedRequest(0.2, 0.4, 5), 0.3, True),
        (QueuedRequest(0, 600, 700), QueuedRequest(399, 0.4, 5), 400, True),
    ],
    ids=['urgent first', 'patient later', 'older first', 'nothing starves'],
)
def test_the_least_slack_goes_first(mine, other, now, expected):
    """Order of waiting requests."""
    assert is_next(mine, [mine, other], now) == expected


@pytest.mark.parametrize(
    ('within', 'priority', 'share'),
    [(0.36, 3, 1), (2, 2, 1), (30, 1, 1), (600, 0, 0.7)],
)
def test_the_target_sets_priority_and_share(within, priority, share):
    """Operators set targets; the rest follows."""
    assert priority_of(make_class(within)) == priority
    assert share_of(make_class(within)) == share


@pytest.mark.parametrize(
    ('ahead', 'time_left', 'expected'),
    [(0, 5, False), (100, 5, True), (100, 500, False)],
)
def test_a_wait_beyond_the_longest_wait_is_hopeless(ahead, time_left, expected):
    """Ten in flight of two seconds each finish five a second."""
    candidates = [Candidate('u', 10, 10, service_s=2)]
    wait = expected_wait(candidates, ahead)
    assert wait == pytest.approx((ahead + 1) / 5)
    assert cannot_meet_deadline(wait, candidates, time_left) == expected


def test_without_knowledge_nothing_is_hopeless():
    """A new entry lets requests wait."""
    assert expected_wait([Candidate('u', 1, 1)], 5) is None
    assert not cannot_meet_deadline(None, [], 0)


def test_a_bucket_keeps_its_rate_and_burst():
    """No more than burst at once, and rate over time."""
    bucket = TokenBucket(rate=2, burst=3)
    assert [bucket.take(0) for _ in range(5)] == [True] * 3 + [False] * 2
    assert bucket.wait_for(0) == pytest.approx(0.5)
    taken = sum(bucket.take(moment / 10) for moment in range(1, 101))
    assert 19 <= taken <= 21
