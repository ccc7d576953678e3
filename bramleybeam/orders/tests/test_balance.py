"""The spread of demand over copies, and what is late for it."""

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


def ask(**shares):
    """Return demand in shares of a replica's time, 1,000 tokens a request."""
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
    ('busy', 'least', 'most'),
    [(0, 0, 0), (0.3, 0.001, 0.05), (0.5, 0.2, 0.3), (0.7, 1, 1), (2, 1, 1)],
)
def test_late_share_rises_with_load(busy, least, most):
    assert least <= late_fraction(busy) <= most


@pytest.mark.parametrize(
    ('holders', 'added', 'removed', 'is_better'),
    [
        # Another copy takes load away, most where nothing runs.
        ({'m1': ['e1']}, ModelCopy('m1', 'e2'), None, True),
        # A copy that only trades places changes nothing for the better.
        ({'m1': ['e1']}, ModelCopy('m1', 'e2'), ModelCopy('m1', 'e1'), False),
        # The last copy of a busy model never makes room for another's second.
        (
            {'m1': ['e1'], 'm2': ['e2']},
            ModelCopy('m1', 'e2'),
            ModelCopy('m2', 'e2'),
            False,
        ),
        # Two busy models at one replica go apart.
        (
            {'m1': ['e1'], 'm2': ['e1']},
            ModelCopy('m2', 'e2'),
            ModelCopy('m2', 'e1'),
            True,
        ),
    ],
)
def test_changes_are_weighed(holders, added, removed, is_better):
    balance = LoadBalance(ask(m1=0.5, m2=0.4), holders)
    assert (
        balance.late_rate_with(added, removed) < balance.late_rate
    ) == is_better


def test_demand_fills_the_emptier_replica():
    holders = {'m1': ['e1'], 'm2': ['e1', 'e2']}
    spread = LoadBalance(ask(m1=0.4, m2=0.4), holders)
    apart = LoadBalance(ask(m1=0.4, m2=0.4), {'m1': ['e1'], 'm2': ['e2']})
    assert spread.late_rate == pytest.approx(apart.late_rate, rel=0.01)


def test_model_without_a_copy_weighs_more_than_a_late_one():
    overloaded = LoadBalance(ask(m1=2), {'m1': ['e1']})
    missing = LoadBalance(ask(m1=2), {})
    assert missing.late_rate > overloaded.late_rate


def test_applied_change_is_the_new_base():
    balance = LoadBalance(ask(m1=0.5), {'m1': ['e1']})
    expected = balance.late_rate_with(ModelCopy('m1', 'e2'))
    balance.apply(ModelCopy('m1', 'e2'))
    assert balance.late_rate == expected
    assert balance.late_rate_without(ModelCopy('m1', 'e2')) > expected


@pytest.mark.parametrize(('replicas', 'models'), [(9, 34), (120, 200)])
def test_a_round_weighs_a_bounded_number_of_swaps(
    monkeypatch, replicas, models
):
    weighed = []
    real = PlacementCosts.placement_cost

    def count(costs, *swap):
        weighed.append(swap)
        return real(costs, *swap)

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
        ask(**dict.fromkeys(names[:9], 0.6)),
        waiting={(name, ''): 1 for name in names[-20:]},
    )
    assert plan_orders(engines, spec, demand, 3)
    assert len(weighed) <= 2 * (8 + 16) * 9 * 3
