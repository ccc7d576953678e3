"""What gateways tell each other, beside the platform's word."""

import asyncio
import random

import pytest

from tests.platform_fleet import run_fleet

# What a node may spend on control, by letter 1.
CONTROL_BYTES_PER_S = 27_000
WIDE_LINK = 12_500_000
SECONDS = 4


@pytest.mark.parametrize('gateways', [3, 12])
async def test_datagrams_to_every_peer_crowd_out_the_store(tmp_path, gateways):
    """Control traffic is bounded, however many gateways and models."""
    rates = [WIDE_LINK] * gateways
    async with run_fleet(tmp_path, rates, models=108, engines=25) as fleet:
        await fleet.ask_for_all_models(random.Random(1))
        told = [len(one.events('status')) for one in fleet.gateways]
        await asyncio.sleep(SECONDS)
        for gateway, before in zip(fleet.gateways, told, strict=True):
            lines = gateway.events('status')[before:]
            for way in ('peers_out_bytes', 'peers_in_bytes'):
                carried = sum(line.get(way, 0) for line in lines)
                assert carried / len(lines) < CONTROL_BYTES_PER_S
