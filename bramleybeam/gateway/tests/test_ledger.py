"""The planner's ledger of a replica, order by order."""

import pytest

from bramleybeam.catalog import Holdings, Replica, ReplicaState
from bramleybeam.gateway._ledger import ReplicaLedger
from bramleybeam.orders import (
    LoadAdapter,
    LoadModel,
    UnloadAdapter,
    UnloadModel,
)


def make_replica(*models):
    held = {name: frozenset() for name in models}
    return Replica(
        'e1',
        'engine',
        '127.0.0.1:9',
        'a',
        ReplicaState.READY,
        4,
        5,
        Holdings(0, held),
    )


@pytest.fixture
def ledger():
    replica = make_replica('m1')
    return ReplicaLedger(replica, Holdings(3, {'m1': frozenset(('a1',))}))


def test_load_takes_effect_when_the_entry_shows_it(ledger):
    ledger.note_accepted(LoadModel('e1', 'm2'), 10, done=False)
    assert not ledger.is_open
    assert ledger.holdings.sequence == 4
    assert set(ledger.holdings.models) == {'m1'}
    ledger.see_entry(make_replica('m1', 'm2'), 12)
    assert ledger.is_open
    assert ledger.holdings.models == {
        'm1': frozenset(('a1',)),
        'm2': frozenset(),
    }


def test_unload_takes_effect_when_the_entry_shows_it(ledger):
    ledger.note_accepted(UnloadModel('e1', 'm1'), 10, done=False)
    assert ledger.leaving == 'm1'
    ledger.see_entry(make_replica(), 12)
    assert ledger.is_open
    assert not ledger.holdings.models


@pytest.mark.parametrize(
    ('order', 'done', 'sequence'),
    [
        (LoadAdapter('e1', 'm1', 'a2'), False, 4),
        (UnloadAdapter('e1', 'm1', 'a1'), True, 4),
        (LoadModel('e1', 'm1'), True, 3),
    ],
)
def test_counts_what_advances_the_replicas_count(ledger, order, done, sequence):
    ledger.note_accepted(order, 10, done=done)
    assert ledger.holdings.sequence == sequence


def test_adapter_holds_its_place_while_it_is_on_its_way(ledger):
    ledger.note_accepted(LoadAdapter('e1', 'm1', 'a2'), 10, done=False)
    assert ledger.holdings.arriving == {('m1', 'a2')}
    assert not ledger.advance(10)
    assert ledger.advance(11)
    assert ledger.holdings.models['m1'] == {'a1', 'a2'}
    assert not ledger.holdings.arriving


def test_order_without_effect_is_looked_into(ledger):
    ledger.note_accepted(LoadModel('e1', 'm2'), 10, done=False)
    ledger.advance(20)
    assert ledger.check_at == 20
    ledger.see_report(Holdings(4, {'m1': frozenset()}, is_busy=True), 20)
    assert ledger.loading == 'm2'
    ledger.see_report(Holdings(4, {'m1': frozenset()}), 21)
    assert ledger.is_open


def test_report_from_before_an_order_is_not_taken(ledger):
    ledger.check_at = 9
    ledger.note_accepted(LoadAdapter('e1', 'm1', 'a2'), 10, done=False)
    ledger.see_report(Holdings(3, {'m1': frozenset()}), 10.1)
    assert ledger.holdings.arriving
    assert not ledger.is_open


def test_entry_that_shows_another_hand_is_looked_into(ledger):
    ledger.see_entry(make_replica('m1', 'm9'), 12)
    assert ledger.check_at == 12


@pytest.mark.parametrize(
    ('order', 'expected'),
    [
        (LoadModel('e1', 'm2'), 'm2'),
        (UnloadModel('e1', 'm1', 'm3'), 'm3'),
        (UnloadModel('e1', 'm1'), ''),
        (LoadAdapter('e1', 'm1', 'a2'), ''),
    ],
)
def test_order_on_its_way_counts_as_coming(ledger, order, expected):
    assert not ledger.expected
    ledger.giving = order
    assert ledger.expected == expected
    assert not ledger.is_open


def test_replica_is_late_when_its_order_should_have_ended(ledger):
    assert not ledger.is_late(10)
    order = LoadModel('e1', 'm2', takes_s=2)
    ledger.note_accepted(order, 10, done=False)
    assert not ledger.is_late(12)
    assert ledger.is_late(13.5)


def test_replica_that_has_to_be_asked_is_late(ledger):
    ledger.check_at = 10
    assert ledger.is_late(10)


def test_what_has_arrived_stays_until_requests_can_have_come(ledger):
    # A model was unloaded in the moment in which it had been loaded.
    ledger.advance(9)
    assert not ledger.list_just_arrived(9)
    ledger.note_accepted(LoadModel('e1', 'm2'), 10, done=False)
    ledger.see_entry(make_replica('m1', 'm2'), 12)
    ledger.note_accepted(LoadAdapter('e1', 'm1', 'a2'), 12, done=False)
    ledger.advance(12.1)
    assert ledger.list_just_arrived(12.2) == {('m2', ''), ('m1', 'a2')}
    assert ledger.list_just_arrived(14) == {('m2', '')}
    assert not ledger.list_just_arrived(15)


def test_arrival_counts_as_a_use(ledger):
    ledger.advance(9)
    ledger.note_use([('m1', 'a1')], 10)
    ledger.note_accepted(LoadAdapter('e1', 'm1', 'a2'), 11, done=False)
    ledger.advance(12)
    assert ledger.last_use['m1', 'a1'] == 10
    assert ledger.last_use['m1', 'a2'] == 12
