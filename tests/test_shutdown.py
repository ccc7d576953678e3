"""Graceful shutdown and rolling restarts of real processes under load."""

import asyncio
import signal

import aiohttp
import pytest
import pytest_asyncio

from tests.calls import ask, expected_text, post
from tests.processes import run_processes

STREAMS = 10
MODELS = ('drafter-a', 'drafter-b', 'council-a')
pytestmark = pytest.mark.asyncio(loop_scope='module')


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def cluster(tmp_path_factory):
    """Yield one deployment of real processes."""
    folder = tmp_path_factory.mktemp('shutdown')
    async with run_processes(folder) as running:
        yield running


@pytest.mark.parametrize(
    'name',
    ['entry-0', 'agent-engine-1', 'agent-engine-2', 'agent-book-1'],
)
async def test_a_graceful_shutdown_completes_work_in_flight(cluster, name):
    """Streams and postings in flight are completed; the exit code is 0."""
    await cluster.wait_reachable()
    url = cluster.urls['entry-0']
    streams = [
        asyncio.create_task(
            ask(cluster.session, url, MODELS[index % 3], f'{name} {index}'),
        )
        for index in range(STREAMS)
    ]
    postings = [
        asyncio.create_task(post(cluster.session, url, f'{name}-{index}'))
        for index in range(3)
    ]
    await asyncio.sleep(0.4)
    cluster.running[name].signal(signal.SIGTERM)
    for index, stream in enumerate(streams):
        answer = await stream
        assert not answer.error
        assert answer.text == expected_text(
            MODELS[index % 3], f'{name} {index}'
        )
    for posting in postings:
        assert (await posting).status == 201
    assert await cluster.running[name].wait() == 0
    await cluster.restart(name)


async def test_readiness_fails_before_requests_are_refused(cluster):
    """An entry that shuts down still serves while it reports "not ready".

    A load balancer needs this time to direct callers to other entries.
    """
    await cluster.wait_reachable()
    url = cluster.urls['entry-1']
    cluster.running['entry-1'].signal(signal.SIGTERM)
    await asyncio.sleep(0.1)
    async with cluster.session.get(f'{url}/ready') as response:
        assert response.status == 503
    answer = await ask(cluster.session, url, 'drafter-a', 'still served')
    assert answer.text == expected_text('drafter-a', 'still served')
    assert await cluster.running['entry-1'].wait() == 0
    await cluster.restart('entry-1')


async def test_a_rolling_restart_loses_no_request(cluster):
    """Callers that use only ready entries get only complete answers.

    Every posting in the ledger has run once.
    """
    await cluster.wait_reachable()
    stop = asyncio.Event()
    callers = [
        asyncio.create_task(call_until_stopped(cluster, stop, index))
        for index in range(6)
    ]
    for name in ('entry-0', 'agent-engine-1', 'agent-engine-2',
                 'agent-engine-3', 'agent-book-1', 'entry-1'):  # fmt: skip
        cluster.running[name].signal(signal.SIGTERM)
        assert await cluster.running[name].wait() == 0
        await cluster.restart(name)
        await cluster.wait_reachable()
    stop.set()
    answered = sum([await caller for caller in callers])
    assert answered > len(callers)
    async with cluster.session.get(
        f'{cluster.urls["book-1"]}/postings'
    ) as response:
        assert set((await response.json()).values()) == {1}


async def call_until_stopped(cluster, stop, index):
    """Send requests to a ready entry until ``stop`` is set.

    Returns the number of answers.
    """
    answered = 0
    while not stop.is_set():
        prompt = f'rolling {index} {answered}'
        answer = await call_ready(cluster, prompt, index)
        assert answer.text == expected_text(MODELS[index % 3], prompt)
        answered += 1
    return answered


async def call_ready(cluster, prompt, index):
    """Return the answer of a ready entry; repeat a request that did not run."""
    while True:
        for name in ('entry-0', 'entry-1'):
            url = cluster.urls[name]
            if not await is_ready(cluster, url):
                continue
            answer = await ask(cluster.session, url, MODELS[index % 3], prompt)
            if not answer.not_run:
                assert not answer.error, answer
                return answer
        await asyncio.sleep(0.05)


async def is_ready(cluster, url):
    """Return whether an entry is ready, as a load balancer would check it."""
    try:
        async with cluster.session.get(f'{url}/ready') as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False
