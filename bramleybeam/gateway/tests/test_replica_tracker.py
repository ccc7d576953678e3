"""The planner's view of a replica after each order and report."""

import pytest

from bramleybeam.catalog import Holdings, Replica, ReplicaState
from bramleybeam.gateway._replica_tracker import ReplicaTracker
from bramleybeam.orders import (
    LoadAdapter,
    LoadModel,
    UnloadAdapter,
    UnloadModel,
)


def make_replica(*models):
    adapters_by_model = {name: frozenset() for name in models}
    return Replica(
        'e1',
        'engine',
        '127.0.0.1:9',
        'a',
        ReplicaState.READY,
        4,
        5,
        Holdings(0, adapters_by_model),
    )


@pytest.fixture
def tracker():
    replica = make_replica('m1')
    return ReplicaTracker(replica, Holdings(3, {'m1': frozenset(('a1',))}))


def test_load_takes_effect_when_the_entry_shows_it(tracker):
    tracker.note_accepted(LoadModel('e1', 'm2'), 10, done=False)
    assert not tracker.accepts_orders
    assert tracker.holdings.sequence == 4
    assert set(tracker.holdings.models) == {'m1'}
    tracker.update_entry(make_replica('m1', 'm2'), 12)
    assert tracker.accepts_orders
    assert tracker.holdings.models == {
        'm1': frozenset(('a1',)),
        'm2': frozenset(),
    }


def test_unload_takes_effect_when_the_entry_shows_it(tracker):
    tracker.note_accepted(UnloadModel('e1', 'm1'), 10, done=False)
    assert tracker.evicting_model == 'm1'
    tracker.update_entry(make_replica(), 12)
    assert tracker.accepts_orders
    assert not tracker.holdings.models


@pytest.mark.parametrize(
    ('order', 'done', 'sequence'),
    [
        (LoadAdapter('e1', 'm1', 'a2'), False, 4),
        (UnloadAdapter('e1', 'm1', 'a1'), True, 4),
        (LoadModel('e1', 'm1'), True, 3),
    ],
)
def test_sequence_counts_the_orders_that_advance_it(
    tracker, order, done, sequence
):
    tracker.note_accepted(order, 10, done=done)
    assert tracker.holdings.sequence == sequence


def test_adapter_counts_as_arriving_until_it_is_loaded(tracker):
    tracker.note_accepted(LoadAdapter('e1', 'm1', 'a2'), 10, done=False)
    assert tracker.holdings.arriving == {('m1', 'a2')}
    assert not tracker.advance(10)
    assert tracker.advance(11)
    assert tracker.holdings.models['m1'] == {'a1', 'a2'}
    assert not tracker.holdings.arriving


def test_order_without_effect_causes_a_query(tracker):
    tracker.note_accepted(LoadModel('e1', 'm2'), 10, done=False)
    tracker.advance(20)
    assert tracker.check_at == 20
    tracker.update_from_report(
        Holdings(4, {'m1': frozenset()}, is_busy=True), 20
    )
    assert tracker.loading_model == 'm2'
    tracker.update_from_report(Holdings(4, {'m1': frozenset()}), 21)
    assert tracker.accepts_orders


def test_report_from_before_an_order_is_ignored(tracker):
    tracker.check_at = 9
    tracker.note_accepted(LoadAdapter('e1', 'm1', 'a2'), 10, done=False)
    tracker.update_from_report(Holdings(3, {'m1': frozenset()}), 10.1)
    assert tracker.holdings.arriving
    assert not tracker.accepts_orders


def test_unexplained_change_of_the_entry_causes_a_query(tracker):
    tracker.update_entry(make_replica('m1', 'm9'), 12)
    assert tracker.check_at == 12


@pytest.mark.parametrize(
    ('order', 'expected_model'),
    [
        (LoadModel('e1', 'm2'), 'm2'),
        (UnloadModel('e1', 'm1', 'm3'), 'm3'),
        (UnloadModel('e1', 'm1'), ''),
        (LoadAdapter('e1', 'm1', 'a2'), ''),
    ],
)
def test_pending_order_sets_the_expected_model(tracker, order, expected_model):
    assert not tracker.expected_model
    tracker.pending_order = order
    assert tracker.expected_model == expected_model
    assert not tracker.accepts_orders


def test_replica_is_overdue_when_its_order_should_have_ended(tracker):
    assert not tracker.is_overdue(10)
    order = LoadModel('e1', 'm2', takes_s=2)
    tracker.note_accepted(order, 10, done=False)
    assert not tracker.is_overdue(12)
    assert tracker.is_overdue(13.5)


def test_replica_to_be_queried_is_overdue(tracker):
    tracker.check_at = 10
    assert tracker.is_overdue(10)


def test_arrived_targets_are_kept_until_requests_can_use_them(tracker):
    # Guards against unloading a model as soon as it has been loaded.
    tracker.advance(9)
    assert not tracker.list_just_arrived(9)
    tracker.note_accepted(LoadModel('e1', 'm2'), 10, done=False)
    tracker.update_entry(make_replica('m1', 'm2'), 12)
    tracker.note_accepted(LoadAdapter('e1', 'm1', 'a2'), 12, done=False)
    tracker.advance(12.1)
    assert tracker.list_just_arrived(12.2) == {('m2', ''), ('m1', 'a2')}
    assert tracker.list_just_arrived(14) == {('m2', '')}
    assert not tracker.list_just_arrived(15)


def test_arrival_counts_as_a_use(tracker):
    tracker.advance(9)
    tracker.note_use([('m1', 'a1')], 10)
    tracker.note_accepted(LoadAdapter('e1', 'm1', 'a2'), 11, done=False)
    tracker.advance(12)
    assert tracker.last_use['m1', 'a1'] == 10
    assert tracker.last_use['m1', 'a2'] == 12
