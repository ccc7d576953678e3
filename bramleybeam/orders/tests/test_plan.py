"""Tests of ``plan_orders``.

``PLANS`` lists the replicas, the demand and the expected orders of each case.
"""

import attrs
import pytest

from bramleybeam.orders import (
    Demand,
    LoadAdapter,
    LoadModel,
    ModelDemand,
    PinnedTarget,
    UnloadAdapter,
    UnloadModel,
    plan_orders,
)
from bramleybeam.orders.tests.placement import (
    MODELS,
    SPEC,
    make_demand,
    make_engine,
)

OLD = {'software_version': '1'}
NEW = {'software_version': '2'}
FULL_REPLICA = ('m1', 'm2', 'm3')
TOLERANT = ModelDemand(tolerant=0.05)
PLANS = (
    # Streams go on at the version that began them, whatever others hold.
    (
        [make_engine('e1', 'm1', **OLD), make_engine('e2', 'm4', **NEW)],
        Demand({'m1': TOLERANT}, pinned={PinnedTarget('m4', '', '1'): 1}),
        [LoadModel('e1', 'm4')],
    ),
    (
        [make_engine('e1', 'm1', **OLD), make_engine('e2', 'm1/a1', **NEW)],
        Demand({'m1': TOLERANT}, pinned={PinnedTarget('m1', 'a1', '1'): 1}),
        [LoadAdapter('e1', 'm1', 'a1')],
    ),
    # A replica gets one order, and other requests are served as before.
    (
        [make_engine('e1', 'm1', **OLD), make_engine('e2', 'm1', **NEW)],
        Demand(
            {'m1': TOLERANT},
            {('m5', ''): 1},
            pinned={PinnedTarget('m4', '', '1'): 1},
        ),
        [LoadModel('e1', 'm4'), LoadModel('e2', 'm5')],
    ),
    # An idle adapter makes room for one that a stream needs to go on.
    (
        [make_engine('e1', 'm1/a1', 'm1/a2', **OLD)],
        Demand({'m1': TOLERANT}, pinned={PinnedTarget('m1', 'a3', '1'): 1}),
        [UnloadAdapter('e1', 'm1', 'a1')],
    ),
    # All replicas of a version may load for latency-tolerant streams at a time.
    (
        [make_engine(name, 'm1', **OLD) for name in ('e1', 'e2', 'e3')],
        Demand(
            dict.fromkeys(('m2', 'm3', 'm4'), TOLERANT),
            pinned={
                PinnedTarget(model, '', '1'): 1 for model in ('m2', 'm3', 'm4')
            },
        ),
        [LoadModel('e1', 'm2'), LoadModel('e2', 'm3'), LoadModel('e3', 'm4')],
    ),
    # No replica of that version is left.
    (
        [make_engine('e2', 'm1', **NEW)],
        Demand({'m1': TOLERANT}, pinned={PinnedTarget('m4', '', '1'): 1}),
        [],
    ),
    # A requested model is loaded where it fits into memory.
    (
        [make_engine('e1', 'm1'), make_engine('e2', *FULL_REPLICA)],
        make_demand([('m4', '')], m1=0.1),
        [LoadModel('e1', 'm4')],
    ),
    # Of two such replicas, the one whose host caches the weights is chosen.
    (
        [
            make_engine('e1', 'm1'),
            make_engine('e2', 'm2', cached={'on_disk': frozenset(('m4',))}),
        ],
        make_demand([('m4', '')], m1=0.1),
        [LoadModel('e2', 'm4', from_store=False)],
    ),
    # The model with the lowest demand is evicted.
    (
        [make_engine('e1', *FULL_REPLICA)],
        make_demand([('m4', '')], m1=3, m2=0.5, m3=2),
        [UnloadModel('e1', 'm2', 'm4')],
    ),
    # A copy that is not the last one is evicted before a last copy.
    (
        [make_engine('e1', *FULL_REPLICA), make_engine('e2', 'm1', 'm4', 'm2')],
        make_demand([('m5', '')], m1=0.2, m2=0.25, m3=0.25, m4=0.25),
        [UnloadModel('e1', 'm1', 'm5')],
    ),
    # A model with only latency-tolerant requests is evicted before an idle
    # model, which may become busy.
    (
        [make_engine('e1', *FULL_REPLICA)],
        Demand({'m1': TOLERANT, 'm4': TOLERANT}, {('m4', ''): 1}),
        [UnloadModel('e1', 'm1', 'm4')],
    ),
    # A model that is being loaded is not loaded a second time.
    (
        [make_engine('e1', 'm1', loading_model='m4', accepts_orders=False)],
        make_demand([('m4', '')]),
        [],
    ),
    # A copy at an unreachable replica does not count.
    (
        [
            make_engine('e1', 'm4', accepts_orders=False, is_reachable=False),
            make_engine('e2', 'm1'),
        ],
        make_demand([('m4', '')], m1=0.1),
        [LoadModel('e2', 'm4')],
    ),
    # An adapter is loaded where its model is held and a place is free.
    (
        [make_engine('e1', 'm1/a1', 'm1/a2'), make_engine('e2', 'm1')],
        make_demand([('m1', 'a3')], m1=0.1),
        [LoadAdapter('e2', 'm1', 'a3')],
    ),
    # An idle adapter is evicted, one with running requests is not.
    (
        [make_engine('e1', 'm1/a1', 'm1/a2', running={('m1', 'a1'): 1})],
        make_demand([('m1', 'a3')]),
        [UnloadAdapter('e1', 'm1', 'a2')],
    ),
    # Adapters of a busy model are prefetched.
    (
        [make_engine('e1', 'm1', 'm2')],
        make_demand(m1=5),
        [LoadAdapter('e1', 'm1', 'a1')],
    ),
    # A model whose copies are busy gets another copy in place of an idle model.
    (
        [make_engine('e1', 'm1'), make_engine('e2', 'm2/a1', 'm3', 'm4')],
        make_demand(m1=20),
        [UnloadModel('e2', 'm2', 'm1'), LoadAdapter('e1', 'm1', 'a1')],
    ),
    # So does a model with requests at a saturated replica, where memory is free.
    (
        [
            make_engine('e1', *FULL_REPLICA, running={('m1', ''): 4}),
            make_engine('e2', 'm2', 'm3'),
        ],
        make_demand(m1=0.1),
        [LoadModel('e2', 'm1')],
    ),
    # A model with many waiting requests is loaded before one with few.
    (
        [make_engine('e1', 'm1')],
        attrs.evolve(
            make_demand(m1=0.1), waiting={('m4', ''): 1, ('m5', ''): 9}
        ),
        [LoadModel('e1', 'm5')],
    ),
    # An adapter with waiting requests is loaded before a model at the same
    # replica.
    (
        [make_engine('e1', 'm1')],
        make_demand([('m1', 'a3'), ('m4', '')], m1=0.1),
        [LoadAdapter('e1', 'm1', 'a3')],
    ),
    # No adapter is loaded where memory has been freed for a model.
    (
        [make_engine('e1', 'm1', 'm2', successor='m4')],
        make_demand([('m1', 'a3')], m1=0.1),
        [LoadModel('e1', 'm4')],
    ),
    # A model that is not in the configuration counts as all the memory of its
    # replica.
    (
        [make_engine('e1', 'unknown')],
        make_demand([('m4', '')]),
        [UnloadModel('e1', 'unknown', 'm4')],
    ),
    # Memory that was freed for a model is used for it, whatever else has
    # waiting requests now.
    (
        [make_engine('e1', 'm1', 'm2', successor='m4')],
        make_demand([('m5', '')], m1=0.1),
        [LoadModel('e1', 'm4')],
    ),
    # Another model is evicted where the freed memory is not enough.
    (
        [make_engine('e1', 'unknown', 'm1', successor='m4')],
        make_demand(m1=3),
        [UnloadModel('e1', 'unknown', 'm4')],
    ),
    # An idle model is evicted even if it has more demand than a running one.
    (
        [make_engine('e1', 'm1', 'm2', 'm3', running={('m3', ''): 1})],
        make_demand([('m4', '')], m1=1.2, m2=0.4, m3=0.1),
        [UnloadModel('e1', 'm2', 'm4')],
    ),
    # Where all models have running requests, one of them is evicted.
    (
        [
            make_engine(
                'e1',
                *FULL_REPLICA,
                running={(name, ''): 1 for name in FULL_REPLICA},
            )
        ],
        Demand({'m4': TOLERANT}, {('m4', ''): 1}),
        [UnloadModel('e1', 'm1', 'm4')],
    ),
    # No eviction is ordered if waiting for a replica that soon accepts orders
    # costs less.
    (
        [
            make_engine('e1', 'm5', accepts_orders=False),
            make_engine('e2', *FULL_REPLICA),
        ],
        make_demand([('m4', '')], m1=20, m2=20, m3=20),
        [LoadAdapter('e2', 'm1', 'a1')],
    ),
    # An overdue replica is not waited for.
    (
        [
            make_engine('e1', 'm5', accepts_orders=False, is_overdue=True),
            make_engine('e2', *FULL_REPLICA),
        ],
        make_demand([('m4', '')], m1=0.1, m2=20, m3=20),
        [UnloadModel('e2', 'm1', 'm4')],
    ),
    # Loads for latency-tolerant requests leave some replicas free for orders.
    (
        [
            make_engine('e1', 'm1', loading_model='m5', accepts_orders=False),
            make_engine('e2', 'm1'),
        ],
        Demand({'m4': TOLERANT, 'm5': TOLERANT}, {('m4', ''): 1}),
        [],
    ),
    # Loads for urgent requests may use all replicas.
    (
        [
            make_engine('e1', 'm1', loading_model='m5', accepts_orders=False),
            make_engine('e2', 'm1'),
        ],
        Demand({'m5': TOLERANT}, {('m4', ''): 1}),
        [LoadModel('e2', 'm4')],
    ),
    # The least recently used adapter is evicted.
    (
        [
            make_engine(
                'e1',
                'm1/a1',
                'm1/a2',
                last_use={('m1', 'a1'): 9.0, ('m1', 'a2'): 5.0},
            ),
        ],
        make_demand([('m1', 'a3')]),
        [UnloadAdapter('e1', 'm1', 'a2')],
    ),
    # An adapter that has just arrived is not evicted, because it has not served
    # a request yet.
    (
        [
            make_engine(
                'e1',
                'm1/a1',
                'm1/a2',
                last_use={('m1', 'a1'): 5.0, ('m1', 'a2'): 9.0},
                just_arrived={('m1', 'a1')},
            ),
        ],
        make_demand([('m1', 'a3')]),
        [UnloadAdapter('e1', 'm1', 'a2')],
    ),
    # If all adapters have just arrived, none is evicted.
    (
        [
            make_engine(
                'e1',
                'm1/a1',
                'm1/a2',
                just_arrived={('m1', 'a1'), ('m1', 'a2')},
            ),
        ],
        make_demand([('m1', 'a3')]),
        [],
    ),
    # A model that has just arrived is not evicted, even with the lowest demand.
    (
        [make_engine('e1', *FULL_REPLICA, just_arrived={('m2', '')})],
        make_demand([('m4', '')], m1=3, m2=0.5, m3=2),
        [UnloadModel('e1', 'm3', 'm4')],
    ),
    # A running model is not evicted for latency-tolerant requests if a model
    # elsewhere can be evicted later, here one that has just arrived.
    (
        [
            make_engine(
                'e1',
                *FULL_REPLICA,
                running={(name, ''): 1 for name in FULL_REPLICA},
            ),
            make_engine(
                'e2',
                'm5',
                'm2',
                'm3',
                just_arrived={('m5', '')},
                running={('m2', ''): 1, ('m3', ''): 1},
            ),
        ],
        Demand({'m4': TOLERANT}, {('m4', ''): 1}),
        [],
    ),
    # The adapter that has gone unserved for longest is loaded first.
    (
        [make_engine('e1', 'm1')],
        Demand(
            {},
            {('m1', 'a2'): 5, ('m1', 'a3'): 1},
            {('m1', 'a2'): 2.0, ('m1', 'a3'): 8.0},
        ),
        [LoadAdapter('e1', 'm1', 'a3')],
    ),
    # An overdue model is loaded before one with many waiting requests.
    (
        [make_engine('e1', 'm1')],
        Demand(
            {'m4': TOLERANT, 'm5': TOLERANT},
            {('m4', ''): 1, ('m5', ''): 9},
            {('m4', ''): 14.0, ('m5', ''): 1.0},
        ),
        [LoadModel('e1', 'm4')],
    ),
    # An overdue model with urgent requests is loaded even before one with a
    # higher rate of urgent requests.
    (
        [make_engine('e1', 'm1')],
        attrs.evolve(
            make_demand([('m4', ''), ('m5', '')], m4=0.01, m5=9),
            unserved_s={('m4', ''): 14.0, ('m5', ''): 1.0},
        ),
        [LoadModel('e1', 'm4')],
    ),
    # No second eviction is ordered for a model for which one is in progress.
    (
        [
            make_engine(
                'e1',
                *FULL_REPLICA,
                evicting_model='m3',
                successor='m4',
                accepts_orders=False,
            ),
            make_engine('e2', *FULL_REPLICA),
        ],
        make_demand([('m4', '')], m1=0.1),
        [],
    ),
)


@pytest.mark.parametrize(('engines', 'demand', 'expected'), PLANS)
def test_plan_orders(engines, demand, expected):
    assert plan_orders(engines, SPEC, demand, store_loads=3) == expected


def test_loads_stay_within_store_rate():
    engines = [make_engine(f'e{number}', 'm1') for number in range(4)]
    waiting = {(name, ''): 1 for name in MODELS[1:]}
    orders = plan_orders(engines, SPEC, make_demand(waiting), 2)
    loads = [order for order in orders if isinstance(order, LoadModel)]
    assert len(loads) == 2
