"""Pauses of replicas that refuse requests for lack of capacity."""

import random

import pytest

from bramleybeam.limits import PauseTable

REPLICA = ('e1', 5)
RESTARTED = ('e1', 6)


@pytest.fixture
def table():
    return PauseTable(random.Random(1))


@pytest.mark.parametrize('retry_after_s', [0.5, 2.0, 60.0])
def test_replica_is_paused_for_at_least_the_time_it_asks_for(
    table, retry_after_s
):
    table.note_refusal(REPLICA, retry_after_s, now=10)
    assert table.remaining_s(REPLICA, 10 + retry_after_s - 0.01) > 0
    assert table.is_overloaded(REPLICA, 10)
    # It is not paused for much longer, and a new start not at all.
    assert not table.remaining_s(REPLICA, 10 + retry_after_s * 1.21)
    assert not table.is_overloaded(REPLICA, 10 + retry_after_s * 1.21)
    assert not table.remaining_s(RESTARTED, 10)


def test_later_refusal_never_shortens_a_pause(table):
    table.note_refusal(REPLICA, 4, now=10)
    table.note_refusal(REPLICA, None, now=11)
    table.note_refusal(REPLICA, 0.5, now=12)
    assert table.remaining_s(REPLICA, 13.9) > 0
    assert table.is_overloaded(REPLICA, 13.9)


def test_refusal_without_a_stated_pause_gives_a_short_one(table):
    table.note_refusal(REPLICA, None, now=10)
    assert 0 < table.remaining_s(REPLICA, 10) < 0.25
    # The replica did not ask for it, so other gateways are not told.
    assert not table.is_overloaded(REPLICA, 10)
    assert not table.list_requested(10)


def test_pause_of_another_gateway_is_a_hint_that_ends(table):
    table.learn({REPLICA: 2.0}, now=10)
    assert not table.remaining_s(REPLICA, 11)
    assert table.is_overloaded(REPLICA, 11)
    assert table.list_requested(11) == {REPLICA: 1.0}
    assert not table.is_overloaded(REPLICA, 12)
    assert not table.list_requested(12)


def test_gateways_return_at_different_times():
    ends = set()
    for seed in range(20):
        table = PauseTable(random.Random(seed))
        table.note_refusal(REPLICA, 2, now=0)
        ends.add(round(table.remaining_s(REPLICA, 0), 2))
    assert len(ends) > 10


def test_exchanged_hints_end(table):
    """Two gateways that tell each other do not prolong a pause for ever."""
    other = PauseTable(random.Random(2))
    table.note_refusal(REPLICA, 1, now=0)
    for step in range(40):
        now = step * 0.25
        other.learn(table.list_requested(now), now + 0.01)
        table.learn(other.list_requested(now + 0.02), now + 0.03)
    assert not table.is_overloaded(REPLICA, 3)
    assert not other.is_overloaded(REPLICA, 3)
