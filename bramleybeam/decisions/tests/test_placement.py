"""A planning round, against a naive twin that loads the rarest first."""

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
    """Make an upstream that holds some models."""
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
    """Make a snapshot of one shard with every model at home."""
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
    """Return what each upstream holds after all orders are carried out."""
    held = {
        one.name: {artifact.name for artifact in one.holdings}
        for one in snapshot.upstreams
    }
    for order in orders:
        if order.action == 'load':
            held[order.upstream].add(order.model)
        else:
            held[order.upstream].discard(order.model)
    return held


@st.composite
def snapshots(draw):
    """Draw a shard with models spread at random within memory."""
    rng = random.Random(draw(st.integers(0, 10_000)))
    upstreams = []
    for index in range(draw(st.integers(1, 5))):
        names = []
        left = 60
        for name in rng.sample(sorted(MODELS), len(MODELS)):
            if MODELS[name].memory_mb <= left and rng.random() < 0.6:
                names.append(name)
                left -= MODELS[name].memory_mb
        usable = rng.random() < 0.85
        upstreams.append(make_upstream(index, names, usable=usable))
    demand = {name: rng.random() * 20 for name in MODELS}
    return make_snapshot(upstreams, demand)


@given(snapshot=snapshots())
@settings(derandomize=True, max_examples=500, deadline=None)
def test_a_round_breaks_nothing(snapshot):
    """Memory holds, no last copy goes, budgets are kept."""
    orders = plan_placement(snapshot)
    loads = [order for order in orders if order.action == 'load']
    assert len(loads) <= snapshot.loads
    before = apply_orders(snapshot, [])
    usable = {one.name for one in snapshot.upstreams if one.usable}
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
def test_never_fewer_reachable_models_than_before(snapshot):
    """A round does not make a reachable model unreachable."""
    after = apply_orders(snapshot, plan_placement(snapshot))
    before = apply_orders(snapshot, [])
    usable = {one.name for one in snapshot.upstreams if one.usable}

    def reachable(held):
        return {name for up in usable for name in held[up]}

    assert reachable(before) <= reachable(after)


@pytest.mark.parametrize(
    ('demand', 'expected'),
    [({}, []), ({'m0': 1}, []), ({'m0': 30}, ['m0'])],
)
def test_only_busy_models_get_further_copies(demand, expected):
    """A copy more costs a move, so it needs demand."""
    upstreams = [
        make_upstream(0, ['m0', 'm1', 'm3', 'm4']),
        make_upstream(1, ['m2', 'm5', 'm6']),
        make_upstream(2, ['m7']),
    ]
    orders = plan_placement(make_snapshot(upstreams, demand))
    assert [order.model for order in orders] == expected
