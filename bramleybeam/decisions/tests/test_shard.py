"""Tests of how a shard's planner tracks its orders between rounds."""

import attrs
import pytest

from bramleybeam.decisions import (
    READY,
    PlannedOrder,
    ShardPlanner,
    ShardUpstream,
    ShardView,
    share_limits,
)
from bramleybeam.documents import Model
from bramleybeam.messages import ArtifactState, Report

MODELS = (Model('a', 40, 'pool'), Model('b', 40, 'pool'))


def make_report(*ready, epoch=1, version=1, incarnation='x', running=None):
    """Return a report of an upstream with ready copies of some models."""
    return Report(
        upstream='',
        kind='engine',
        zone='zone',
        incarnation=incarnation,
        version=version,
        settled=True,
        healthy=True,
        leaving=False,
        capacity_mb=100,
        epoch=epoch,
        in_flight=0,
        limit=4,
        artifacts=tuple(
            ArtifactState(name, 'model', 40, READY) for name in ready
        ),
        running=running or {},
    )


def make_view(*reports, epoch=1, **changes):
    """Return a view of upstreams named u0, u1 and so on."""
    view = ShardView(
        epoch=epoch,
        upstreams=tuple(
            ShardUpstream(
                f'u{index}', 'pool', 100, is_available=True, report=report
            )
            for index, report in enumerate(reports)
        ),
        models={model.name: model for model in MODELS},
        home=frozenset(('a', 'b')),
        ready_elsewhere={},
    )
    return attrs.evolve(view, **changes)


def make_planner():
    """Return a planner whose limits are high enough to have no effect."""
    return ShardPlanner(share_limits(100, 10, 360_000, 1))


def test_home_model_without_copy_is_loaded():
    """It is loaded on the upstream with the most free memory."""
    orders = make_planner().plan(make_view(make_report('a'), make_report()), 0)
    assert [
        (order.upstream, order.action, order.model) for order in orders
    ] == [
        ('u1', 'load', 'b'),
    ]


def test_order_counts_until_reported():
    """A load is not ordered again before or after a report shows it."""
    planner = make_planner()
    view = make_view(make_report('a'), make_report())
    (planned,) = planner.plan(view, 0)
    planner.note_sent(planned, 'x', 0)
    assert not planner.plan(view, 1)
    planner.note_answer(planned, 1, taken=True)
    assert not planner.plan(view, 2)
    reported = make_view(make_report('a'), make_report('b', version=2))
    assert not planner.plan(reported, 3)


def test_refused_order_is_planned_again():
    """An order that the agent refused no longer counts as carried out."""
    planner = make_planner()
    view = make_view(make_report('a'), make_report())
    (planned,) = planner.plan(view, 0)
    planner.note_sent(planned, 'x', 0)
    planner.note_answer(planned, 1, taken=False)
    assert planner.plan(view, 1)


@pytest.mark.parametrize(
    ('epoch', 'is_usable'),
    [(1, False), (2, True), (3, True)],
)
def test_only_confirmed_upstreams_get_orders(epoch, is_usable):
    """An agent that may still accept an older planner's orders gets none."""
    view = make_view(
        make_report('a', epoch=2),
        make_report(epoch=epoch),
        epoch=2,
    )
    orders = make_planner().plan(view, 0)
    targets = {order.upstream for order in orders}
    assert ('u1' in targets) == is_usable


def test_unanswered_order_blocks_another_for_same_model():
    """A late unload must not remove a copy that was reloaded in the meantime.

    The sequence is an unload without an answer, a crash and a reload of the
    same model. The late unload then removed the reloaded copy while the
    planner unloaded the other copy. ``tests/test_memory_machine.py`` found
    this with seed 598 of its random driver.
    """
    planner = make_planner()
    unload = PlannedOrder('u0', 'unload', 'a', '', 40)
    load = PlannedOrder('u0', 'load', 'a', '', 40)
    planner.note_sent(unload, 'x', 0)
    assert not planner.may_order(load)
    crashed = make_view(make_report(version=5), make_report('b'))
    orders = planner.plan(crashed, 1)
    assert ('u0', 'a') not in {
        (order.upstream, order.model) for order in orders
    }
    planner.note_answer(unload, 5, taken=True)
    assert planner.may_order(load)


def test_busy_models_get_copies_within_move_limit():
    """With a limit of no moves, a busy model gets no further copy."""
    view = make_view(
        make_report('a', running={'a': 40}),
        make_report('b'),
    )
    for moves, expected in ((3600, True), (0, False)):
        planner = ShardPlanner(share_limits(100, 10, moves, 1))
        orders = [
            order
            for second in range(10)
            for order in planner.plan(view, second)
        ]
        assert any(order.is_move for order in orders) == expected
