"""Tests of priorities and the token bucket."""

import pytest

from bramleybeam.decisions import (
    TokenBucket,
    limit_share_of,
    priority_of,
)
from bramleybeam.documents import WorkClass


def make_class(within, longest=100):
    """Return a work class with a latency target of ``within`` seconds."""
    return WorkClass('c', within, longest, idempotent=True)


@pytest.mark.parametrize(
    ('within', 'priority', 'share'),
    [(0.36, 3, 1), (2, 2, 1), (30, 1, 1), (600, 0, 0.7)],
)
def test_latency_target_sets_priority_and_share(within, priority, share):
    """Priority and share of the limit derive from the latency target."""
    assert priority_of(make_class(within)) == priority
    assert limit_share_of(make_class(within)) == share


def test_token_bucket_limits_rate_and_burst():
    """At most ``burst`` tokens are taken at one time, then ``rate`` a second."""
    bucket = TokenBucket(rate=2, burst=3)
    assert [bucket.take(0) for _ in range(5)] == [True] * 3 + [False] * 2
    assert bucket.wait_for(0) == pytest.approx(0.5)
    taken = sum(bucket.take(tenth / 10) for tenth in range(1, 101))
    assert 19 <= taken <= 21
