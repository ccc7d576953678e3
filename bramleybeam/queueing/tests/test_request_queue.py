"""Tests of the order of waiting requests."""

import pytest

from bramleybeam.queueing import QueuedRequest, RequestQueue

QUESTION = QueuedRequest(received_at=0, answer_within_s=0.4, longest_wait_s=5)
DIGEST = QueuedRequest(received_at=0, answer_within_s=600, longest_wait_s=7200)


def make_queue(*requests):
    queue = RequestQueue()
    for queued in requests:
        queue.add(queued)
    return queue


@pytest.mark.parametrize(
    ('mine', 'other', 'now', 'expected'),
    [
        (QUESTION, DIGEST, 0, True),
        (DIGEST, QUESTION, 0, False),
        (QueuedRequest(0, 0.4, 5), QueuedRequest(0.2, 0.4, 5), 0.3, True),
        (QueuedRequest(0, 600, 700), QueuedRequest(399, 0.4, 5), 400, True),
    ],
    ids=['urgent first', 'tolerant later', 'older first', 'no starvation'],
)
def test_request_with_least_slack_is_next(mine, other, now, expected):
    """The order of queued requests follows their slack."""
    assert make_queue(other, mine).is_next(mine, now) == expected


def test_request_that_has_left_is_not_next():
    queue = make_queue(QUESTION, DIGEST)
    queue.discard(QUESTION)
    assert queue.is_next(DIGEST, 0)
