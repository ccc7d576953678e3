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
        # A tolerant request that has waited is next before it is late.
        (QueuedRequest(0, 400, 700), QueuedRequest(399.8, 0.4, 5), 399.9, True),
        # One that is late already does not delay one that can be on time.
        (QueuedRequest(0, 0.4, 5), QueuedRequest(0.5, 0.4, 5), 0.6, False),
        # It is late in effect if its answer takes longer than is left.
        (QueuedRequest(0, 0.4, 5, 0, 0.3), QUESTION, 0.2, False),
        (QueuedRequest(0, 0.4, 5, priority=1), QUESTION, 0, False),
        # Of the late ones, the one that is closest to its time limit.
        (QueuedRequest(0, 0.4, 2), QueuedRequest(0, 0.4, 5), 1, True),
    ],
)
def test_order_of_two_requests(mine, other, now, expected):
    assert make_queue(other, mine).is_next(mine, now) == expected


def serve_overload(duration_s=60, places_per_s=10):
    """Serve twice as many urgent requests as there are places.

    Each second a request with a distant target and the lowest priority comes.
    Return the served and the expired requests, as (request, time).
    """
    queue = RequestQueue()
    served = []
    expired = []
    for tick in range(duration_s * places_per_s):
        now = tick / places_per_s
        if tick % places_per_s == 0:
            queue.add(QueuedRequest(now, 10, 15, priority=9))
        for _ in range(2):
            queue.add(QueuedRequest(now, 0.45, 1.5))
        for queued in list(queue):
            if queued.time_left(now) < 0:
                queue.discard(queued)
                expired.append((queued, now))
        chosen = queue.in_order(now)[0]
        queue.note_served(chosen, now)
        served.append((chosen, now))
    return served, expired


def test_overload_does_not_make_all_requests_late():
    """Load: twice as many urgent requests as places.

    By slack alone, each place goes to a request that is late already. Here
    late ones get a quarter of the places, and tolerant ones a tenth.
    """
    served, _ = serve_overload()
    on_time = [
        queued
        for queued, at in served
        if queued.answer_within_s < 1 and queued.slack(at) >= 0
    ]
    assert len(on_time) >= 0.6 * len(served)


def test_no_kind_of_request_starves_under_overload():
    """Late requests and those of the lowest priority are answered too."""
    served, expired = serve_overload()
    late = [queued for queued, at in served if queued.slack(at) < 0]
    assert len(late) >= len(served) / 5
    tolerant = sum(queued.priority > 0 for queued, _ in served)
    expired_tolerant = sum(queued.priority > 0 for queued, _ in expired)
    assert tolerant > expired_tolerant / 2
