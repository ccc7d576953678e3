"""Plans of orders, by table."""

import attrs
import pytest

from bramleybeam.orders import (
    Demand,
    LoadAdapter,
    LoadModel,
    ModelDemand,
    UnloadAdapter,
    UnloadModel,
    plan_orders,
)
from bramleybeam.orders.tests.placement import (
    MODELS,
    SPEC,
    ask,
    make_engine,
)

FULL = ('m1', 'm2', 'm3')
TOLERANT = ModelDemand(tolerant=0.05)
PLANS = (
    # What is asked for goes where there is room.
    (
        [make_engine('e1', 'm1'), make_engine('e2', *FULL)],
        ask([('m4', '')], m1=0.1),
        [LoadModel('e1', 'm4')],
    ),
    # Where its weights are at hand, when there is a choice.
    (
        [
            make_engine('e1', 'm1'),
            make_engine('e2', 'm2', at_hand={'on_disk': frozenset(('m4',))}),
        ],
        ask([('m4', '')], m1=0.1),
        [LoadModel('e2', 'm4', from_store=False)],
    ),
    # The model that is asked for least makes room.
    (
        [make_engine('e1', *FULL)],
        ask([('m4', '')], m1=3, m2=0.5, m3=2),
        [UnloadModel('e1', 'm2', 'm4')],
    ),
    # A spare copy goes before a last one.
    (
        [make_engine('e1', *FULL), make_engine('e2', 'm1', 'm4', 'm2')],
        ask([('m5', '')], m1=0.2, m2=0.25, m3=0.25, m4=0.25),
        [UnloadModel('e1', 'm1', 'm5')],
    ),
    # What only patient requests ask for goes before a silent model.
    (
        [make_engine('e1', *FULL)],
        Demand({'m1': TOLERANT, 'm4': TOLERANT}, {('m4', ''): 1}),
        [UnloadModel('e1', 'm1', 'm4')],
    ),
    # A model that is on its way is not ordered again.
    (
        [make_engine('e1', 'm1', loading_model='m4', accepts_orders=False)],
        ask([('m4', '')]),
        [],
    ),
    # A copy at a replica that can't be reached doesn't count.
    (
        [
            make_engine('e1', 'm4', accepts_orders=False, is_reachable=False),
            make_engine('e2', 'm1'),
        ],
        ask([('m4', '')], m1=0.1),
        [LoadModel('e2', 'm4')],
    ),
    # An adapter goes where its model is, and places are free.
    (
        [make_engine('e1', 'm1/a1', 'm1/a2'), make_engine('e2', 'm1')],
        ask([('m1', 'a3')], m1=0.1),
        [LoadAdapter('e2', 'm1', 'a3')],
    ),
    # An idle adapter makes room, one that runs does not.
    (
        [make_engine('e1', 'm1/a1', 'm1/a2', running={('m1', 'a1'): 1})],
        ask([('m1', 'a3')]),
        [UnloadAdapter('e1', 'm1', 'a2')],
    ),
    # Adapters of a busy model are fetched before they are asked for.
    (
        [make_engine('e1', 'm1', 'm2')],
        ask(m1=5),
        [LoadAdapter('e1', 'm1', 'a1')],
    ),
    # A model whose copies are busy gets another in place of an idle one.
    (
        [make_engine('e1', 'm1'), make_engine('e2', 'm2/a1', 'm3', 'm4')],
        ask(m1=20),
        [UnloadModel('e2', 'm2', 'm1'), LoadAdapter('e1', 'm1', 'a1')],
    ),
    # So does one that runs at a crowded replica, where there is room.
    (
        [
            make_engine('e1', *FULL, running={('m1', ''): 4}),
            make_engine('e2', 'm2', 'm3'),
        ],
        ask(m1=0.1),
        [LoadModel('e2', 'm1')],
    ),
    # What many wait for goes before what few wait for.
    (
        [make_engine('e1', 'm1')],
        attrs.evolve(ask(m1=0.1), waiting={('m4', ''): 1, ('m5', ''): 9}),
        [LoadModel('e1', 'm5')],
    ),
    # An adapter that is waited for goes before a model at the same replica.
    (
        [make_engine('e1', 'm1')],
        ask([('m1', 'a3'), ('m4', '')], m1=0.1),
        [LoadAdapter('e1', 'm1', 'a3')],
    ),
    # None is brought where room has been made for a model.
    (
        [make_engine('e1', 'm1', 'm2', successor='m4')],
        ask([('m1', 'a3')], m1=0.1),
        [LoadModel('e1', 'm4')],
    ),
    # An unknown model at a replica counts as all of its memory.
    (
        [make_engine('e1', 'odd')],
        ask([('m4', '')]),
        [UnloadModel('e1', 'odd', 'm4')],
    ),
    # Room that was made for a model goes to it, whatever else waits now.
    (
        [make_engine('e1', 'm1', 'm2', successor='m4')],
        ask([('m5', '')], m1=0.1),
        [LoadModel('e1', 'm4')],
    ),
    # More room is made where what was made is not enough.
    (
        [make_engine('e1', 'odd', 'm1', successor='m4')],
        ask(m1=3),
        [UnloadModel('e1', 'odd', 'm4')],
    ),
    # What is idle makes room, though it is asked for more than what runs.
    (
        [make_engine('e1', 'm1', 'm2', 'm3', running={('m3', ''): 1})],
        ask([('m4', '')], m1=1.2, m2=0.4, m3=0.1),
        [UnloadModel('e1', 'm2', 'm4')],
    ),
    # Where all run, one that runs has to.
    (
        [make_engine('e1', *FULL, running={(name, ''): 1 for name in FULL})],
        Demand({'m4': TOLERANT}, {('m4', ''): 1}),
        [UnloadModel('e1', 'm1', 'm4')],
    ),
    # A replica that will soon be open is waited for, if that costs less.
    (
        [
            make_engine('e1', 'm5', accepts_orders=False),
            make_engine('e2', *FULL),
        ],
        ask([('m4', '')], m1=20, m2=20, m3=20),
        [LoadAdapter('e2', 'm1', 'a1')],
    ),
    # One that should have been open by now isn't.
    (
        [
            make_engine('e1', 'm5', accepts_orders=False, is_overdue=True),
            make_engine('e2', *FULL),
        ],
        ask([('m4', '')], m1=0.1, m2=20, m3=20),
        [UnloadModel('e2', 'm1', 'm4')],
    ),
    # Loads for patient requests leave some replicas free for an order.
    (
        [
            make_engine('e1', 'm1', loading_model='m5', accepts_orders=False),
            make_engine('e2', 'm1'),
        ],
        Demand({'m4': TOLERANT, 'm5': TOLERANT}, {('m4', ''): 1}),
        [],
    ),
    # Loads for urgent ones don't.
    (
        [
            make_engine('e1', 'm1', loading_model='m5', accepts_orders=False),
            make_engine('e2', 'm1'),
        ],
        Demand({'m5': TOLERANT}, {('m4', ''): 1}),
        [LoadModel('e2', 'm4')],
    ),
    # The adapter that was used longest ago makes room.
    (
        [
            make_engine(
                'e1',
                'm1/a1',
                'm1/a2',
                last_use={('m1', 'a1'): 9.0, ('m1', 'a2'): 5.0},
            ),
        ],
        ask([('m1', 'a3')]),
        [UnloadAdapter('e1', 'm1', 'a2')],
    ),
    # An adapter that has just arrived does not: it has served nobody yet.
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
        ask([('m1', 'a3')]),
        [UnloadAdapter('e1', 'm1', 'a2')],
    ),
    (
        [
            make_engine(
                'e1',
                'm1/a1',
                'm1/a2',
                just_arrived={('m1', 'a1'), ('m1', 'a2')},
            ),
        ],
        ask([('m1', 'a3')]),
        [],
    ),
    # Nor does a model, though it is asked for least.
    (
        [make_engine('e1', *FULL, just_arrived={('m2', '')})],
        ask([('m4', '')], m1=3, m2=0.5, m3=2),
        [UnloadModel('e1', 'm3', 'm4')],
    ),
    # What runs makes no room for patient requests while something else will.
    (
        [
            make_engine(
                'e1',
                *FULL,
                running={(name, ''): 1 for name in FULL},
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
    # The adapter that was unserved for longest comes first.
    (
        [make_engine('e1', 'm1')],
        Demand(
            {},
            {('m1', 'a2'): 5, ('m1', 'a3'): 1},
            {('m1', 'a2'): 2.0, ('m1', 'a3'): 8.0},
        ),
        [LoadAdapter('e1', 'm1', 'a3')],
    ),
    # A model that was unserved for long goes before what many wait for.
    (
        [make_engine('e1', 'm1')],
        Demand(
            {'m4': TOLERANT, 'm5': TOLERANT},
            {('m4', ''): 1, ('m5', ''): 9},
            {('m4', ''): 14.0, ('m5', ''): 1.0},
        ),
        [LoadModel('e1', 'm4')],
    ),
    # Even before one that urgent requests wait for, if it is so itself.
    (
        [make_engine('e1', 'm1')],
        attrs.evolve(
            ask([('m4', ''), ('m5', '')], m4=0.01, m5=9),
            unserved_s={('m4', ''): 14.0, ('m5', ''): 1.0},
        ),
        [LoadModel('e1', 'm4')],
    ),
    # While room is being made for a model, no more is made for it.
    (
        [
            make_engine(
                'e1',
                *FULL,
                evicting_model='m3',
                successor='m4',
                accepts_orders=False,
            ),
            make_engine('e2', *FULL),
        ],
        ask([('m4', '')], m1=0.1),
        [],
    ),
)


@pytest.mark.parametrize(('engines', 'demand', 'expected'), PLANS)
def test_plans(engines, demand, expected):
    assert plan_orders(engines, SPEC, demand, store_loads=3) == expected


def test_store_rate_is_kept():
    engines = [make_engine(f'e{number}', 'm1') for number in range(4)]
    waiting = {(name, ''): 1 for name in MODELS[1:]}
    orders = plan_orders(engines, SPEC, ask(waiting), 2)
    loads = [order for order in orders if isinstance(order, LoadModel)]
    assert len(loads) == 2
