"""Tests of the traffic between gateways, in addition to the store's."""

import asyncio
import random

import pytest

from tests.platform_fleet import run_fleet
from tests.platform_site import make_route

# Required limit on the control traffic of a gateway, for each direction.
CONTROL_BYTES_PER_S = 27_000
LINK_BYTES_PER_S = 12_500_000
MEASURED_S = 4


@pytest.mark.parametrize('gateways', [3, 12])
async def test_control_traffic_to_peers_is_bounded(tmp_path, gateways):
    """Guards against peer datagrams that crowd out the store's traffic.

    The limit holds for any number of gateways and models.
    """
    rates = [LINK_BYTES_PER_S] * gateways
    async with run_fleet(tmp_path, rates, models=108, engines=25) as fleet:
        await fleet.request_all_models(random.Random(1))
        counts_before = [
            len(gateway.events('status')) for gateway in fleet.gateways
        ]
        await asyncio.sleep(MEASURED_S)
        for gateway, count_before in zip(
            fleet.gateways, counts_before, strict=True
        ):
            # The gateway logs one status line a second.
            lines = gateway.events('status')[count_before:]
            for field in ('peers_out_bytes', 'peers_in_bytes'):
                total_bytes = sum(line.get(field, 0) for line in lines)
                assert total_bytes / len(lines) < CONTROL_BYTES_PER_S


async def wait_for_peers(fleet):
    """Wait until every gateway counts all gateways as peers."""
    async with asyncio.timeout(30):
        for gateway in fleet.gateways:
            while gateway.events('status')[-1]['peers'] < len(fleet.gateways):
                await asyncio.sleep(0.1)


async def wait_for_readiness(gateway, status):
    """Wait until the readiness endpoint returns a status."""
    async with asyncio.timeout(30):
        while await gateway.readiness_status() != status:
            await asyncio.sleep(0.1)


async def test_gateway_cut_off_from_the_store_does_not_deny_a_new_route(
    tmp_path,
):
    """Guards against 404 for a route that the other gateways serve.

    While its peers have a newer configuration, the gateway answers 503 and is
    not ready, so that the load balancer excludes it.
    """
    added = make_route('added', 'ledger', 'idempotent')
    rates = [LINK_BYTES_PER_S] * 3
    async with run_fleet(tmp_path, rates, models=4, engines=2) as fleet:
        await wait_for_peers(fleet)
        cut_off, *others = reversed(fleet.gateways)
        answer = await cut_off.ask_with_id('r1', '/added/2f')
        assert answer.status == 404
        link = fleet.links['127.0.1.3']
        link.is_cut = True
        fleet.configure(2, added)
        await wait_for_readiness(cut_off, 503)
        answer = await cut_off.ask_with_id('r2', '/added/2f')
        assert answer.status == 503
        for number, gateway in enumerate(others):
            answer = await gateway.ask_with_id(f'r3-{number}', '/added/2f')
            assert answer.status == 200
        link.is_cut = False
        await wait_for_readiness(cut_off, 200)
        answer = await cut_off.ask_with_id('r4', '/added/2f')
        assert answer.status == 200
