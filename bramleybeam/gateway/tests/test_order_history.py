"""Which replicas a new planner may order, and from when."""

import pytest

from bramleybeam.gateway._order_history import OrderHistory


def test_own_orders_are_told_while_they_count(clock):
    times = OrderHistory(3, clock)
    times.note_local(['e1'])
    clock.now += 1
    times.note_local(['e2'])
    assert times.list_ages() == {'e1': 1, 'e2': 0}
    assert not times.is_in_cooldown('e1')
    clock.now += 2.5
    assert times.list_ages() == {'e2': 2.5}


def test_replica_is_closed_after_anothers_order(clock):
    times = OrderHistory(3, clock)
    times.merge_remote({'e1': 1})
    times.merge_remote({'e1': 2.5})
    assert times.is_in_cooldown('e1')
    assert not times.is_in_cooldown('e2')
    clock.now += 1.9
    assert times.is_in_cooldown('e1')
    clock.now += 0.2
    assert not times.is_in_cooldown('e1')


@pytest.mark.parametrize(
    ('words_at', 'asked_at', 'is_complete'),
    [
        ((), 10, False),
        # Heard without a gap for longer than an order counts.
        ((0, 1, 2, 3.1), 4, True),
        ((0, 1, 2), 2.9, False),
        # Orders may have been given in the gap.
        ((0, 1, 2, 4, 5), 5.5, False),
        ((0, 1, 2, 4, 5, 6, 7.1), 7.5, True),
        # Nor is it known what the planner did after its last word.
        ((0, 1, 2, 3.1), 6.2, False),
    ],
)
def test_knows_all_only_after_listening_for_a_pause(
    clock, words_at, asked_at, is_complete
):
    times = OrderHistory(3, clock)
    start = clock.now
    for moment in words_at:
        clock.now = start + moment
        times.merge_remote({})
    clock.now = start + asked_at
    assert times.is_complete == is_complete


def test_orders_in_a_row_are_announced_ahead_by_one_message(clock):
    times = OrderHistory(3, clock)
    other = OrderHistory(3, clock)
    announced = 0
    for _ in range(40):
        ages = times.note_local(['e1'])
        announced += bool(ages)
        if ages:
            other.merge_remote(ages)
        clock.now += 0.1
    assert announced == 4
    # Closed for a pause after the last order, and at most a second longer.
    clock.now += 2.85
    assert other.is_in_cooldown('e1')
    clock.now += 1.1
    assert not other.is_in_cooldown('e1')


def test_repeated_order_is_announced_again(clock):
    times = OrderHistory(3, clock)
    assert times.note_local(['e1'])
    assert not times.note_local(['e1'])
    times.reset_announcements(['e1'])
    assert times.note_local(['e1'])
