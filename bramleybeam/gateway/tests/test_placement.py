"""The planner's rows, as they are passed on from gateway to gateway."""

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


def hold(model, **changed):
    return ReplicaPlacement(Holdings(0, {model: frozenset()}), **changed)


def pass_on(source, receiver):
    """Pass on what the receiver lacks; return the names of the rows."""
    delta = source.delta_since(receiver.version)
    receiver.merge(delta)
    return set(delta.rows)


def models_at(table, replica):
    placed = table.find(replica, 0)
    return set(placed.holdings.models) if placed else None


def test_only_changed_rows_are_passed_on(table, clock):
    below = PlacementTable(clock)
    table.publish(1, {'e1': hold('m1'), 'e2': hold('m2')})
    assert pass_on(table, below) == {'e1', 'e2'}
    assert not pass_on(table, below)
    table.publish(1, {'e1': hold('m1'), 'e2': hold('m3')})
    assert pass_on(table, below) == {'e2'}
    assert models_at(below, 'e2') == {'m3'}


def test_lost_message_is_made_up_for_by_the_next(table, clock):
    below = PlacementTable(clock)
    table.publish(1, {'e1': hold('m1'), 'e2': hold('m2')})
    pass_on(table, below)
    table.publish(1, {'e1': hold('m4'), 'e2': hold('m2')})
    table.delta_since(below.version)
    table.publish(1, {'e1': hold('m4'), 'e2': hold('m5')})
    assert pass_on(table, below) == {'e1', 'e2'}
    assert models_at(below, 'e1') == {'m4'}


def test_many_rows_come_in_several_messages(table, clock):
    below = PlacementTable(clock)
    rows = {f'e{number}': hold(f'm{number}') for number in range(100)}
    table.publish(1, rows)
    parts = [pass_on(table, below) for _ in range(4)]
    assert [len(part) for part in parts] == [30, 30, 30, 10]
    assert set().union(*parts) == set(rows)
    assert below.version == table.version


def test_rows_of_an_older_planner_are_dropped(table, clock):
    older = PlacementTable(clock)
    older.publish(6, {'e1': hold('m1')})
    table.publish(7, {'e1': hold('m2')})
    assert not table.merge(older.delta_since(PlacementVersion()))
    assert models_at(table, 'e1') == {'m2'}
    assert pass_on(table, older) == {'e1'}
    assert models_at(older, 'e1') == {'m2'}
    assert not older.publish(6, {'e1': hold('m1')})


def test_word_that_is_not_renewed_ends(table, clock):
    table.publish(1, {'e1': hold('m2')})
    assert table.has_live_planner
    clock.now += 3
    assert not table.has_live_planner
    assert models_at(table, 'e1') is None


def test_age_of_the_word_is_passed_on(table, clock):
    below = PlacementTable(clock)
    table.publish(1, {'e1': hold('m2')})
    clock.now += 2
    pass_on(table, below)
    assert below.has_live_planner
    clock.now += 1
    pass_on(table, below)
    assert not below.has_live_planner


def test_expected_arrival_comes_closer(table, clock):
    below = PlacementTable(clock)
    later = hold('m1', incoming_model='m2', eta_s=5.0)
    table.publish(
        1, {'e1': later, 'e2': hold('m1', incoming_model='m2', eta_s=2)}
    )
    clock.now += 0.5
    pass_on(table, below)
    assert below.arrival_in('m2') == 1.5
    assert below.arrival_in('m3') is None
    clock.now += 1
    assert below.arrival_in('m2') == 0.5
    assert not table.publish(
        1, {'e1': later, 'e2': hold('m1', incoming_model='m2', eta_s=0.5)}
    ) or pass_on(table, below) == {'e1'}
