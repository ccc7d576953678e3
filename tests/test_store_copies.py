"""A store that comes back from a copy some seconds old."""

import asyncio

import pytest_asyncio

from tests.platform_site import make_configuration, make_route, run_site


@pytest_asyncio.fixture
async def site(tmp_path):
    async with run_site(tmp_path) as running:
        yield running


async def ask_until(site, path, status, **headers):
    """Send requests until one has a status."""
    async with asyncio.timeout(30):
        while (await site.ask(path, **headers)).status != status:
            await asyncio.sleep(0.05)


async def test_gateway_goes_on_after_the_store_has_lost_its_writes(site):
    """Guards against changes that are missed, and orders of a lower epoch."""
    copied = site.store.copy()
    for _ in range(40):
        site.store.put('servers/odd', b'{')
    # The epoch of this planner is higher than revisions soon after the copy.
    await site.gateway.kill()
    await site.start_gateway()
    await site.wait_for_planner()
    await ask_until(site, '/ask/1', 200, Bramleybeam_Model='m2')
    site.store.restore(copied)
    for replica in site.replicas.values():
        site.write_entry(replica)
    configuration = make_configuration(2)
    configuration['routes'].append(make_route('new', 'ledger', 'idempotent'))
    site.store.put('op/config', configuration)
    await ask_until(site, '/new/1', 200)
    await ask_until(site, '/ask/2', 200, Bramleybeam_Model='m3')
    site.write_entry(site.replicas['l1'], state='draining')
    await asyncio.sleep(1)
    site.replicas['l1'].runs.clear()
    for _ in range(6):
        assert (await site.ask('/post/2f')).status == 200
    assert not site.replicas['l1'].runs
    assert await site.readiness_status() == 200
