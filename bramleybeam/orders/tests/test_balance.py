"""Tests of the spread of demand over copies, and of the late requests."""

import attrs
import pytest

from bramleybeam.catalog import ModelSpec
from bramleybeam.orders import Demand, ModelDemand, plan_orders
from bramleybeam.orders._balance import (
    PREFILL_TOKENS_PER_S,
    LoadBalance,
    ModelCopy,
    late_fraction,
)
from bramleybeam.orders._costs import PlacementCosts
from bramleybeam.orders.tests.placement import SPEC, make_engine


def make_demand(**shares):
    """Return urgent demand with 1,000 prompt tokens for each request.

    ``shares`` maps models to the share of one replica's time that their prefill
    takes.
    """
    return Demand(
        {
            model: ModelDemand(
                urgent=share * PREFILL_TOKENS_PER_S / 1000,
                tokens=share * PREFILL_TOKENS_PER_S,
                was_urgent=True,
            )
            for model, share in shares.items()
        },
    )


@pytest.mark.parametrize(
    ('busy_share', 'minimum', 'maximum'),
    [(0, 0, 0), (0.3, 0.001, 0.05), (0.5, 0.2, 0.3), (0.7, 1, 1), (2, 1, 1)],
)
def test_late_fraction_rises_with_load(busy_share, minimum, maximum):
    assert minimum <= late_fraction(busy_share) <= maximum


@pytest.mark.parametrize(
    ('holders', 'added', 'removed', 'is_better'),
    [
        # Another copy at an idle replica takes load away.
        ({'m1': ['e1']}, ModelCopy('m1', 'e2'), None, True),
        # Moving the only copy to another idle replica gains nothing.
        ({'m1': ['e1']}, ModelCopy('m1', 'e2'), ModelCopy('m1', 'e1'), False),
        # Evicting the last copy of a busy model for the second copy of another
        # model makes more requests late.
        (
            {'m1': ['e1'], 'm2': ['e2']},
            ModelCopy('m1', 'e2'),
            ModelCopy('m2', 'e2'),
            False,
        ),
        # Moving one of two busy models at a replica to an idle one helps.
        (
            {'m1': ['e1'], 'm2': ['e1']},
            ModelCopy('m2', 'e2'),
            ModelCopy('m2', 'e1'),
            True,
        ),
    ],
)
def test_change_of_copies_changes_late_rate(holders, added, removed, is_better):
    balance = LoadBalance(make_demand(m1=0.5, m2=0.4), holders)
    assert (
        balance.late_rate_with(added, removed) < balance.late_rate
    ) == is_better


def test_demand_goes_to_less_busy_replica():
    holders = {'m1': ['e1'], 'm2': ['e1', 'e2']}
    spread_demand = LoadBalance(make_demand(m1=0.4, m2=0.4), holders)
    separate_replicas = LoadBalance(
        make_demand(m1=0.4, m2=0.4), {'m1': ['e1'], 'm2': ['e2']}
    )
    assert spread_demand.late_rate == pytest.approx(
        separate_replicas.late_rate, rel=0.01
    )


def test_missing_copy_counts_more_than_late_requests():
    overloaded = LoadBalance(make_demand(m1=2), {'m1': ['e1']})
    missing = LoadBalance(make_demand(m1=2), {})
    assert missing.late_rate > overloaded.late_rate


@pytest.mark.parametrize('copies', range(1, 5))
def test_each_copy_of_an_overloaded_model_helps(copies):
    """All requests stay late until the demand for six replicas is met."""
    names = [f'e{number}' for number in range(copies)]
    balance = LoadBalance(make_demand(m1=4.2), {'m1': names})
    assert balance.late_rate_with(ModelCopy('m1', 'e9')) < balance.late_rate - 1


def test_apply_updates_late_rate():
    balance = LoadBalance(make_demand(m1=0.5), {'m1': ['e1']})
    expected = balance.late_rate_with(ModelCopy('m1', 'e2'))
    balance.apply(ModelCopy('m1', 'e2'))
    assert balance.late_rate == expected
    assert balance.late_rate_without(ModelCopy('m1', 'e2')) > expected


@pytest.mark.parametrize(('replicas', 'models'), [(9, 34), (120, 200)])
def test_planning_round_evaluates_bounded_number_of_placements(
    monkeypatch, replicas, models
):
    evaluated = []
    original = PlacementCosts.placement_cost

    def count(costs, *arguments):
        evaluated.append(arguments)
        return original(costs, *arguments)

    monkeypatch.setattr(PlacementCosts, 'placement_cost', count)
    names = [f'm{number}' for number in range(models)]
    spec = attrs.evolve(
        SPEC, models={name: ModelSpec(name, 70, 2, 1, 1) for name in names}
    )
    engines = [
        make_engine(
            f'e{number}', names[number % 9], *names[9 + number : 11 + number]
        )
        for number in range(replicas)
    ]
    demand = attrs.evolve(
        make_demand(**dict.fromkeys(names[:9], 0.6)),
        waiting={(name, ''): 1 for name in names[-20:]},
    )
    assert plan_orders(engines, spec, demand, 3)
    assert len(evaluated) <= 2 * (8 + 16) * 9 * 3
