"""Propagation of the planner's rows from gateway to gateway."""

import pytest

from bramleybeam.catalog import Holdings
from bramleybeam.gateway._placement import (
    PlacementTable,
    PlacementVersion,
    ReplicaPlacement,
)


@pytest.fixture
def table(clock):
    return PlacementTable(clock)


def make_placement(model, **fields):
    return ReplicaPlacement(Holdings(0, {model: frozenset()}), **fields)


def propagate(source, receiver):
    """Send the missing rows to the receiver; return their replica names."""
    delta = source.delta_since(receiver.version)
    receiver.merge(delta)
    return set(delta.rows)


def models_at(table, replica):
    placement = table.find(replica, 0)
    return set(placement.holdings.models) if placement else None


def test_only_changed_rows_are_sent(table, clock):
    child = PlacementTable(clock)
    table.publish(1, {'e1': make_placement('m1'), 'e2': make_placement('m2')})
    assert propagate(table, child) == {'e1', 'e2'}
    assert not propagate(table, child)
    table.publish(1, {'e1': make_placement('m1'), 'e2': make_placement('m3')})
    assert propagate(table, child) == {'e2'}
    assert models_at(child, 'e2') == {'m3'}


def test_rows_of_a_lost_message_are_sent_again(table, clock):
    child = PlacementTable(clock)
    table.publish(1, {'e1': make_placement('m1'), 'e2': make_placement('m2')})
    propagate(table, child)
    table.publish(1, {'e1': make_placement('m4'), 'e2': make_placement('m2')})
    table.delta_since(child.version)
    table.publish(1, {'e1': make_placement('m4'), 'e2': make_placement('m5')})
    assert propagate(table, child) == {'e1', 'e2'}
    assert models_at(child, 'e1') == {'m4'}


def test_many_rows_are_split_over_several_messages(table, clock):
    child = PlacementTable(clock)
    rows = {f'e{number}': make_placement(f'm{number}') for number in range(100)}
    table.publish(1, rows)
    batches = [propagate(table, child) for _ in range(4)]
    assert [len(batch) for batch in batches] == [30, 30, 30, 10]
    assert set().union(*batches) == set(rows)
    assert child.version == table.version


def test_rows_of_an_older_planner_are_dropped(table, clock):
    older = PlacementTable(clock)
    older.publish(6, {'e1': make_placement('m1')})
    table.publish(7, {'e1': make_placement('m2')})
    assert not table.merge(older.delta_since(PlacementVersion()))
    assert models_at(table, 'e1') == {'m2'}
    assert propagate(table, older) == {'e1'}
    assert models_at(older, 'e1') == {'m2'}
    assert not older.publish(6, {'e1': make_placement('m1')})


def test_placement_expires_without_updates(table, clock):
    table.publish(1, {'e1': make_placement('m2')})
    assert table.has_live_planner
    clock.now += 3
    assert not table.has_live_planner
    assert models_at(table, 'e1') is None


def test_age_of_the_last_update_is_propagated(table, clock):
    child = PlacementTable(clock)
    table.publish(1, {'e1': make_placement('m2')})
    clock.now += 2
    propagate(table, child)
    assert child.has_live_planner
    clock.now += 1
    propagate(table, child)
    assert not child.has_live_planner


def test_expected_arrival_counts_down(table, clock):
    child = PlacementTable(clock)
    arriving = make_placement('m1', incoming_model='m2', eta_s=5.0)
    table.publish(
        1,
        {
            'e1': arriving,
            'e2': make_placement('m1', incoming_model='m2', eta_s=2),
        },
    )
    clock.now += 0.5
    propagate(table, child)
    assert child.arrival_eta_s('m2') == 1.5
    assert child.arrival_eta_s('m3') is None
    clock.now += 1
    assert child.arrival_eta_s('m2') == 0.5
    assert not table.publish(
        1,
        {
            'e1': arriving,
            'e2': make_placement('m1', incoming_model='m2', eta_s=0.5),
        },
    ) or propagate(table, child) == {'e1'}
