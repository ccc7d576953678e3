"""Tests of queue time limits, the retry budget and the byte budget."""

import pytest

from bramleybeam.catalog import RequestKind, Route, RouteTarget
from bramleybeam.limits import (
    ByteBudget,
    RetryBudget,
    is_latency_tolerant,
    max_queue_wait,
    stream_idle_timeout,
)


def make_route(kind, timeout_s, objective_s, gap_s=0):
    return Route(
        'r',
        'h',
        '/p/',
        kind,
        (RouteTarget('s', 1),),
        timeout_s,
        objective_s,
        longest_gap_s=gap_s,
    )


@pytest.mark.parametrize(
    ('kind', 'times', 'idle_timeout_s', 'queue_wait_s', 'is_tolerant'),
    [
        (RequestKind.STREAMING, (15, 0.5, 0.3), 2.4, 1.8, False),
        (RequestKind.STREAMING, (20, 2, 0.3), 8, 6, True),
        (RequestKind.STREAMING, (2, 0.5, 0.3), 2.4, 1, False),
        (RequestKind.NON_IDEMPOTENT, (0.8, 0.1), 2, 0.4, False),
    ],
)
def test_queue_wait_ends_before_caller_disconnects(
    kind, times, idle_timeout_s, queue_wait_s, is_tolerant
):
    route = make_route(kind, *times)
    assert stream_idle_timeout(route) == pytest.approx(idle_timeout_s)
    assert max_queue_wait(route, times[0]) == pytest.approx(queue_wait_s)
    assert is_latency_tolerant(route) == is_tolerant


@pytest.mark.parametrize(
    ('requests', 'gateways', 'allowed'),
    [(0, 1, 8), (0, 5, 1), (100, 1, 24), (100, 5, 17)],
)
def test_retries_stay_under_share_of_limit(requests, gateways, allowed):
    budget = RetryBudget(ratio=0.2, allowance=10, window_s=10)
    for _ in range(requests):
        budget.note_request(100)
    taken = [budget.take(100, gateways) for _ in range(50)]
    assert sum(taken) == allowed
    assert not budget.take(109, gateways)
    assert budget.take(120, 1)


def test_retries_of_all_gateways_stay_under_limit():
    budgets = [RetryBudget(0.2, 50, 10) for _ in range(5)]
    sent = 0
    for second in range(40):
        for budget in budgets:
            budget.note_request(second)
            while budget.take(second, len(budgets)):
                sent += 1
    requests = 5 * 10
    assert sent / 4 <= 0.2 * requests + 50


@pytest.mark.parametrize(
    ('sizes', 'seconds', 'expected'),
    [
        # Ten short messages a second: all fit within the rate.
        ([50] * 100, 10, 5000),
        # Ten long messages a second: as many as rate and burst allow.
        ([900] * 100, 10, 10_800),
        # As long as burst plus credit: one immediately, then one per 1.5 s.
        ([1500] * 100, 10, 10_500),
        # Longer than burst plus credit: never sent.
        ([1501] * 100, 10, 0),
    ],
)
def test_byte_budget_limits_rate(sizes, seconds, expected):
    budget = ByteBudget(rate=1000, burst=1000, credit=500)
    sent = 0
    for number, size in enumerate(sizes):
        if budget.take(size, 100 + number * seconds / len(sizes)):
            sent += size
    assert sent == expected


def test_unconditional_message_delays_later_messages():
    budget = ByteBudget(rate=1000, burst=1000, credit=500)
    assert budget.take(1000, 100)
    budget.spend(700, 100)
    assert budget.available_bytes(100) == -200
    assert not budget.take(1, 100.2)
    assert not budget.take(400, 100.5)
    assert budget.take(400, 100.7)
