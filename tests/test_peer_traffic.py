"""What gateways tell each other, beside the platform's word."""

import asyncio
import random

import pytest

from tests.platform_fleet import run_fleet
from tests.platform_site import make_route

# What a node may spend on control, by letter 1.
CONTROL_BYTES_PER_S = 27_000
WIDE_LINK = 12_500_000
SECONDS = 4


@pytest.mark.parametrize('gateways', [3, 12])
async def test_datagrams_to_every_peer_crowd_out_the_store(tmp_path, gateways):
    """Control traffic is bounded, however many gateways and models."""
    rates = [WIDE_LINK] * gateways
    async with run_fleet(tmp_path, rates, models=108, engines=25) as fleet:
        await fleet.request_all_models(random.Random(1))
        told = [len(one.events('status')) for one in fleet.gateways]
        await asyncio.sleep(SECONDS)
        for gateway, before in zip(fleet.gateways, told, strict=True):
            lines = gateway.events('status')[before:]
            for way in ('peers_out_bytes', 'peers_in_bytes'):
                carried = sum(line.get(way, 0) for line in lines)
                assert carried / len(lines) < CONTROL_BYTES_PER_S


async def wait_for_peers(fleet):
    """Wait until every gateway knows of all."""
    async with asyncio.timeout(30):
        for gateway in fleet.gateways:
            while gateway.events('status')[-1]['peers'] < len(fleet.gateways):
                await asyncio.sleep(0.1)


async def wait_for_readiness(gateway, status):
    async with asyncio.timeout(30):
        while await gateway.readiness_status() != status:
            await asyncio.sleep(0.1)


async def test_gateway_cut_from_the_store_denies_a_route_that_others_serve(
    tmp_path,
):
    """It answers 503 and leaves the balancer while others know more."""
    added = make_route('added', 'ledger', 'idempotent')
    rates = [WIDE_LINK] * 3
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
