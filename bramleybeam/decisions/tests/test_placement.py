"""Tests of a planning round of a shard, with random snapshots."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleybeam.decisions import (
    READY,
    PlacedUpstream,
    PlacementSnapshot,
    plan_placement,
)
from bramleybeam.documents import Model
from bramleybeam.messages import ArtifactState

MODELS = {
    f'm{index}': Model(f'm{index}', 10 + index % 3 * 5, 'pool')
    for index in range(8)
}


def make_upstream(index, names, capacity=60, usable=True):
    """Return an upstream with ready copies of the named models."""
    return PlacedUpstream(
        f'u{index}',
        'pool',
        capacity,
        limit=4,
        usable=usable,
        holdings=tuple(
            ArtifactState(name, 'model', MODELS[name].memory_mb, READY)
            for name in names
        ),
    )


def make_snapshot(upstreams, demand=None, loads=4, moves=1):
    """Return a snapshot of a shard that is the home of every model."""
    return PlacementSnapshot(
        upstreams=tuple(upstreams),
        models=MODELS,
        home=frozenset(MODELS),
        demand=demand or {},
        ready_elsewhere={},
        loads=loads,
        moves=moves,
    )


def apply_orders(snapshot, orders):
    """Return the artifacts of each upstream after all orders are done."""
    held = {
        placed.name: {artifact.name for artifact in placed.holdings}
        for placed in snapshot.upstreams
    }
    for order in orders:
        if order.action == 'load':
            held[order.upstream].add(order.model)
        else:
            held[order.upstream].discard(order.model)
    return held


@st.composite
def snapshots(draw):
    """Draw a shard whose models are placed at random within memory."""
    rng = random.Random(draw(st.integers(0, 10_000)))
    upstreams = []
    for index in range(draw(st.integers(1, 5))):
        names = []
        remaining_mb = 60
        for name in rng.sample(sorted(MODELS), len(MODELS)):
            if MODELS[name].memory_mb <= remaining_mb and rng.random() < 0.6:
                names.append(name)
                remaining_mb -= MODELS[name].memory_mb
        usable = rng.random() < 0.85
        upstreams.append(make_upstream(index, names, usable=usable))
    demand = {name: rng.random() * 20 for name in MODELS}
    return make_snapshot(upstreams, demand)


@given(snapshot=snapshots())
@settings(derandomize=True, max_examples=500, deadline=None)
def test_round_respects_memory_last_copies_and_budgets(snapshot):
    """No round exceeds memory or load budget, or unloads a last copy."""
    orders = plan_placement(snapshot)
    loads = [order for order in orders if order.action == 'load']
    assert len(loads) <= snapshot.loads
    before = apply_orders(snapshot, [])
    usable = {placed.name for placed in snapshot.upstreams if placed.usable}
    unloads = [order for order in orders if order.action == 'unload']
    for order in unloads:
        kept = [
            name
            for name, held in before.items()
            if name in usable
            and order.model in held
            and not any(
                other.upstream == name and other.model == order.model
                for other in unloads
            )
        ]
        assert kept, order
    for upstream in snapshot.upstreams:
        added = sum(
            order.memory_mb
            for order in loads
            if order.upstream == upstream.name
        )
        assert added <= upstream.free_mb
        assert upstream.usable or not added


@given(snapshot=snapshots())
@settings(derandomize=True, max_examples=300, deadline=None)
def test_round_keeps_reachable_models_reachable(snapshot):
    """A model with a copy on a usable upstream still has one afterwards."""
    after = apply_orders(snapshot, plan_placement(snapshot))
    before = apply_orders(snapshot, [])
    usable = {placed.name for placed in snapshot.upstreams if placed.usable}

    def reachable(held):
        return {
            name for upstream_name in usable for name in held[upstream_name]
        }

    assert reachable(before) <= reachable(after)


@pytest.mark.parametrize(
    ('demand', 'expected'),
    [({}, []), ({'m0': 1}, []), ({'m0': 30}, ['m0'])],
)
def test_only_busy_models_get_further_copies(demand, expected):
    """A further copy uses the move budget and therefore needs demand."""
    upstreams = [
        make_upstream(0, ['m0', 'm1', 'm3', 'm4']),
        make_upstream(1, ['m2', 'm5', 'm6']),
        make_upstream(2, ['m7']),
    ]
    orders = plan_placement(make_snapshot(upstreams, demand))
    assert [order.model for order in orders] == expected
