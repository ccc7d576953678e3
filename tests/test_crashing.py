"""A request that crashes every engine that runs it, on real processes."""

import asyncio

import pytest
import pytest_asyncio

from tests.calls import ask, expected_text
from tests.processes import run_processes

# Engine crashes allowed for one such request, however often it is repeated.
MAX_CRASHES = 2
CONCURRENT_REQUESTS = 8
REPEATS = 6
CRASHING_PROMPT = 'please CRASH-ENGINE now'
pytestmark = pytest.mark.asyncio(loop_scope='module')


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def cluster(tmp_path_factory):
    """Yield one deployment of real processes."""
    folder = tmp_path_factory.mktemp('crashing')
    async with run_processes(folder) as running:
        yield running


async def count_crashes(cluster):
    """Return how often the engines have restarted in total."""
    crashes = 0
    for name in ('engine-1', 'engine-2', 'engine-3'):
        url = f'{cluster.urls[name]}/admin/state'
        async with asyncio.timeout(30):
            while True:
                async with cluster.session.get(url) as response:
                    if response.status == 200:
                        crashes += (await response.json())['boot'] - 1
                        break
                await asyncio.sleep(0.1)
    return crashes


async def test_a_crashing_request_is_quarantined(cluster):
    """Concurrent requests are answered; this request is refused everywhere.

    It is quarantined after at most ``MAX_CRASHES`` engine crashes.
    """
    tasks = [
        asyncio.create_task(
            ask(
                cluster.session,
                cluster.urls[f'entry-{index % 2}'],
                'drafter-a',
                f'innocent {index}',
            ),
        )
        for index in range(CONCURRENT_REQUESTS)
    ]
    await asyncio.sleep(0.3)
    first = await ask(
        cluster.session, cluster.urls['entry-0'], 'drafter-a', CRASHING_PROMPT
    )
    assert first.error
    for index, task in enumerate(tasks):
        answer = await task
        assert not answer.error
        assert answer.text == expected_text('drafter-a', f'innocent {index}')
    for index in range(REPEATS):
        answer = await ask(
            cluster.session,
            cluster.urls[f'entry-{index % 2}'],
            'drafter-a',
            CRASHING_PROMPT,
        )
        assert answer.error['code'] == 'quarantined'
        assert answer.not_run
    assert 1 <= await count_crashes(cluster) <= MAX_CRASHES


async def test_other_requests_are_served_afterwards(cluster):
    """The model is loaded again and answers other requests."""
    await cluster.wait_reachable()
    answer = await ask(
        cluster.session, cluster.urls['entry-1'], 'drafter-a', 'an innocent'
    )
    assert answer.text == expected_text('drafter-a', 'an innocent')
