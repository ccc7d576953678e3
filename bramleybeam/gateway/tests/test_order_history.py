"""To which replicas a new planner may send orders, and from when."""

import pytest

from bramleybeam.gateway._order_history import OrderHistory


def test_local_orders_are_listed_during_the_cooldown(clock):
    history = OrderHistory(3, clock)
    history.note_local(['e1'])
    clock.now += 1
    history.note_local(['e2'])
    assert history.list_ages() == {'e1': 1, 'e2': 0}
    assert not history.is_in_cooldown('e1')
    clock.now += 2.5
    assert history.list_ages() == {'e2': 2.5}


def test_replica_is_in_cooldown_after_a_remote_order(clock):
    history = OrderHistory(3, clock)
    history.merge_remote({'e1': 1})
    history.merge_remote({'e1': 2.5})
    assert history.is_in_cooldown('e1')
    assert not history.is_in_cooldown('e2')
    clock.now += 1.9
    assert history.is_in_cooldown('e1')
    clock.now += 0.2
    assert not history.is_in_cooldown('e1')


@pytest.mark.parametrize(
    ('updates_at', 'checked_at', 'is_complete'),
    [
        ((), 10, False),
        # Updates without a gap for longer than the cooldown.
        ((0, 1, 2, 3.1), 4, True),
        ((0, 1, 2), 2.9, False),
        # Orders may have been sent in the gap.
        ((0, 1, 2, 4, 5), 5.5, False),
        ((0, 1, 2, 4, 5, 6, 7.1), 7.5, True),
        # Orders may have been sent after the last update.
        ((0, 1, 2, 3.1), 6.2, False),
    ],
)
def test_history_is_complete_after_updates_for_a_full_cooldown(
    clock, updates_at, checked_at, is_complete
):
    history = OrderHistory(3, clock)
    start = clock.now
    for update_at in updates_at:
        clock.now = start + update_at
        history.merge_remote({})
    clock.now = start + checked_at
    assert history.is_complete == is_complete


def test_consecutive_orders_share_an_announcement(clock):
    history = OrderHistory(3, clock)
    remote_history = OrderHistory(3, clock)
    announced = 0
    for _ in range(40):
        ages = history.note_local(['e1'])
        announced += bool(ages)
        if ages:
            remote_history.merge_remote(ages)
        clock.now += 0.1
    assert announced == 4
    # In the cooldown after the last order, and at most a second longer.
    clock.now += 2.85
    assert remote_history.is_in_cooldown('e1')
    clock.now += 1.1
    assert not remote_history.is_in_cooldown('e1')


def test_repeated_order_is_announced_again(clock):
    history = OrderHistory(3, clock)
    assert history.note_local(['e1'])
    assert not history.note_local(['e1'])
    history.reset_announcements(['e1'])
    assert history.note_local(['e1'])
