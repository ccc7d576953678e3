"""Which replicas a new planner may order, and from when."""

import attrs
import pytest

from bramleybeam.gateway._order_times import OrderTimes


@attrs.define
class Clock:
    now: float = 50

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


def test_own_orders_are_told_while_they_count(clock):
    times = OrderTimes(3, clock)
    times.note_own(['e1'])
    clock.now += 1
    times.note_own(['e2'])
    assert times.ages() == {'e1': 1, 'e2': 0}
    assert not times.is_closed('e1')
    clock.now += 2.5
    assert times.ages() == {'e2': 2.5}


def test_replica_is_closed_after_anothers_order(clock):
    times = OrderTimes(3, clock)
    times.hear({'e1': 1})
    times.hear({'e1': 2.5})
    assert times.is_closed('e1')
    assert not times.is_closed('e2')
    clock.now += 1.9
    assert times.is_closed('e1')
    clock.now += 0.2
    assert not times.is_closed('e1')


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
    times = OrderTimes(3, clock)
    start = clock.now
    for moment in words_at:
        clock.now = start + moment
        times.hear({})
    clock.now = start + asked_at
    assert times.is_complete == is_complete
