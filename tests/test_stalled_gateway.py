"""A gateway that stood still, or fell behind, while the configuration changed."""

import asyncio
import signal

import pytest
import pytest_asyncio

from tests.platform_site import make_configuration, make_route, run_site

# Longer than the time in which a configuration has to be in force.
STALL_S = 2.6
# Time in seconds for which only a listing has a change, as on a slow link.
WATCH_LAG_S = 6
# Time in seconds after which a configuration has to be in force.
CONFIGURATION_S = 2


@pytest_asyncio.fixture
async def site(tmp_path):
    async with run_site(tmp_path) as running:
        yield running


async def ask_during_stall(site, configuration, *paths):
    """Return the answers to requests that arrive while the gateway stands still.

    The configuration is confirmed at the beginning of that time.
    """
    site.store.watch_lag_s = WATCH_LAG_S
    process = site.gateway.process
    process.send_signal(signal.SIGSTOP)
    site.store.put('op/config', configuration)
    await asyncio.sleep(STALL_S)
    asked = [asyncio.create_task(site.ask(path)) for path in paths]
    await asyncio.sleep(0.1)
    process.send_signal(signal.SIGCONT)
    return await asyncio.gather(*asked)


async def ask_until(site, path, status):
    """Send requests until one has a status; return all statuses."""
    statuses = []
    async with asyncio.timeout(20):
        while status not in statuses:
            answer = await site.ask(path)
            statuses.append(answer.status)
            await asyncio.sleep(0.02)
    return statuses


async def test_added_route_is_not_unknown_after_a_stall(site):
    """Guards against a 404 from the configuration before the stall."""
    configuration = make_configuration(2)
    configuration['routes'].append(make_route('new', 'ledger', 'idempotent'))
    answers = await ask_during_stall(
        site, configuration, *(f'/new/{number}' for number in range(8))
    )
    statuses = [answer.status for answer in answers]
    statuses += await ask_until(site, '/new/2f', 200)
    assert set(statuses) <= {200, 503}


@pytest.mark.parametrize('path', ['/look/2f', '/post/2f'])
async def test_dropped_route_is_not_served_after_a_stall(site, path):
    """Guards against runs that only the configuration before the stall allows."""
    configuration = make_configuration(2)
    configuration['routes'] = [
        route
        for route in configuration['routes']
        if not path.startswith(route['prefix'])
    ]
    answers = await ask_during_stall(site, configuration, *[path] * 8)
    statuses = [answer.status for answer in answers]
    statuses += await ask_until(site, path, 404)
    assert set(statuses) <= {404, 503}
    assert not any(replica.runs for replica in site.replicas.values())


async def test_requests_are_served_soon_after_a_stall_without_the_store(site):
    """Guards against a gateway that waits for a store that does not answer."""
    site.store.mode = 'busy'
    await ask_during_stall(site, make_configuration(2), '/look/1')
    statuses = await ask_until(site, '/look/2f', 200)
    assert set(statuses) <= {200, 503}
    await site.wait_for_readiness_status(200)


@pytest.mark.parametrize('path', ['/look/2f', '/post/2f'])
async def test_dropped_route_is_not_served_by_an_overdue_configuration(
    site, path
):
    """Guards against runs by an old configuration at a gateway that never stalls."""
    configuration = make_configuration(2)
    configuration['routes'] = [
        route
        for route in configuration['routes']
        if not path.startswith(route['prefix'])
    ]
    await site.store.lose_next_watch()
    site.store.put('op/config', configuration)
    await asyncio.sleep(CONFIGURATION_S + 0.1)
    answers = await asyncio.gather(*(site.ask(path) for _ in range(8)))
    assert {answer.status for answer in answers} <= {404, 503}
    assert not any(replica.runs for replica in site.replicas.values())


async def test_one_refused_call_after_a_stall_does_not_show_an_outage(site):
    """Guards against runs by an old configuration after a single lost call."""
    configuration = make_configuration(2)
    configuration['routes'] = [
        route
        for route in configuration['routes']
        if route['prefix'] != '/look/'
    ]
    site.store.refused_reads = 1
    answers = await ask_during_stall(site, configuration, *['/look/2f'] * 8)
    assert {answer.status for answer in answers} <= {404, 503}
    assert not any(replica.runs for replica in site.replicas.values())
