"""Patience by route, and the retry budget over a window."""

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
    ('kind', 'times', 'quiet', 'patience', 'patient'),
    [
        (RequestKind.STREAMING, (15, 0.5, 0.3), 2.4, 1.8, False),
        (RequestKind.STREAMING, (20, 2, 0.3), 8, 6, True),
        (RequestKind.STREAMING, (2, 0.5, 0.3), 2.4, 1, False),
        (RequestKind.NON_IDEMPOTENT, (0.8, 0.1), 2, 0.4, False),
    ],
)
def test_patience_ends_before_callers_leave(
    kind, times, quiet, patience, patient
):
    route = make_route(kind, *times)
    assert stream_idle_timeout(route) == pytest.approx(quiet)
    assert max_queue_wait(route, times[0]) == pytest.approx(patience)
    assert is_latency_tolerant(route) == patient


@pytest.mark.parametrize(
    ('requests', 'gateways', 'allowed'),
    [(0, 1, 8), (0, 5, 1), (100, 1, 24), (100, 5, 17)],
)
def test_repeats_stay_under_a_share_of_the_bound(requests, gateways, allowed):
    budget = RetryBudget(ratio=0.2, allowance=10, window_s=10)
    for _ in range(requests):
        budget.note_request(100)
    taken = [budget.take(100, gateways) for _ in range(50)]
    assert sum(taken) == allowed
    assert not budget.take(109, gateways)
    assert budget.take(120, 1)


def test_gateways_together_keep_the_bound():
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
        # Short messages, ten a second: all fit within the rate.
        ([50] * 100, 10, 5000),
        # Long ones, ten a second: as many as the rate and the burst allow.
        ([900] * 100, 10, 10_800),
        # As long as the burst and the credit: one at once, then each 1.5 s.
        ([1500] * 100, 10, 10_500),
        # Longer than both: never.
        ([1501] * 100, 10, 0),
    ],
)
def test_byte_budget_holds_its_rate(sizes, seconds, expected):
    budget = ByteBudget(rate=1000, burst=1000, credit=500)
    sent = 0
    for number, size in enumerate(sizes):
        if budget.take(size, 100 + number * seconds / len(sizes)):
            sent += size
    assert sent == expected


def test_message_that_cannot_wait_is_made_up_for_later():
    budget = ByteBudget(rate=1000, burst=1000, credit=500)
    assert budget.take(1000, 100)
    budget.spend(700, 100)
    assert budget.room(100) == -200
    assert not budget.take(1, 100.2)
    assert not budget.take(400, 100.5)
    assert budget.take(400, 100.7)
