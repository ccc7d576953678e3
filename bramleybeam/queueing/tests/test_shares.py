"""Tests of the shares of workspaces in the free places."""

from collections import Counter

import pytest

from bramleybeam.queueing import QueuedRequest, RequestQueue
from bramleybeam.queueing._shares import MAX_DELAY_S, WorkspaceShares

# Requests per second and tokens of each request, by workspace.
USUAL = {'large': (8, 1000), 'small': (1, 1500), 'other': (3, 1000)}
TICKS_PER_S = 20


def send(queue, due, now, large_rate):
    """Add the requests of one tick; ``due`` counts those not sent yet."""
    for name, (usual_rate, tokens) in USUAL.items():
        rate = large_rate if name == 'large' else usual_rate
        due[name] += rate / TICKS_PER_S
        while due[name] >= 1:
            due[name] -= 1
            queue.add(QueuedRequest(now, 0.5, 1.5, 0, 0, name, tokens))


def serve(burst_factor, places_per_s=14):
    """Return the requests on time by workspace, from 30 s to 60 s.

    From 30 s on, ``large`` sends ``burst_factor`` times its usual load.
    """
    queue = RequestQueue()
    counts = Counter()
    due = Counter()
    places = 0.0
    for tick in range(60 * TICKS_PER_S):
        now = tick / TICKS_PER_S
        factor = burst_factor if now >= 30 else 1
        send(queue, due, now, USUAL['large'][0] * factor)
        for queued in list(queue):
            if queued.time_left(now) < 0:
                queue.discard(queued)
        places = min(places, 1) + places_per_s / TICKS_PER_S
        for chosen in queue.in_order(now)[: int(places)]:
            places -= 1
            queue.note_served(chosen, now)
            is_counted = now >= 30 and chosen.slack(now) >= 0
            counts[chosen.workspace] += is_counted
    return counts


def test_workspace_with_ten_times_its_load_delays_itself():
    """Load: the largest workspace sends ten times its usual load.

    By slack alone, the others were served by their share of the requests.
    """
    without = serve(burst_factor=1)
    beside = serve(burst_factor=10)
    for name in ('small', 'other'):
        assert beside[name] >= 0.5 * without[name]
    assert beside['large'] >= without['large'] * 0.5


def test_usual_load_is_not_delayed():
    shares = WorkspaceShares()
    for tick in range(600):
        shares.note('large', 1000, tick / 10)
        if tick % 50 == 0:
            shares.note('rare', 3000, tick / 10)
    assert not shares.delay_s('large', 60)
    assert not shares.delay_s('rare', 60)


def test_delay_is_limited_and_ends_with_the_burst():
    shares = WorkspaceShares()
    for tick in range(300):
        shares.note('a', 100, tick / 10)
        shares.note('b', 100, tick / 10)
    for _ in range(5000):
        shares.note('a', 100, 30)
    assert shares.delay_s('a', 30) == pytest.approx(MAX_DELAY_S)
    assert not shares.delay_s('b', 30)
    assert not shares.delay_s('a', 30 + MAX_DELAY_S + 1)


def test_idle_workspaces_are_forgotten():
    shares = WorkspaceShares()
    for number in range(1000):
        shares.note(f'w{number}', 100, number)
    assert len(shares._loads) < 200
