"""How often the planner looks for orders to give."""

import asyncio

import pytest

from bramleybeam.catalog import (
    EngineSpec,
    Holdings,
    RoutingConfiguration,
    Service,
)
from bramleybeam.gateway import OrderHistory, Planner, make_cluster_state
from bramleybeam.gateway import _planner as planner_module
from bramleybeam.simulation import run_in_virtual_time

SPEC = EngineSpec(4, 1000, 100, 4, 2, {})


class Lease:
    epoch = 1

    async def keep(self):
        return False


class Giver:
    async def read_holdings(self, replica):
        return Holdings(0)


@pytest.mark.parametrize(
    ('wants_each_s', 'rounds'),
    [
        # At rest five rounds a second, when stirred all the time thirty or so.
        (10, (4, 7)),
        (0.005, (20, 34)),
    ],
)
def test_rounds_are_bounded_and_rare_at_rest(monkeypatch, wants_each_s, rounds):
    made = []

    def plan_nothing(*args):
        made.append(args)
        return []

    async def play():
        loop = asyncio.get_running_loop()
        cluster_state = make_cluster_state(loop.time)
        service = Service('engines', '/', 9, SPEC)
        cluster_state.directory.configuration = RoutingConfiguration(
            1, (), {'engines': service}
        )
        planner = Planner(
            'p',
            cluster_state,
            Lease(),
            Giver(),
            OrderHistory(0, loop.time),
            lambda _replicas: None,
        )

        async def want():
            while True:
                cluster_state.demand.pending.begin(('m1', ''), loop.time())
                await asyncio.sleep(wants_each_s)

        wanting = asyncio.create_task(want())
        for _ in range(100):
            await planner.plan()
            await asyncio.sleep(0.01)
        wanting.cancel()

    monkeypatch.setattr(planner_module, 'plan_orders', plan_nothing)
    run_in_virtual_time(play())
    least, most = rounds
    assert least <= len(made) <= most
