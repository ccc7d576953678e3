"""How often the planner runs a planning round."""

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


class HeldLease:
    epoch = 1

    async def keep(self):
        return False


class StubSender:
    async def read_holdings(self, replica):
        return Holdings(0)


@pytest.mark.parametrize(
    ('request_interval_s', 'rounds'),
    [
        # About 5 rounds a second when idle, and about 30 with constant changes.
        (10, (4, 7)),
        (0.005, (20, 34)),
    ],
)
def test_planning_rounds_are_bounded_and_rare_when_idle(
    monkeypatch, request_interval_s, rounds
):
    planned = []

    def plan_nothing(*args):
        planned.append(args)
        return []

    async def scenario():
        loop = asyncio.get_running_loop()
        cluster_state = make_cluster_state(loop.time)
        service = Service('engines', '/', 9, SPEC)
        cluster_state.directory.configuration = RoutingConfiguration(
            1, (), {'engines': service}
        )
        planner = Planner(
            'p',
            cluster_state,
            HeldLease(),
            StubSender(),
            OrderHistory(0, loop.time),
            lambda _replicas: None,
        )

        async def add_requests():
            while True:
                cluster_state.demand.pending.begin(('m1', ''), loop.time())
                await asyncio.sleep(request_interval_s)

        adding = asyncio.create_task(add_requests())
        for _ in range(100):
            await planner.plan()
            await asyncio.sleep(0.01)
        adding.cancel()

    monkeypatch.setattr(planner_module, 'plan_orders', plan_nothing)
    run_in_virtual_time(scenario())
    min_rounds, max_rounds = rounds
    assert min_rounds <= len(planned) <= max_rounds
