"""Postings run at most once, with processes killed at each step of the path."""

import asyncio

import aiohttp
import attrs
import pytest
import pytest_asyncio

from tests.calls import Answer, post
from tests.processes import run_processes

LEDGER_DELAY_S = 1.0
SETTLING_TIME_S = 2.5
REPEATS = 8
pytestmark = pytest.mark.asyncio(loop_scope='module')


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def cluster(tmp_path_factory):
    """Yield one deployment of real processes; a posting takes 1 s."""
    folder = tmp_path_factory.mktemp('kill_points')
    async with run_processes(
        folder, entries=3, ledger_delay=LEDGER_DELAY_S
    ) as running:
        yield running


@attrs.frozen
class KillPoint:
    """Which processes to kill and which faults to inject, and when.

    All times are in seconds after the first posting was sent.
    """

    name: str
    killed: tuple[str, ...]
    kill_after_s: float
    delayed_proxy: str = ''
    delay_after_s: float = 0
    keyvalue_faults: dict[str, object] = attrs.field(factory=dict)
    faults_after_s: float = 0
    restarts_immediately: bool = False

    def __str__(self) -> str:
        """Return the name, which is also the ID of the test case."""
        return self.name


# A name states which process is killed, and at which step of the posting.
# The idempotency key of the posting is made from the name.
POINTS = (
    KillPoint('entry, claim on its way', ('entry-0',), 0.3, 'keyvalue'),
    KillPoint('committers, claim on its way', ('entry-1', 'entry-2'), 0.3, 'keyvalue'),
    KillPoint('entry, dispatch on its way', ('entry-0',), 0.3, 'agent-book-1'),
    KillPoint('agent, dispatch on its way', ('agent-book-1',), 0.3, 'agent-book-1'),
    KillPoint('entry, while it runs', ('entry-0',), 0.5),
    KillPoint('agent, while it runs', ('agent-book-1',), 0.5),
    KillPoint('upstream, while it runs', ('book-1',), 0.5),
    KillPoint('entry and agent, while it runs', ('entry-0', 'agent-book-1'), 0.5),
    KillPoint('entry, answer on its way', ('entry-0',), 1.3, 'agent-book-1', 0.8),
    KillPoint('agent, answer on its way', ('agent-book-1',), 1.3, 'agent-book-1', 0.8),
    KillPoint('entry, outcome on its way', ('entry-0',), 1.3, 'keyvalue', 0.8),
    KillPoint('agent, while it runs, back at once', ('agent-book-1',), 0.6,
              restarts_immediately=True),
    KillPoint('agent, dispatch on its way, back at once', ('agent-book-1',), 0.3,
              'agent-book-1', restarts_immediately=True),
    KillPoint('nobody, claim reply lost', (), 0.5, keyvalue_faults={
        'lose_replies': 1, 'lose_prefix': 'claims',
    }),
    KillPoint('nobody, service down before', (), 0.5, keyvalue_faults={'down': True}),
    KillPoint('nobody, service down after the claim', (), 0.5,
              keyvalue_faults={'down': True}, faults_after_s=0.5),
    KillPoint('entry, service down while it runs', ('entry-0',), 0.8,
              keyvalue_faults={'down': True}, faults_after_s=0.5),
)  # fmt: skip


@pytest.mark.parametrize('point', POINTS, ids=str)
async def test_runs_at_most_once(cluster, point):
    """However often a posting is repeated, it runs at most once.

    A posting that is reported as not run has not run. A killed ledger has
    lost its counts, so "already ran" isn't checked against them.
    """
    key = point.name.replace(' ', '-').replace(',', '')
    first = asyncio.create_task(try_post(cluster, 'entry-0', key))
    await inject_faults(cluster, point)
    answer = await first
    await asyncio.sleep(SETTLING_TIME_S)
    count = await count_runs(cluster, key)
    assert count <= 1
    if answer.not_run:
        assert count == 0
    await restore(cluster, point)
    for index in range(REPEATS):
        answer = await try_post(cluster, f'entry-{index % 3}', key)
        count = await count_runs(cluster, key)
        assert count <= 1
        if answer.error.get('execution') == 'already_ran':
            assert count == 1 or 'book-1' in point.killed
        if answer.status == 201:
            break
        await asyncio.sleep(0.2)


async def inject_faults(cluster, point):
    """Delay connections, inject faults and kill processes at their times."""
    started_at = asyncio.get_running_loop().time()
    steps = [(point.kill_after_s, kill(cluster, point))]
    if point.delayed_proxy:
        steps.append((point.delay_after_s, delay_proxy(cluster, point)))
    if point.keyvalue_faults:
        faults = set_faults(cluster, point.keyvalue_faults)
        steps.append((point.faults_after_s, faults))
    for due_s, step in sorted(steps, key=lambda timed: timed[0]):
        elapsed = asyncio.get_running_loop().time() - started_at
        await asyncio.sleep(max(0, due_s - elapsed))
        await step


async def kill(cluster, point):
    """Kill the processes; restart them immediately where the point says so."""
    for name in point.killed:
        await cluster.running[name].kill()
    if point.restarts_immediately:
        await restart_killed(cluster, point)


async def delay_proxy(cluster, point):
    """Delay data through the proxy by 0.6 s."""
    cluster.proxies[point.delayed_proxy].delay = 0.6


async def set_faults(cluster, faults):
    """Set the faults of the key-value stand-in."""
    url = f'{cluster.urls["keyvalue"]}/faults'
    await cluster.session.post(url, json=faults)


async def restore(cluster, point):
    """Remove the faults and restart the processes that were killed."""
    for proxy in cluster.proxies.values():
        proxy.delay = 0
    await set_faults(
        cluster, {'down': False, 'lose_replies': 0, 'lose_prefix': ''}
    )
    if not point.restarts_immediately:
        await restart_killed(cluster, point)
    await cluster.wait_reachable()


async def restart_killed(cluster, point):
    """Restart the processes that were killed."""
    for name in point.killed:
        await cluster.restart(name)


async def try_post(cluster, entry, key):
    """Post and return the answer; it has status 0 if the connection is lost."""
    try:
        return await post(cluster.session, cluster.urls[entry], key)
    except aiohttp.ClientError:
        return Answer(0, '')


async def count_runs(cluster, key):
    """Return how often a key ran, as counted by the ledger.

    The count is 0 while the ledger is down; a killed ledger loses its counts.
    """
    url = cluster.urls['book-1']
    try:
        async with cluster.session.get(f'{url}/postings') as response:
            return (await response.json()).get(key, 0)
    except aiohttp.ClientError:
        return 0
