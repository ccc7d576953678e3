"""Homes of models: all agree, and few move."""

import pytest

from bramleybeam.decisions import assign_homes, rank_by_hash
from bramleybeam.documents import Model

MODELS = [Model(f'm{index}', 10, 'pool') for index in range(90)]
ZONES = {(f'z{index}', 'pool'): 500 for index in range(9)}


def test_the_assignment_does_not_depend_on_order():
    """Every planner computes the same."""
    one = assign_homes(MODELS, ZONES)
    other = assign_homes(MODELS[::-1], dict(reversed(ZONES.items())))
    assert one == other
    assert len(one) == len(MODELS)


@pytest.mark.parametrize('lost', ['z0', 'z4', 'z8'])
def test_losing_a_zone_moves_its_models_alone(lost):
    """Models of other zones stay where they are, as long as there is room."""
    before = assign_homes(MODELS, ZONES)
    left = {place: mb for place, mb in ZONES.items() if place[0] != lost}
    after = assign_homes(MODELS, left)
    moved = [name for name in before if before[name] != after[name]]
    assert {before[name] for name in moved} == {lost}


def test_no_zone_is_filled_beyond_its_share_while_others_have_room():
    """A small zone takes few models."""
    zones = {('small', 'pool'): 100, ('large', 'pool'): 5000}
    homes = assign_homes(MODELS, zones)
    assert sum(home == 'small' for home in homes.values()) <= 8


def test_a_model_without_a_pool_has_no_home():
    """Nothing is promised that nobody can hold."""
    assert not assign_homes([Model('m', 10, 'elsewhere')], ZONES)


def test_rendezvous_ranks_all_names():
    """The same key gives the same order."""
    names = ['a', 'b', 'c']
    assert sorted(rank_by_hash('k', names)) == names
    assert rank_by_hash('k', names) == rank_by_hash('k', names[::-1])
